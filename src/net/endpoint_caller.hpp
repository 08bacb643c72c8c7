/// HTTP calls to endpoints over kept-alive connections, with one call at a time on each connection.
///
/// Attempts for one endpoint that start in the same event-loop iteration share a call, as far as the endpoint
/// accepts several messages per call. Each result is mapped to an Outcome; nothing is retried here.
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
    std::optional<cometspoke::Time> start_within{};  ///< the attempt is not written after this time
    PersistentTime deadline{};                       ///< of the message
};

class EndpointConnection;

class EndpointCaller {
public:
    using OnOutcome = std::function<void(cometspoke::OutcomeEvent)>;
    /// Called for each message just before its call is written. It records in the journal that the message
    /// may run from now on, or returns false if the attempt must not start any more, because the connection
    /// was established late and the decision to send is outdated. Such an attempt ends as Withheld.
    using MayStart = std::function<bool(MessageId, std::uint32_t attempt)>;
    /// Called when a response has carried a Retry-After and is still incomplete. The outcome that follows
    /// carries what remains of that time.
    using OnRetryAfter = std::function<void(cometspoke::RetryAfterEvent)>;

    EndpointCaller(asio::io_context& io, const Config& config, std::size_t max_connections,
        MayStart may_start, OnRetryAfter on_retry_after, OnOutcome on_outcome);
    ~EndpointCaller();

    /// `kind` is the index of the kind in the settings, which hold the number of messages per call.
    void set_address(EndpointId endpoint, const Tcp::endpoint& address, std::size_t kind);
    /// No new calls go to the endpoint; active calls continue until they end.
    void remove_endpoint(EndpointId endpoint);
    /// Takes all attempts of one event-loop iteration. Their outcomes are reported through OnOutcome, never
    /// from within this function.
    void start(std::vector<OutgoingAttempt> attempts);
    /// The outcome follows once no other message of the call is awaited, because a call can only be given up
    /// as a whole.
    void cancel(MessageId message, std::uint32_t attempt);
    void close_idle(EndpointId endpoint);
    std::size_t max_connections() const { return max_connections_; }
    /// Another process holds this many connections that count towards the maximum.
    void set_reserved_connections(std::size_t count) { reserved_connections_ = count; }
    std::size_t active_call_count() const { return active_call_count_; }
    void close_all_idle();
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
    /// How long a connection may have been idle and still be used for a call. Some connections are dropped on
    /// the network path without notice, well before the configured idle limit, and the next call on such a
    /// connection ends with a reset.
    struct IdleReuseLimit {
        Clock::duration limit = Clock::duration::max();
        Clock::time_point lowered_at{};
        Clock::duration at(Clock::time_point now) const;
        void lower(Clock::duration idle_time, Clock::time_point now);
    };

    Clock::duration idle_reuse_limit(EndpointId endpoint) const;
    /// Handles a call that was reset before any response, on a connection that had been idle for `idle_time`.
    void record_idle_reset(EndpointId endpoint, Clock::duration idle_time);

    /// Whether the endpoint still has the address to which a connection was made.
    bool has_address(EndpointId endpoint, const Tcp::endpoint& address) const;
    Connection take_idle(EndpointId endpoint);
    bool make_room();
    void start_call(std::vector<OutgoingAttempt> attempts);
    void post_outcome(const OutgoingAttempt& attempt, cometspoke::Outcome outcome);
    void add_idle(const Connection& connection);
    void add_lingering(const Connection& connection);
    void close_connection(const Connection& connection);
    /// `call_ended`: no other attempt of the call remains.
    void report_outcomes(const std::vector<cometspoke::OutcomeEvent>& outcomes, bool call_ended);

    asio::io_context& io_;
    const Config& config_;
    std::size_t max_connections_, reserved_connections_ = 0;
    MayStart may_start_;
    OnRetryAfter on_retry_after_;
    OnOutcome on_outcome_;
    std::array<char, 16 * 1024> read_buffer_;  // of the connection that is being read
    struct EndpointState {
        Tcp::endpoint address;
        std::size_t kind = 0;
        IdleReuseLimit idle_reuse_limit{};
    };
    IdleReuseLimit common_idle_reuse_limit_;  // for all endpoints, once several have reset calls
    EndpointId last_reset_endpoint_ = 0;
    std::optional<Clock::time_point> last_reset_at_;
    std::map<EndpointId, EndpointState> endpoints_;
    std::map<std::pair<MessageId, std::uint32_t>, Connection> connections_by_attempt_;
    std::size_t active_call_count_ = 0;
    std::vector<Connection> idle_;       // in order of last use, the most recent last
    std::vector<Connection> lingering_;  // the outcomes are known, but the responses have not ended
};

}  // namespace lockgw
