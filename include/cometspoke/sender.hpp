/// The interface of cometspoke, the decision module of a message forwarder: its settings, events and actions.
///
/// Units: every Time is a duration, or a point on the caller's own monotonic clock, in microseconds.
/// Ownership: a Sender owns all its state and shares nothing with other Senders.
/// Threads: a Sender is not thread-safe; one thread at a time calls it. It starts no thread and does no I/O.
/// Determinism: the same settings, seed, events and times give the same actions.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cometspoke {

using Time = std::chrono::microseconds;
using MessageId = std::uint64_t;
using EndpointId = std::uint32_t;
using DestinationId = std::int64_t;

/// What repeating a message may cause: no harm, no second effect within a deduplication window, or a second
/// effect.
enum class DeliverySemantics { Retryable, Deduplicated, AtMostOnce };
/// Which endpoints of a destination discard a repeat of a Deduplicated message: all, those of the zone of the
/// first attempt, or the endpoint of the first attempt only.
enum class DedupScope { All, Zone, Endpoint };
/// How utility decays after the target latency: linearly to late_utility at the deadline, or by half with
/// each further target latency, but not below late_utility.
enum class LateDecay { Linear, Halving };

struct ClassSettings {
    DeliverySemantics delivery = DeliverySemantics::Retryable;
    DedupScope dedup_scope = DedupScope::All;
    /// Repeats are discarded for this long, from the sending of the first ambiguous attempt.
    Time dedup_window{0};
    Time target_latency{0};  ///< a message that is delivered within this time has its full utility
    Time deadline{0};        ///< after this time a message has no utility, and its final reply is due
    double utility = 1.0;
    double late_utility = 0.0;
    bool sequential = false;  ///< messages with the same key are sent one at a time, in arrival order
};

struct TenantSettings {
    double quota_per_s = 0.0;  ///< across all senders; 0 means no quota
};

struct KindSettings {
    bool limits_per_endpoint = false;       ///< each endpoint has its own limit, retry-after and outages
    std::size_t max_messages_per_call = 1;  ///< one call may carry this many messages
};

/// The configuration of a Sender.
struct Settings {
    std::vector<ClassSettings> classes;
    std::vector<TenantSettings> tenants;
    std::vector<KindSettings> kinds;
    std::optional<std::size_t> zone;  ///< index of this sender's own zone
    std::size_t zones = 0;
    /// By zone: the cost of each message that an endpoint with limits_per_endpoint takes there; may be empty.
    std::vector<double> zone_costs;
    std::size_t instance_count = 1;     ///< number of senders, this one included
    std::size_t max_calls = 0;          ///< calls in flight at once
    std::size_t max_held_messages = 0;  ///< messages in memory at once
    std::size_t max_attempts = 1;       ///< of one message
    bool can_cancel = false;            ///< CancelAttempt is available
    bool must_subscribe = false;        ///< list updates arrive only after a Watch
    bool listed_rates = false;          ///< the list carries ListEntry::agreed_rate_per_s
    double reservation_per_s = 0.0;     ///< mClock reservation of each destination (r); 0 means none
    double over_quota_utility = 1.0;    ///< factor on the utility of a message above the quota of its tenant
    LateDecay late_decay = LateDecay::Linear;
    Time connection_idle_limit{0};  ///< an idle connection closes after this time
    /// The calls that an endpoint in slow start gets are counted over a window of this length.
    Time overload_window{0};
    Time warm_up_time{0};           ///< duration of the slow start of an endpoint after an outage
    Time ambiguous_settle_time{0};  ///< after an ambiguous attempt its key rests for this time
    /// Within one overload_window an endpoint in slow start may get at most this many times the calls that
    /// its present (cold) capacity handles in that time, from all senders together; above that it fails
    /// again.
    double overload_multiple = 1.0;
    double cold_capacity_share = 1.0;  ///< share of its capacity that an endpoint has as slow start begins
};

// ---- events ----

enum class Condition { Removed, Ready, Draining };
enum class ListUpdateKind { Cached, Full, Delta, Failed };

struct ListEntry {
    EndpointId endpoint = 0;
    DestinationId destination = 0;
    std::optional<std::size_t> zone{};  ///< empty if it is not known
    std::size_t kind = 0;
    double agreed_rate_per_s = 0.0;  ///< calls a second from all senders, if Settings::listed_rates
    Condition condition = Condition::Ready;
};
/// A list of endpoints from the registry. Cached and Full replace the list, Delta changes single entries, and
/// Failed leaves the list as it is. What is known of an endpoint but its condition stays when it is removed.
struct ListEvent {
    ListUpdateKind kind = ListUpdateKind::Full;
    std::vector<ListEntry> entries;
};
/// An operator disables an endpoint or enables it again. This applies whatever the list says, before or
/// after.
struct AdminDisableEvent {
    EndpointId endpoint = 0;
    bool disabled = true;
};
/// A new message. It ends exactly once, by a terminal outcome, Refuse or Fail.
struct MessageEvent {
    MessageId message = 0;
    DestinationId destination = 0;
    std::size_t message_class = 0;
    std::optional<std::size_t> tenant;
    std::optional<std::uint64_t> key;
    Time time_left{0};  ///< time until the deadline; the message is overdue if this is not positive
    /// For a message that was accepted before a restart: the number of attempts started so far, and below the
    /// first of them that may have run, if any.
    std::uint32_t attempts = 0;
    struct AmbiguousAttempt {
        Time age{0};                           ///< time since it was sent
        std::optional<EndpointId> endpoint{};  ///< where it was sent, if still known
    };
    std::optional<AmbiguousAttempt> ambiguous_attempt{};
    /// The settings of its class when the message was accepted, if it was accepted under earlier Settings;
    /// `message_class` is ignored then.
    std::optional<ClassSettings> class_settings{};
    bool recovered = false;  ///< it was accepted before a restart
};
/// The response to a streamed message has started. From now on the attempt belongs to the client.
struct StreamStarted {
    MessageId message = 0;
    std::uint32_t attempt = 0;
};
enum class Outcome {
    Delivered,
    ServerError,
    Rejected,
    TimedOut,
    ConnectFailed,
    ConnectionLost,
    Cancelled,
    NotSent,
    MalformedResponse,  ///< a response arrived but was malformed; the message may have run
    Withheld            ///< not started, as may_start() denied it; it never ran and counts as no attempt
};
struct LoadReport {
    double remaining_share = 0.0;  ///< unused share of the limit
    double limit_per_s = 0.0;      ///< calls a second from all senders; 0 if there is no limit
};
/// How an attempt ended. Each Send gets exactly one.
struct OutcomeEvent {
    MessageId message = 0;
    EndpointId endpoint = 0;
    std::uint32_t attempt = 0;
    Outcome outcome = Outcome::Delivered;
    bool terminal = false;  ///< the message has its final reply
    Time rtt{0};
    Time retry_after{0};  ///< the remaining retry-after, 0 if none; it applies to every outcome
    std::optional<LoadReport> report;
    /// The outcome is Rejected because the connection limit of the endpoint is used up.
    bool connection_limit_reached = false;
};
/// A retry-after in a response that is not complete yet.
struct RetryAfterEvent {
    EndpointId endpoint = 0;
    Time retry_after{0};
};
struct AbandonedEvent {
    MessageId message = 0;
};
struct TimerFired {};
struct ProbeResult {
    EndpointId endpoint = 0;
    Outcome outcome = Outcome::Delivered;
    Time rtt{0};
    std::optional<LoadReport> report;
};
struct PeerMessage {
    std::size_t from = 0;
    std::string bytes;
};
/// New Settings. Messages that are held keep the settings of their class. Zones and kinds keep their indices,
/// and none may be removed.
struct SettingsEvent {
    Settings settings;
};
/// An attempt without an outcome yet. It blocks the order key of its message, which may have ended before.
struct InheritedAttempt {
    MessageId message = 0;
    std::uint32_t attempt = 0;
    std::optional<std::uint64_t> key{};  ///< if empty, the key of the held message applies
};
/// A call in flight on a connection of another process of this sender. It counts against max_calls here, and
/// its outcomes are observed here.
struct InheritedCall {
    EndpointId endpoint = 0;
    Time age{0};
    std::vector<InheritedAttempt> attempts;
};
/// For the given time no message of the order key is sent, because an earlier one may still be running. A
/// Sender that takes over observes these events before it observes the messages.
struct KeyRestEvent {
    std::optional<std::uint64_t> key;  ///< empty: all keys
    Time remaining{0};
    MessageId exempt_message = 0;  ///< a message of the key that may be sent all the same; 0: none
};
/// What a Sender has learned of one endpoint or destination, or (with neither) of all destinations, for the
/// Sender that replaces it. Times are seconds relative to the call of learned_state(). The names in `values`
/// are internal to the module.
struct LearnedState {
    std::optional<EndpointId> endpoint;
    std::optional<DestinationId> destination;
    std::map<std::string, double> values;
};
using Event = std::variant<ListEvent, AdminDisableEvent, SettingsEvent, InheritedCall, KeyRestEvent,
    LearnedState, MessageEvent, StreamStarted, OutcomeEvent, RetryAfterEvent, AbandonedEvent, TimerFired,
    ProbeResult, PeerMessage>;

// ---- actions ----

/// Starts an attempt. The attempts of a message are numbered from 0 in the order of their Sends.
struct Send {
    MessageId message = 0;
    EndpointId endpoint = 0;
    Time timeout{0};
    /// The time within which a repeat must start, including the time to connect; after it the outcome is
    /// NotSent.
    std::optional<Time> start_within{};
};
struct CancelAttempt {
    MessageId message = 0;
    std::uint32_t attempt = 0;
};
/// Ends a message that never ran, or whose repeat does no harm. The client may retry it.
struct Refuse {
    MessageId message = 0;
    Time retry_after{0};
};
/// Ends a message without a guarantee whether it took effect.
struct Fail {
    MessageId message = 0;
};
struct SetTimer {
    Time delay{0};
};
struct Probe {
    EndpointId endpoint = 0;
};
struct CloseIdle {
    EndpointId endpoint = 0;
};
/// Sends a message to one peer, or to all peers if `to` is empty.
struct SendToPeers {
    std::optional<std::size_t> to;
    std::string bytes;
};
struct Watch {
    bool on = true;
};
struct FetchList {};
struct Log {
    std::string text;
};
/// The Sender no longer refers to the endpoint, and the endpoint is no longer listed. Its id must not be
/// reused.
struct ReleaseEndpoint {
    EndpointId endpoint = 0;
};
using Action = std::variant<Send, CancelAttempt, Refuse, Fail, SetTimer, Probe, CloseIdle, SendToPeers, Watch,
    FetchList, Log, ReleaseEndpoint>;

/// Decides for one sender. Pass every event to observe(), then call decide() once for the batch and carry out
/// the actions in order. Events with unknown message ids, such as late ones, are ignored.
class Sender {
public:
    /// Throws std::invalid_argument with the name of the setting if the Settings are invalid.
    Sender(Settings settings, std::uint64_t seed);
    ~Sender();
    Sender(Sender&&) noexcept;
    Sender& operator=(Sender&&) noexcept;

    /// Throws std::invalid_argument if an event refers to a class, tenant, zone or kind that is not in the
    /// Settings, or contains invalid Settings. The state is unchanged then.
    void observe(const Event& event, Time now);
    std::vector<Action> decide(Time now);
    /// Whether an attempt may still start. Its connection may have been set up long after its Send: a
    /// retry-after received since then prevents the start, and so do a drain, an administrative disable and
    /// the end of the message.
    bool may_start(MessageId message, std::uint32_t attempt, Time now) const;
    /// The state for another Sender that takes over. It observes this state after the list and the messages.
    std::vector<LearnedState> learned_state(Time now) const;
    /// The keys that rest, for another Sender that takes over.
    std::vector<KeyRestEvent> resting_keys(Time now) const;
    /// The order key that an attempt without an outcome blocks, if its message has one.
    std::optional<std::uint64_t> key_of_attempt(MessageId message, std::uint32_t attempt) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace cometspoke
