/// Calls to targets over kept-alive connections, one call at a time on each.
///
/// What goes to one target in one turn travels as one call, as far as the target takes several messages in
/// one. It maps what happened to an Outcome and repeats nothing by itself.
#pragma once

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config.hpp"
#include "journal.hpp"

namespace lockgw {

using cometspoke::EndpointId;

struct OutgoingAttempt {
    MessageId message = 0;
    EndpointId endpoint = 0;
    std::uint32_t attempt = 0;
    std::string key, body;
    cometspoke::Time timeout{0};
    std::optional<cometspoke::Time> start_within{};  ///< not written at all after that
    PersistentTime deadline{};                       ///< of its message
};

class EndpointConnection;

class EndpointCaller {
public:
    using Done = std::function<void(cometspoke::OutcomeEvent)>;
    /// Asked for each message whose call is about to be written, and has it on record that it may run from
    /// here on. Where its connection came up late the decision may be old. What may not begin is Withheld.
    using Begin = std::function<bool(MessageId, std::uint32_t attempt)>;
    /// An answer has told a wait and goes on; the outcome that follows tells what is left of it.
    using Waits = std::function<void(cometspoke::RetryAfterEvent)>;

    EndpointCaller(asio::io_context& io, const Config& config, std::size_t most_connections, Begin begin,
        Waits waits, Done done);
    ~EndpointCaller();

    /// `kind` as in the settings: it tells how many messages one call to it may carry.
    void set_address(EndpointId endpoint, const Tcp::endpoint& address, std::size_t kind);
    /// Nothing new goes there; calls that are out are waited for.
    void remove_endpoint(EndpointId endpoint);
    /// All attempts of one turn. Each one's outcome comes by Done, never from within this call.
    void start(std::vector<OutgoingAttempt> attempts);
    /// Its outcome comes once no other message of its call is waited for: a call is given up as a whole.
    void cancel(MessageId message, std::uint32_t attempt);
    void close_idle(EndpointId endpoint);
    std::size_t max_connections() const { return most_; }
    /// So many connections that count here are held by another process.
    void set_reserved_connections(std::size_t elsewhere) { elsewhere_ = elsewhere; }
    std::size_t active_call_count() const { return calls_; }
    void close_all_idle();
    /// What is out, by call.
    struct ActiveCall {
        EndpointId endpoint = 0;
        std::chrono::steady_clock::time_point started_at{};
        std::vector<std::pair<MessageId, std::uint32_t>> attempts;
    };
    std::vector<ActiveCall> active_calls() const;

private:
    friend class EndpointConnection;
    using Connection = std::shared_ptr<EndpointConnection>;

    using Clock = std::chrono::steady_clock;
    /// For how long a connection may rest and still be trusted with a call. Some are ended on the way without
    /// a sign, well before the told limit, and the next call on them ends as a reset.
    struct IdleTrust {
        Clock::duration span = Clock::duration::max();
        Clock::time_point at{};
        Clock::duration now(Clock::time_point time) const;
        void lose(Clock::duration rested, Clock::time_point time);
    };

    Clock::duration trusted(EndpointId endpoint) const;
    /// A call was cut off before any answer, on a connection that had rested so long.
    void lost(EndpointId endpoint, Clock::duration rested);

    /// The target is still where that connection was made to.
    bool leads_to(EndpointId endpoint, const Tcp::endpoint& address) const;
    Connection take_idle(EndpointId endpoint);
    bool make_room();
    void start_call(std::vector<OutgoingAttempt> attempts);
    void not_sent(const OutgoingAttempt& attempt, cometspoke::Outcome outcome);
    void now_idle(const Connection& connection);
    void finishing(const Connection& connection);
    void drop(const Connection& connection);
    /// `over`: the call that carried them carries no other.
    void ended(const std::vector<cometspoke::OutcomeEvent>& outcomes, bool over);

    asio::io_context& io_;
    const Config& config_;
    std::size_t most_, elsewhere_ = 0;
    Begin begin_;
    Waits waits_;
    Done done_;
    std::array<char, 16 * 1024> in_;  // of the connection that is read just now
    struct Place {
        Tcp::endpoint address;
        std::size_t kind = 0;
        IdleTrust trust{};
    };
    IdleTrust trust_;                           // in all targets, once several have cut calls off
    EndpointId lost_last_ = 0;                  // where that happened last,
    std::optional<Clock::time_point> lost_at_;  // and when
    std::map<EndpointId, Place> places_;
    std::map<std::pair<MessageId, std::uint32_t>, Connection> attempts_;
    std::size_t calls_ = 0;              // connections that carry one
    std::vector<Connection> idle_;       // the one used last stands last
    std::vector<Connection> finishing_;  // their calls have an outcome, and their answers go on
};

}  // namespace lockgw
