/// A forwarder without sockets: one real Sender, its calls out to modelled endpoints, and the cost of its
/// turns.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "cometspoke/sender.hpp"
#include "endpoint_model.hpp"

namespace cometspoke::bench {

using WallTime = std::chrono::duration<double>;

/// What became of the messages.
struct MessageCounts {
    std::uint64_t offered = 0;
    std::uint64_t sent = 0;  ///< messages of which at least one attempt was begun
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t attempts = 0;
    std::uint64_t attempts_to_down = 0;
    std::uint64_t ended_twice = 0;  ///< must stay 0

    MessageCounts& operator+=(const MessageCounts& other);
};

/// The cost of turns (a batch of observe(), then decide()) on the wall clock.
struct TurnCosts {
    std::uint64_t turns = 0;
    WallTime total{0};
    WallTime worst{0};

    TurnCosts& operator+=(const TurnCosts& other);
};

/// Not modelled: Probe, CloseIdle, SendToPeers, Watch, FetchList, Log and ReleaseEndpoint are passed over.
class HollowForwarder {
public:
    /// The farm must outlive the forwarder.
    HollowForwarder(Settings settings, std::uint64_t seed, EndpointFarm& farm);

    /// Adds an event to the next turn.
    void add(Event event);
    /// The next moment at which an outcome or a timer is due.
    Time next_due() const;
    /// One turn: the added events and what is due by now, then decide(), whose actions are carried out.
    void turn(Time now);

    const MessageCounts& counts() const { return counts_; }
    const TurnCosts& costs() const { return costs_; }
    void forget_costs() { costs_ = {}; }
    /// Messages that have not ended.
    std::size_t held() const { return held_.size(); }
    /// Whether each message has ended once or is held.
    bool adds_up() const;

private:
    using AttemptName = std::pair<MessageId, std::uint32_t>;
    struct PendingOutcome {
        OutcomeEvent event;
        Time begun{0};
    };

    void add_due(Time now);
    void carry_out(const Action& action, Time now);
    void begin(const Send& send, Time now);
    void cancel(const CancelAttempt& cancel, Time now);
    void end(MessageId message, std::uint64_t& count);

    Sender sender_;
    EndpointFarm& farm_;
    std::vector<Event> batch_;
    std::multimap<Time, PendingOutcome> pending_;
    std::map<MessageId, std::uint32_t> attempts_;  ///< next attempt number, where above 0
    std::unordered_set<MessageId> held_;
    Time timer_at_ = kNever;
    MessageCounts counts_;
    TurnCosts costs_;
};

}  // namespace cometspoke::bench
