/// A forwarder without sockets and journal: one real Sender, its calls to modelled endpoints, and the cost of
/// its event-loop iterations.
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

/// Counts of messages by how far they got, and of their attempts.
struct MessageCounts {
    std::uint64_t offered = 0;
    std::uint64_t sent = 0;  ///< messages with at least one started attempt
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t attempts = 0;
    std::uint64_t attempts_to_down = 0;
    std::uint64_t ended_twice = 0;  ///< must stay 0

    MessageCounts& operator+=(const MessageCounts& other);
};

/// The wall-clock cost of event-loop iterations (a batch of observe() calls, then decide()).
struct IterationCosts {
    std::uint64_t iterations = 0;
    WallTime total{0};
    WallTime worst{0};

    IterationCosts& operator+=(const IterationCosts& other);
};

/// The actions Probe, CloseIdle, SendToPeers, Watch, FetchList, Log and ReleaseEndpoint are not modelled and
/// are ignored.
class ModelForwarder {
public:
    /// `endpoints` must outlive the forwarder.
    ModelForwarder(Settings settings, std::uint64_t seed, ModelEndpoints& endpoints);

    /// Adds an event to the next iteration.
    void add(Event event);
    /// The next time at which an outcome or a timer is due.
    Time next_due() const;
    /// Observes the added events, the due outcomes and a due timer, then calls decide() and executes its
    /// actions.
    void run_iteration(Time now);

    const MessageCounts& counts() const { return counts_; }
    const IterationCosts& costs() const { return costs_; }
    void reset_costs() { costs_ = {}; }
    /// Messages that have not ended.
    std::size_t held() const { return held_.size(); }
    /// Whether each message has either ended exactly once or is still held.
    bool adds_up() const;

private:
    using AttemptId = std::pair<MessageId, std::uint32_t>;
    struct PendingOutcome {
        OutcomeEvent event;
        Time started_at{0};
    };

    void add_due_events(Time now);
    void execute(const Action& action, Time now);
    void start_attempt(const Send& send, Time now);
    void cancel_attempt(const CancelAttempt& cancel, Time now);
    void end_message(MessageId message, std::uint64_t& count);

    Sender sender_;
    ModelEndpoints& endpoints_;
    std::vector<Event> events_;
    std::multimap<Time, PendingOutcome> pending_outcomes_;
    std::map<MessageId, std::uint32_t> next_attempts_;  ///< next attempt number of a message, where above 0
    std::unordered_set<MessageId> held_;
    Time timer_at_ = kNever;
    MessageCounts counts_;
    IterationCosts costs_;
};

}  // namespace cometspoke::bench
