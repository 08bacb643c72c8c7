/// A simulated fleet: real Senders on one virtual clock, and endpoints with a service time, a rate limit, a
/// connection limit, outages and reduced (cold) capacity after them. Every step checks the rules that a
/// Sender must obey.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>

#include "helpers.hpp"

namespace cometspoke::testing {

/// The behaviour of an endpoint during an outage.
enum class OutageKind {
    RefusesConnects,        ///< open calls are reset at its start, then no connect succeeds
    Hangs,                  ///< no open call ever gets a response
    ServerErrors,           ///< each call gets an error response and may have run
    Resets,                 ///< each call's connection is reset, and the call may have run
    Rejects,                ///< each call is rejected without running and without a retry-after
    RejectsWithRetryAfter,  ///< the same, with the time left until the end as retry-after
    Slow                    ///< each call is delivered after kSlowResponse
};

/// One outage. All times of a plan are relative to the start of the run.
struct Outage {
    OutageKind kind = OutageKind::RefusesConnects;
    Time from{0};
    Time until{0};
    bool cold_after = true;  ///< it recovers with cold capacity
};

struct EndpointPlan {
    std::size_t zone = 0;
    double capacity_per_s = 50.0;  ///< calls per second that it processes when warm; further calls are queued
    Time service_time = ms(100);   ///< mean; each call deviates by up to a fifth
    std::optional<double> limit_per_s;           ///< calls beyond it are rejected
    bool sends_retry_after = false;              ///< such a rejection carries a retry-after
    std::optional<std::size_t> max_connections;  ///< from all senders, including idle connections
    bool is_spared = false;                      ///< it is not affected by an outage of the destination
    std::vector<Outage> outages;
};

/// One destination, its endpoints and the fleet of Settings::instance_count senders that sends to it.
struct FleetPlan {
    Settings settings;
    std::vector<EndpointPlan> endpoints;
    double offered_per_s = 30.0;      ///< messages of class 0, from all senders
    std::size_t keys_per_sender = 0;  ///< each message has a key if this is above 0
    Time traffic_ends{0};
    std::uint64_t seed = 1;
};

constexpr Time kRunStart = ms(1'000'000);    // arbitrary: a Sender's clock need not start at 0
constexpr Time kOutcomeSlack = ms(3);        // a timer's minimum delay of 1 ms, and rounding
constexpr Time kQuickResponse = ms(2);       // a rejection, an error or a reset on loopback
constexpr Time kSlowResponse = ms(3'000);    // thirty times the service time
constexpr Time kOverloadOutage = ms(6'000);  // outage of an endpoint that was overloaded
constexpr Time kLimitBurst = ms(500);        // burst that an endpoint accepts, as time at its limit

/// An attempt with this outcome never ran.
inline bool never_ran(Outcome outcome) {
    return outcome == Outcome::Rejected || outcome == Outcome::ConnectFailed || outcome == Outcome::NotSent ||
           outcome == Outcome::Withheld;
}

/// The response of an endpoint to one call.
struct Response {
    Outcome outcome = Outcome::Delivered;
    Time delay{0};
    Time retry_after{0};  ///< sent with the response
};

/// One simulated endpoint with its outages, its limit and its cold capacity.
class SimulatedEndpoint {
public:
    SimulatedEndpoint(EndpointPlan plan, const Settings& settings)
        : plan_(std::move(plan)), settings_(settings) {
        for (Outage& outage : plan_.outages) outage.from += kRunStart, outage.until += kRunStart;
    }

    const EndpointPlan& plan() const { return plan_; }
    const std::vector<Outage>& outages() const { return plan_.outages; }
    std::size_t overload_outages() const { return overload_outages_; }

    const Outage* outage_at(Time now) const {
        for (const Outage& outage : plan_.outages)
            if (outage.from <= now && now < outage.until) return &outage;
        return nullptr;
    }
    /// The share of its capacity that is available now: cold_capacity_share at the end of an outage, rising
    /// to 1 after warm_up_time.
    double capacity_share(Time now) const {
        double available = 1.0;
        for (const Outage& outage : plan_.outages)
            if (outage.cold_after && outage.until <= now && now < outage.until + settings_.warm_up_time)
                available = std::min(available,
                    settings_.cold_capacity_share + (1.0 - settings_.cold_capacity_share) *
                                                        share(now - outage.until, settings_.warm_up_time));
        return available;
    }
    double present_capacity(Time now) const {
        return outage_at(now) != nullptr ? 0.0 : plan_.capacity_per_s * capacity_share(now);
    }

    /// Counts a call that arrives outside outages. Returns true if this call overloads the endpoint.
    bool is_overloaded_by_call(Time now) {
        recent_arrivals_.push_back(now);
        while (recent_arrivals_.front() <= now - settings_.overload_window) recent_arrivals_.pop_front();
        const double expected = settings_.overload_multiple * present_capacity(now) *
                                static_cast<double>(settings_.overload_window.count()) / 1e6;
        if (static_cast<double>(recent_arrivals_.size()) <= expected + 2.0 * std::sqrt(expected) + 2.0)
            return false;
        ++overload_outages_;
        plan_.outages.push_back({OutageKind::RefusesConnects, now, now + kOverloadOutage, true});
        return true;
    }
    /// The response to a call that arrives now, or none if there is never a response.
    std::optional<Response> respond(Time now, std::mt19937_64& random) {
        if (const Outage* outage = outage_at(now)) return respond_during_outage(*outage, now);
        if (plan_.limit_per_s && !is_within_limit(*plan_.limit_per_s, now))
            return limit_rejection(*plan_.limit_per_s, now);
        const double spread = std::uniform_real_distribution<double>(0.8, 1.2)(random);
        queue_empty_at_ = std::max(queue_empty_at_, now) + scaled(ms(1'000), 1.0 / present_capacity(now));
        return Response{
            Outcome::Delivered, queue_empty_at_ - now + scaled(plan_.service_time, spread), Time(0)};
    }
    /// An outage begins: the queue is lost, and calls before it do not count towards an overload after it.
    void restart() {
        queue_empty_at_ = Time(0);
        recent_arrivals_.clear();
    }

private:
    static double share(Time part, Time whole) {
        return static_cast<double>(part.count()) / static_cast<double>(whole.count());
    }
    static Time scaled(Time time, double by) {
        return Time(static_cast<Time::rep>(static_cast<double>(time.count()) * by));
    }
    static std::optional<Response> respond_during_outage(const Outage& outage, Time now) {
        switch (outage.kind) {
            case OutageKind::RefusesConnects:
                return Response{Outcome::ConnectFailed, kQuickResponse, Time(0)};
            case OutageKind::ServerErrors:
                return Response{Outcome::ServerError, kQuickResponse, Time(0)};
            case OutageKind::Resets:
                return Response{Outcome::ConnectionLost, kQuickResponse, Time(0)};
            case OutageKind::Rejects:
                return Response{Outcome::Rejected, kQuickResponse, Time(0)};
            case OutageKind::RejectsWithRetryAfter:
                return Response{Outcome::Rejected, kQuickResponse, std::max(ms(1), outage.until - now)};
            case OutageKind::Slow:
                return Response{Outcome::Delivered, kSlowResponse, Time(0)};
            case OutageKind::Hangs:
                break;
        }
        return std::nullopt;
    }
    // The limit is a tag that may lag behind the time by kLimitBurst.
    bool is_within_limit(double limit_per_s, Time now) {
        const Time tag = std::max(limit_tag_, now - kLimitBurst) + scaled(ms(1'000), 1.0 / limit_per_s);
        if (tag > now) return false;
        limit_tag_ = tag;
        return true;
    }
    Response limit_rejection(double limit_per_s, Time now) const {
        const Time until = limit_tag_ + scaled(ms(1'000), 1.0 / limit_per_s) - now + ms(1);
        return Response{
            Outcome::Rejected, kQuickResponse, plan_.sends_retry_after ? until + kLimitBurst / 5 : Time(0)};
    }

    EndpointPlan plan_;
    const Settings& settings_;
    std::deque<Time> recent_arrivals_;  // arrivals within the last Settings::overload_window
    Time limit_tag_{0};
    Time queue_empty_at_{0};  // when the calls accepted so far will have left the queue
    std::size_t overload_outages_ = 0;
};

/// Records the history of each message and finds the first violation of a rule.
class RuleChecker {
public:
    RuleChecker(const Settings& settings, const std::vector<EndpointPlan>& endpoints)
        : settings_(settings),
          endpoints_(endpoints),
          open_calls_(settings.instance_count, 0),
          retry_after_until_(settings.instance_count) {}

    struct Record {
        std::size_t sender = 0;
        MessageEvent event;
        Time arrived_at{0}, deadline{0};
        std::size_t attempts = 0;
        int open_attempts = 0;
        std::optional<Time> ambiguous_since;  // when the first attempt that may have run was sent
        std::optional<EndpointId> ambiguous_endpoint;
        std::optional<Time> final_outcome_at, delivered_at;
        std::vector<std::string> trace;
    };

    /// The first violation with the history of its message; empty if there is none.
    const std::string& violation() const { return violation_; }
    const std::map<MessageId, Record>& records() const { return records_; }

    void arrived(std::size_t sender, const MessageEvent& event, Time now) {
        Record& record = records_[event.message];
        record.sender = sender;
        record.event = event;
        record.arrived_at = now;
        record.deadline = now + event.time_left;
        add_to_trace(event.message, "arrived", now);
        if (event.key) key_queues_[{sender, *event.key}].waiting.push_back(event.message);
    }
    void sent(std::size_t sender, const Send& send, Time now) {
        Record& record = records_.at(send.message);
        add_to_trace(send.message, "sent to " + std::to_string(send.endpoint), now);
        const MessageId id = send.message;
        require(id, record.sender == sender, "sent by a sender that does not hold the message");
        require(id, !record.final_outcome_at, "sent after its final outcome");
        require(id, record.open_attempts == 0, "two attempts at the same time");
        require(id, record.attempts < settings_.max_attempts, "more than max_attempts");
        require(id, static_cast<std::size_t>(open_calls_[sender]) < settings_.max_calls,
            "more open calls than max_calls");
        require(id, retry_after_until_[sender][limit_id_of(send.endpoint)] <= now,
            "sent before retry-after has passed");
        check_retry(record, send, now);
        check_order(record, id, now);
        ++record.attempts;
        ++record.open_attempts;
        ++open_calls_[sender];
    }
    void ended(std::size_t sender, const OutcomeEvent& event, Time sent, Time now) {
        Record& record = records_.at(event.message);
        add_to_trace(event.message, "outcome " + std::to_string(static_cast<int>(event.outcome)), now);
        --record.open_attempts;
        --open_calls_[sender];
        Time& retry_after = retry_after_until_[sender][limit_id_of(event.endpoint)];
        retry_after = std::max(retry_after, now + event.retry_after);
        if (!never_ran(event.outcome) && (!record.ambiguous_since || sent < *record.ambiguous_since)) {
            record.ambiguous_since = sent;
            record.ambiguous_endpoint = event.endpoint;
        }
        if (record.event.key) rest(record, event, now);
        if (event.outcome != Outcome::Delivered || record.final_outcome_at) return;
        record.final_outcome_at = record.delivered_at = now;
    }
    void refused(std::size_t sender, MessageId id, Time now) {
        const Record& record = records_.at(id);
        const bool at_most_once = class_of(record).delivery == DeliverySemantics::AtMostOnce;
        add_to_trace(id, "refused", now);
        require(id, !at_most_once || (record.open_attempts == 0 && !record.ambiguous_since),
            "refused although an attempt may have run");
        set_final_outcome(sender, id, now);
    }
    void failed(std::size_t sender, MessageId id, Time now) {
        add_to_trace(id, "failed", now);
        set_final_outcome(sender, id, now);
    }
    /// Called kOutcomeSlack after a message's deadline.
    void check_deadline(MessageId id) {
        const Record& record = records_.at(id);
        require(id, record.final_outcome_at && *record.final_outcome_at <= record.deadline + kOutcomeSlack,
            "no final outcome by its deadline");
    }

private:
    struct KeyQueue {
        std::deque<MessageId> waiting;
        Time rest_until{0};
        MessageId exempt_message = 0;  // the message that may be sent before rest_until
    };

    const ClassSettings& class_of(const Record& record) const {
        return settings_.classes.at(record.event.message_class);
    }
    // A retry-after applies to the destination, or to the endpoint if limits apply per endpoint.
    EndpointId limit_id_of(EndpointId endpoint) const {
        return settings_.kinds.at(0).limits_per_endpoint ? endpoint : 0;
    }
    void check_retry(const Record& record, const Send& send, Time now) {
        const ClassSettings& class_settings = class_of(record);
        if (!record.ambiguous_since || class_settings.delivery == DeliverySemantics::Retryable) return;
        require(send.message, class_settings.delivery != DeliverySemantics::AtMostOnce,
            "at-most-once, sent again although an attempt may have run");
        if (class_settings.delivery != DeliverySemantics::Deduplicated) return;
        require(send.message, now <= *record.ambiguous_since + class_settings.dedup_window,
            "retried outside its dedup window");
        const EndpointId first = record.ambiguous_endpoint.value_or(send.endpoint);
        if (class_settings.dedup_scope == DedupScope::Endpoint)
            require(send.message, first == send.endpoint, "retried at another endpoint");
        if (class_settings.dedup_scope == DedupScope::Zone)
            require(send.message, endpoints_.at(first).zone == endpoints_.at(send.endpoint).zone,
                "retried in another zone");
    }
    void check_order(const Record& record, MessageId id, Time now) {
        if (!record.event.key || !class_of(record).sequential) return;
        KeyQueue& queue = key_queues_.at({record.sender, *record.event.key});
        while (!queue.waiting.empty() && has_ended(queue.waiting.front())) queue.waiting.pop_front();
        require(id, !queue.waiting.empty() && queue.waiting.front() == id,
            "sent before an earlier message of its key");
        require(id, queue.exempt_message == id || queue.rest_until <= now,
            "sent before ambiguous_settle_time has passed");
    }
    bool has_ended(MessageId id) const {
        const Record& record = records_.at(id);
        return record.final_outcome_at && record.open_attempts == 0;
    }
    void rest(const Record& record, const OutcomeEvent& event, Time now) {
        if (event.outcome != Outcome::TimedOut && event.outcome != Outcome::ConnectionLost &&
            event.outcome != Outcome::Cancelled)
            return;
        KeyQueue& queue = key_queues_.at({record.sender, *record.event.key});
        queue.rest_until = std::max(queue.rest_until, now + settings_.ambiguous_settle_time);
        queue.exempt_message = event.message;
    }
    void set_final_outcome(std::size_t sender, MessageId id, Time now) {
        Record& record = records_.at(id);
        require(id, record.sender == sender, "ended by a sender that does not hold the message");
        require(id, !record.final_outcome_at, "two final outcomes");
        record.final_outcome_at = now;
    }
    void add_to_trace(MessageId id, const std::string& what, Time now) {
        records_.at(id).trace.push_back(std::to_string((now - kRunStart).count()) + " us: " + what);
    }
    void require(MessageId id, bool holds, const char* rule) {
        if (holds || !violation_.empty()) return;
        violation_ = "message " + std::to_string(id) + ": " + rule;
        for (const std::string& line : records_.at(id).trace) violation_ += "\n    " + line;
    }

    const Settings& settings_;
    const std::vector<EndpointPlan>& endpoints_;
    std::map<MessageId, Record> records_;
    std::map<std::pair<std::size_t, std::uint64_t>, KeyQueue> key_queues_;  // by sender and key
    std::vector<int> open_calls_;                                           // by sender
    std::vector<std::map<EndpointId, Time>> retry_after_until_;             // by sender and limit
    std::string violation_;
};

/// Simulates a plan. Runs with the same seed are identical.
class FleetWorld {
public:
    explicit FleetWorld(FleetPlan plan)
        : plan_(std::move(plan)), random_(plan_.seed), rules_(plan_.settings, plan_.endpoints) {
        for (const EndpointPlan& endpoint : plan_.endpoints)
            endpoints_.emplace_back(endpoint, plan_.settings);
        for (std::size_t index = 0; index < plan_.settings.instance_count; ++index) add_sender(index);
        for (EndpointId id = 0; id < endpoints_.size(); ++id)
            for (const Outage& outage : endpoints_[id].outages())
                at(outage.from, [this, id, kind = outage.kind] { begin_outage(id, kind); });
        schedule_arrival();
    }

    /// Runs until each message has its final outcome or a rule is violated.
    void run() {
        const Time end = kRunStart + plan_.traffic_ends + plan_.settings.classes[0].deadline + ms(100);
        while (!schedule_.empty() && schedule_.top().at <= end && rules_.violation().empty()) {
            const Scheduled next = schedule_.top();
            schedule_.pop();
            now_ = next.at;
            next.run();
        }
        if (!rules_.violation().empty()) ADD_FAILURE() << "seed " << plan_.seed << ", " << rules_.violation();
    }

    std::size_t offered(Time from, Time until) const {
        return count(from, until, [](const RuleChecker::Record&) { return true; });
    }
    /// The number of messages that arrived in the period and were delivered by their deadline.
    std::size_t delivered(Time from, Time until) const {
        return count(from, until, [](const RuleChecker::Record& record) {
            return record.delivered_at && *record.delivered_at <= record.deadline;
        });
    }
    /// The first delivery by a call sent at `from` or later, or none.
    std::optional<Time> first_delivery_sent_since(Time from) const {
        const auto found = delivered_at_by_sent_at_.lower_bound(kRunStart + from);
        if (found == delivered_at_by_sent_at_.end()) return std::nullopt;
        Time first = found->second;
        for (auto entry = found; entry != delivered_at_by_sent_at_.end(); ++entry)
            first = std::min(first, entry->second);
        return first - kRunStart;
    }
    std::size_t overload_outages() const {
        std::size_t total = 0;
        for (const SimulatedEndpoint& endpoint : endpoints_) total += endpoint.overload_outages();
        return total;
    }
    /// The number of messages that an oracle would deliver in time. It knows the true state of the endpoints
    /// with a delay of one `overload_window`, holds messages while all endpoints are out, and then sends at
    /// the present capacity, earliest first.
    std::size_t delivered_by_oracle() const;

private:
    struct Scheduled {
        Time at{0};
        std::uint64_t order = 0;  // of two events at the same time, the one scheduled first runs first
        std::function<void()> run;
        bool operator<(const Scheduled& other) const {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    struct Member {
        std::unique_ptr<Sender> sender;
        std::uint64_t timer = 0;  // number of the newest timer, which replaces the earlier ones
        std::map<EndpointId, std::vector<Time>> idle;  // closing times of the idle connections
    };
    struct OpenCall {
        std::size_t sender = 0;
        EndpointId endpoint = 0;
        MessageId message = 0;
        std::uint32_t attempt = 0;
        Time sent{0};
        bool hangs = false;  // ended only by its timeout or its cancellation
    };
    using CallId = std::uint64_t;

    void at(Time when, std::function<void()> run) { schedule_.push({when, ++scheduled_, std::move(run)}); }

    void add_sender(std::size_t index) {
        Settings settings = plan_.settings;
        if (settings.zones > 0) settings.zone = index % settings.zones;
        members_.push_back({std::make_unique<Sender>(settings, plan_.seed * 1'000 + index), 0, {}});
        ListEvent list;
        for (EndpointId id = 0; id < endpoints_.size(); ++id) {
            const EndpointPlan& endpoint = endpoints_[id].plan();
            list.entries.push_back({id, 0, endpoint.zone, 0, endpoint.capacity_per_s, Condition::Ready});
        }
        members_.back().sender->observe(list, now_);
        decide(index);
    }

    void schedule_arrival() {
        const double gap_s = std::exponential_distribution<double>(plan_.offered_per_s)(random_);
        const Time when = now_ + Time(1 + static_cast<Time::rep>(gap_s * 1e6));
        if (when < kRunStart + plan_.traffic_ends) at(when, [this] { arrive(); });
    }
    void arrive() {
        const std::size_t index = pick(members_.size());
        MessageEvent event;
        event.message = ++messages_;
        event.time_left = plan_.settings.classes[0].deadline;
        if (!plan_.settings.tenants.empty()) event.tenant = pick(plan_.settings.tenants.size());
        if (plan_.keys_per_sender > 0) event.key = pick(plan_.keys_per_sender);
        rules_.arrived(index, event, now_);
        at(now_ + event.time_left + kOutcomeSlack, [this, id = event.message] { rules_.check_deadline(id); });
        observe(index, event);
        schedule_arrival();
    }

    void observe(std::size_t index, const Event& event) {
        members_[index].sender->observe(event, now_);
        decide(index);
    }
    void decide(std::size_t index) {
        for (const Action& action : members_[index].sender->decide(now_))
            std::visit([&](const auto& one) { act(index, one); }, action);
    }
    void act(std::size_t index, const Send& send) {
        const auto attempt = static_cast<std::uint32_t>(rules_.records().at(send.message).attempts);
        rules_.sent(index, send, now_);
        const CallId call = ++calls_;
        open_calls_.emplace(call, OpenCall{index, send.endpoint, send.message, attempt, now_, false});
        at(now_ + send.timeout, [this, call] { end_call(call, {Outcome::TimedOut, Time(0), Time(0)}); });
        if (!acquire_connection(index, send.endpoint)) {
            const Response refused_connect{Outcome::ConnectFailed, kQuickResponse, Time(0)};
            return at(now_ + refused_connect.delay,
                [this, call, refused_connect] { end_call(call, refused_connect); });
        }
        SimulatedEndpoint& endpoint = endpoints_[send.endpoint];
        if (endpoint.outage_at(now_) == nullptr && endpoint.is_overloaded_by_call(now_)) {
            at(now_, [this, id = send.endpoint] { begin_outage(id, OutageKind::RefusesConnects); });
            return;
        }
        if (const auto response = endpoint.respond(now_, random_))
            at(now_ + response->delay, [this, call, response] { finish_call(call, *response); });
    }
    void act(std::size_t index, const CancelAttempt& cancel) {
        for (const auto& [call, open_call] : open_calls_)
            if (open_call.sender == index && open_call.message == cancel.message &&
                open_call.attempt == cancel.attempt)
                at(now_, [this, id = call] { end_call(id, {Outcome::Cancelled, Time(0), Time(0)}); });
    }
    void act(std::size_t index, const Refuse& refuse) { rules_.refused(index, refuse.message, now_); }
    void act(std::size_t index, const Fail& fail) { rules_.failed(index, fail.message, now_); }
    void act(std::size_t index, const SetTimer& timer) {
        at(now_ + timer.delay, [this, index, number = ++members_[index].timer] {
            if (members_[index].timer == number) observe(index, TimerFired{});
        });
    }
    void act(std::size_t index, const CloseIdle& close) { members_[index].idle[close.endpoint].clear(); }
    template <class Other>
    void act(std::size_t, const Other&) {}

    void finish_call(CallId call, const Response& response) {
        const auto found = open_calls_.find(call);
        if (found != open_calls_.end() && !found->second.hangs) end_call(call, response);
    }
    void end_call(CallId call, const Response& response) {
        const auto found = open_calls_.find(call);
        if (found == open_calls_.end()) return;
        const OpenCall open_call = found->second;
        open_calls_.erase(found);
        OutcomeEvent event;
        event.message = open_call.message;
        event.endpoint = open_call.endpoint;
        event.attempt = open_call.attempt;
        event.outcome = response.outcome;
        event.terminal = response.outcome == Outcome::Delivered;
        event.rtt = now_ - open_call.sent;
        event.retry_after = response.retry_after;
        const bool stays_open = response.outcome == Outcome::Delivered ||
                                response.outcome == Outcome::ServerError ||
                                response.outcome == Outcome::Rejected;
        if (stays_open)
            members_[open_call.sender].idle[open_call.endpoint].push_back(
                now_ + plan_.settings.connection_idle_limit);
        if (response.outcome == Outcome::Delivered) delivered_at_by_sent_at_.emplace(open_call.sent, now_);
        rules_.ended(open_call.sender, event, open_call.sent, now_);
        observe(open_call.sender, event);
    }
    // A call uses an idle connection, or opens one if the endpoint's connection limit allows it.
    bool acquire_connection(std::size_t index, EndpointId id) {
        std::vector<Time>& idle = members_[index].idle[id];
        std::erase_if(idle, [this](Time closes) { return closes <= now_; });
        if (!idle.empty()) return idle.pop_back(), true;
        const auto max_connections = endpoints_[id].plan().max_connections;
        return !max_connections || connections(id) <= *max_connections;
    }
    // The open connections to an endpoint: those of open calls, including the newest, and idle ones.
    std::size_t connections(EndpointId id) {
        auto open = static_cast<std::size_t>(std::count_if(open_calls_.begin(), open_calls_.end(),
            [id](const auto& entry) { return entry.second.endpoint == id; }));
        for (Member& member : members_) {
            std::vector<Time>& idle = member.idle[id];
            std::erase_if(idle, [this](Time closes) { return closes <= now_; });
            open += idle.size();
        }
        return open;
    }
    void begin_outage(EndpointId id, OutageKind kind) {
        if (kind == OutageKind::RefusesConnects || kind == OutageKind::Resets || kind == OutageKind::Hangs)
            for (Member& member : members_) member.idle[id].clear();
        std::vector<CallId> broken;
        for (const auto& [call, open_call] : open_calls_)
            if (open_call.endpoint == id) broken.push_back(call);
        endpoints_[id].restart();
        if (kind == OutageKind::RefusesConnects || kind == OutageKind::Resets)
            for (const CallId call : broken) end_call(call, {Outcome::ConnectionLost, Time(0), Time(0)});
        if (kind == OutageKind::Hangs)
            for (const CallId call : broken) open_calls_.at(call).hangs = true;
    }

    std::size_t pick(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_); }
    std::size_t count(Time from, Time until, bool (*wanted)(const RuleChecker::Record&)) const {
        std::size_t total = 0;
        for (const auto& [id, record] : rules_.records())
            if (record.arrived_at >= kRunStart + from && record.arrived_at < kRunStart + until &&
                wanted(record))
                ++total;
        return total;
    }

    FleetPlan plan_;
    std::mt19937_64 random_;
    RuleChecker rules_;
    Time now_ = kRunStart;
    std::vector<SimulatedEndpoint> endpoints_;
    std::vector<Member> members_;
    std::priority_queue<Scheduled> schedule_;
    std::uint64_t scheduled_ = 0, messages_ = 0;
    CallId calls_ = 0;
    std::map<CallId, OpenCall> open_calls_;
    std::multimap<Time, Time>
        delivered_at_by_sent_at_;  // delivery times by the time at which the call was sent
};

inline std::size_t FleetWorld::delivered_by_oracle() const {
    constexpr Time kStep = ms(10);
    std::vector<SimulatedEndpoint> planned_endpoints;
    for (const EndpointPlan& endpoint : plan_.endpoints)
        planned_endpoints.emplace_back(endpoint, plan_.settings);
    std::deque<const RuleChecker::Record*> held;
    auto next = rules_.records().begin();
    const auto last = rules_.records().end();
    const Time end = kRunStart + plan_.traffic_ends + plan_.settings.classes[0].deadline;
    std::size_t delivered = 0;
    double credit = 0.0;
    for (Time now = kRunStart; now < end; now += kStep) {
        for (; next != last && next->second.arrived_at <= now; ++next) held.push_back(&next->second);
        double capacity = 0.0;
        for (const SimulatedEndpoint& endpoint : planned_endpoints)
            capacity += std::min(endpoint.present_capacity(now),
                endpoint.present_capacity(now - plan_.settings.overload_window));
        credit = std::min(credit, 1.0) + capacity * static_cast<double>(kStep.count()) / 1e6;
        while (!held.empty() &&
               (held.front()->deadline < now + plan_.endpoints[0].service_time || credit >= 1.0)) {
            const bool in_time = held.front()->deadline >= now + plan_.endpoints[0].service_time;
            if (in_time) ++delivered, credit -= 1.0;
            held.pop_front();
        }
    }
    return delivered;
}

}  // namespace cometspoke::testing
