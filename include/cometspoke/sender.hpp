/// cometspoke: the interface of the decision module (its types, events and actions).
///
/// Units: every time is a std::chrono::microseconds count on the caller's own clock, which only advances.
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

/// What a repeat of a message may do: nothing bad, nothing within a window, or take effect twice.
enum class DeliverySemantics { Retryable, Deduplicated, AtMostOnce };
/// Which endpoints of a destination drop a repeat of a Deduplicated message.
enum class DedupScope { All, Zone, Endpoint };
/// How worth falls after the aim: evenly to late_utility at the deadline, or by half with each further aim.
enum class LateDecay { Linear, Halving };

struct ClassSettings {
    DeliverySemantics delivery = DeliverySemantics::Retryable;
    DedupScope dedup_scope = DedupScope::All;
    Time dedup_window{0};    ///< how long repeats are dropped, from the first doubtful send
    Time target_latency{0};  ///< full worth when delivered within this time
    Time deadline{0};        ///< no worth, and a final answer owed, after this time
    double utility = 1.0;
    double late_utility = 0.0;
    bool sequential = false;  ///< messages that share a key go one at a time, in arrival order
};

struct TenantSettings {
    double quota_per_s = 0.0;  ///< across all senders; 0 means no quota
};

struct KindSettings {
    bool limits_per_endpoint = false;  ///< each endpoint is a route with its own limit, waits and outages
    std::size_t max_messages_per_call = 1;  ///< messages that one call may carry
};

/// All that the operator tells a Sender at its start. Figures of the rules keep the operator's names.
struct Settings {
    std::vector<ClassSettings> classes;
    std::vector<TenantSettings> tenants;
    std::vector<KindSettings> kinds;
    std::optional<std::size_t> zone;  ///< index of this sender's own zone
    std::size_t zones = 0;
    std::vector<double>
        zone_costs;  ///< by zone, for each message that a route apart there takes on; or empty
    std::size_t instance_count = 1;
    std::size_t max_calls = 0;          ///< calls out at once
    std::size_t max_held_messages = 0;  ///< messages held at once
    std::size_t max_attempts = 1;
    bool can_cancel = false;
    bool must_subscribe = false;     ///< list changes come only after a Watch
    bool listed_rates = false;       ///< ListEntry::agreed_rate_per_s is the destination's agreed rate
    double reservation_per_s = 0.0;  ///< operator's reservation for each destination (r); 0 means none
    double over_quota_utility = 1.0;
    LateDecay late_decay = LateDecay::Linear;
    Time connection_idle_limit{0};
    Time overload_window{0};
    Time warm_up_time{0};
    Time ambiguous_settle_time{0};
    double overload_multiple = 1.0;
    double cold_capacity_share = 1.0;
};

// ---- events ----

enum class Condition { Removed, Ready, Draining };
enum class ListUpdateKind { Cached, Full, Delta, Failed };

struct ListEntry {
    EndpointId endpoint = 0;
    DestinationId destination = 0;
    std::size_t zone = 0;
    std::size_t kind = 0;
    double agreed_rate_per_s = 0.0;  ///< agreed calls a second from all senders, where Settings::listed_rates
    Condition condition = Condition::Ready;
};
/// What the registry tells. Cached and Full replace the list; Delta amends it; Failed leaves it in force.
struct ListEvent {
    ListUpdateKind kind = ListUpdateKind::Full;
    std::vector<ListEntry> entries;
};
/// The operator takes an endpoint out by hand, or ends that. It holds whatever the list says, before or
/// after.
struct AdminDisableEvent {
    EndpointId endpoint = 0;
    bool disabled = true;
};
/// A new message, to be ended exactly once by a terminal outcome, Refuse or Fail.
struct MessageEvent {
    MessageId message = 0;
    DestinationId destination = 0;
    std::size_t message_class = 0;
    std::optional<std::size_t> tenant;
    std::optional<std::uint64_t> key;
    Time time_left{0};  ///< time until the message is given up; not above 0: it is overdue
    /// For a message that was taken on before a restart: attempts begun so far, and the first of them that
    /// may have run, if any.
    std::uint32_t attempts = 0;
    struct AmbiguousAttempt {
        Time age{0};                           ///< since its sending
        std::optional<EndpointId> endpoint{};  ///< where it went, if that is still known
    };
    std::optional<AmbiguousAttempt> ambiguous_attempt{};
    /// Its class as it was when the message was taken on, where that was before these Settings;
    /// `message_class` means nothing then.
    std::optional<ClassSettings> class_settings{};
};
/// The response of a streamed message has begun: the attempt belongs to the client from here on.
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
    MalformedResponse,  ///< an answer came, and it was spoilt: it may have run
    Withheld            ///< not begun, since it might not any more: it never ran, and is no attempt
};
struct LoadReport {
    double remaining_share = 0.0;  ///< share of the limit that is left
    double limit_per_s = 0.0;      ///< limit in calls a second from all senders; 0 where there is none
};
/// How an attempt ended; each Send gets exactly one.
struct OutcomeEvent {
    MessageId message = 0;
    EndpointId endpoint = 0;
    std::uint32_t attempt = 0;
    Outcome outcome = Outcome::Delivered;
    bool terminal = false;  ///< the message has its final answer
    Time rtt{0};
    Time retry_after{0};  ///< what is left of a told wait, 0 if none: it binds however the attempt ended
    std::optional<LoadReport> report;
    bool connection_limit_reached =
        false;  ///< Rejected, as the endpoint holds all the connections that it takes
};
/// An answer of which more is to come has told a wait.
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
/// Other Settings from now on; messages that are held keep their class. Zones and kinds keep their places,
/// and may only become more.
struct SettingsEvent {
    Settings settings;
};
/// A call that another process of this sender has out: it takes a slot here, and its outcomes come here.
struct InheritedCall {
    EndpointId endpoint = 0;
    Time age{0};
    std::vector<std::pair<MessageId, std::uint32_t>> attempts;  ///< those without an outcome
};
/// What a Sender has learned of one endpoint or destination, or (with neither) of all, for the Sender that
/// takes its place. Times are seconds from the moment of telling; what a name means is the module's affair.
struct LearnedState {
    std::optional<EndpointId> endpoint;
    std::optional<DestinationId> destination;
    std::map<std::string, double> values;
};
using Event =
    std::variant<ListEvent, AdminDisableEvent, SettingsEvent, InheritedCall, LearnedState, MessageEvent,
        StreamStarted, OutcomeEvent, RetryAfterEvent, AbandonedEvent, TimerFired, ProbeResult, PeerMessage>;

// ---- actions ----

/// Start an attempt; attempts of a message count from 0 in the order of their Sends.
struct Send {
    MessageId message = 0;
    EndpointId endpoint = 0;
    Time timeout{0};
    /// A repeat that must begin by then, however long its connection takes to come up; else it is NotSent.
    std::optional<Time> start_within{};
};
struct CancelAttempt {
    MessageId message = 0;
    std::uint32_t attempt = 0;
};
/// Final: never ran, or a repeat does no harm; the client may come again.
struct Refuse {
    MessageId message = 0;
    Time retry_after{0};
};
/// Final: given up, with no promise about its effect.
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
/// A note to one peer, or to all where `to` is empty.
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
/// Nothing here names the endpoint any more, and it is no longer listed. Its number must not be used again.
struct ReleaseEndpoint {
    EndpointId endpoint = 0;
};
using Action = std::variant<Send, CancelAttempt, Refuse, Fail, SetTimer, Probe, CloseIdle, SendToPeers, Watch,
    FetchList, Log, ReleaseEndpoint>;

/// The decisions of one sender. Feed every event to observe(), then call decide() once for the batch and
/// carry out the actions in order. Late or unknown message ids are passed over.
class Sender {
public:
    /// Throws std::invalid_argument naming the setting where Settings make no sense.
    Sender(Settings settings, std::uint64_t seed);
    ~Sender();
    Sender(Sender&&) noexcept;
    Sender& operator=(Sender&&) noexcept;

    /// Throws std::invalid_argument where an event names a class, tenant, zone or kind not in the Settings,
    /// or brings Settings that make no sense; nothing has changed then.
    void observe(const Event& event, Time now);
    std::vector<Action> decide(Time now);
    /// Whether an attempt may still begin. Its connection may have come up long after its Send: a wait that
    /// was told since then binds it too, and so do a drain, a ban and the end of its message.
    bool may_start(MessageId message, std::uint32_t attempt, Time now) const;
    /// For another Sender that takes over: observed there after the list and the messages.
    std::vector<LearnedState> learned_state(Time now) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace cometspoke
