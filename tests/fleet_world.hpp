/// A modelled fleet: real Senders on one virtual clock and endpoints with a service time, a limit, an
/// allowance of connections, outages and cold capacity after them. Every step checks the rules that bind a
/// Sender.
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

/// What an endpoint does while it is out.
enum class OutageKind {
    RefusesConnects,  ///< calls out break off at its start, then no connect succeeds
    Hangs,            ///< no call that is out then is ever answered
    ServerErrors,     ///< each call is answered with an error and may have run
    Resets,           ///< each call's connection breaks off, and the call may have run
    Shut,             ///< each call is turned away without running, and no wait is told
    ShutUntil,        ///< the same, and the time left until the end is told as a wait
    Slow              ///< each call is answered as it should be, after kSlowAnswer
};

/// One outage. All times of a plan count from the start of the run.
struct Outage {
    OutageKind kind = OutageKind::RefusesConnects;
    Time from{0};
    Time until{0};
    bool cold_after = true;  ///< it comes back with cold capacity
};

struct EndpointPlan {
    std::size_t zone = 0;
    double capacity_per_s = 50.0;       ///< calls a second that it works off when warm; more queue up
    Time service_time = ms(100);        ///< mean; each call differs by up to a fifth
    std::optional<double> limit_per_s;  ///< calls beyond it are turned away
    bool tells_wait = false;            ///< such a refusal tells when to come again
    std::optional<std::size_t> most_connections;  ///< from all senders, idle ones included
    bool stays_up = false;                        ///< an outage of the destination spares it
    std::vector<Outage> outages;
};

/// One destination, its endpoints and the fleet that sends to it. Settings::instance_count senders take part.
struct FleetPlan {
    Settings settings;
    std::vector<EndpointPlan> endpoints;
    double offered_per_s = 30.0;  ///< messages of class 0, from all senders
    std::size_t keys = 0;         ///< by sender; each message has one where this is above 0
    Time traffic_ends{0};
    std::uint64_t seed = 1;
};

constexpr Time kRunStart = ms(1'000'000);  // any: a Sender's clock need not start at 0
constexpr Time kAnswerSlack = ms(3);       // a timer's least delay of 1 ms, and rounding
constexpr Time kQuickAnswer = ms(2);       // a refusal, an error or a reset on loopback
constexpr Time kSlowAnswer = ms(3'000);    // thirty times the service time
constexpr Time kRelapse = ms(6'000);       // an endpoint that falls over again is out so long
constexpr Time kLimitBurst = ms(500);      // part of its limit that an endpoint takes at once

/// An attempt with this outcome never ran.
inline bool never_ran(Outcome outcome) {
    return outcome == Outcome::Rejected || outcome == Outcome::ConnectFailed || outcome == Outcome::NotSent ||
           outcome == Outcome::Withheld;
}

/// How an endpoint answers one call.
struct Reply {
    Outcome outcome = Outcome::Delivered;
    Time delay{0};
    Time wait{0};  ///< told with the answer
};

/// One modelled endpoint: its outages, its limit and its cold capacity.
class ModelledEndpoint {
public:
    ModelledEndpoint(EndpointPlan plan, const Settings& settings)
        : plan_(std::move(plan)), settings_(settings) {
        for (Outage& outage : plan_.outages) outage.from += kRunStart, outage.until += kRunStart;
    }

    const EndpointPlan& plan() const { return plan_; }
    const std::vector<Outage>& outages() const { return plan_.outages; }
    std::size_t relapses() const { return relapses_; }

    const Outage* outage_at(Time now) const {
        for (const Outage& outage : plan_.outages)
            if (outage.from <= now && now < outage.until) return &outage;
        return nullptr;
    }
    /// Part of its capacity that it has now: cold_capacity_share at the end of an outage, 1 from warm_up_time
    /// on.
    double warmth(Time now) const {
        double part = 1.0;
        for (const Outage& outage : plan_.outages)
            if (outage.cold_after && outage.until <= now && now < outage.until + settings_.warm_up_time)
                part = std::min(part,
                    settings_.cold_capacity_share + (1.0 - settings_.cold_capacity_share) *
                                                        share(now - outage.until, settings_.warm_up_time));
        return part;
    }
    double present_capacity(Time now) const {
        return outage_at(now) != nullptr ? 0.0 : plan_.capacity_per_s * warmth(now);
    }

    /// Counts a call that arrives while it is up. True where it falls over by this call.
    bool falls_over(Time now) {
        recent_.push_back(now);
        while (recent_.front() <= now - settings_.overload_window) recent_.pop_front();
        const double expected = settings_.overload_multiple * present_capacity(now) *
                                static_cast<double>(settings_.overload_window.count()) / 1e6;
        if (static_cast<double>(recent_.size()) <= expected + 2.0 * std::sqrt(expected) + 2.0) return false;
        ++relapses_;
        plan_.outages.push_back({OutageKind::RefusesConnects, now, now + kRelapse, true});
        return true;
    }
    /// The answer to a call that arrives now, or none where it never answers.
    std::optional<Reply> answer(Time now, std::mt19937_64& random) {
        if (const Outage* outage = outage_at(now)) return answer_when_out(*outage, now);
        if (plan_.limit_per_s && !admits(*plan_.limit_per_s, now)) return refusal(*plan_.limit_per_s, now);
        const double spread = std::uniform_real_distribution<double>(0.8, 1.2)(random);
        worked_off_ = std::max(worked_off_, now) + scaled(ms(1'000), 1.0 / present_capacity(now));
        return Reply{Outcome::Delivered, worked_off_ - now + scaled(plan_.service_time, spread), Time(0)};
    }
    /// An outage begins: its queue is lost, and the calls before say nothing of those that it stands after.
    void restart() {
        worked_off_ = Time(0);
        recent_.clear();
    }

private:
    static double share(Time part, Time whole) {
        return static_cast<double>(part.count()) / static_cast<double>(whole.count());
    }
    static Time scaled(Time time, double by) {
        return Time(static_cast<Time::rep>(static_cast<double>(time.count()) * by));
    }
    static std::optional<Reply> answer_when_out(const Outage& outage, Time now) {
        switch (outage.kind) {
            case OutageKind::RefusesConnects:
                return Reply{Outcome::ConnectFailed, kQuickAnswer, Time(0)};
            case OutageKind::ServerErrors:
                return Reply{Outcome::ServerError, kQuickAnswer, Time(0)};
            case OutageKind::Resets:
                return Reply{Outcome::ConnectionLost, kQuickAnswer, Time(0)};
            case OutageKind::Shut:
                return Reply{Outcome::Rejected, kQuickAnswer, Time(0)};
            case OutageKind::ShutUntil:
                return Reply{Outcome::Rejected, kQuickAnswer, std::max(ms(1), outage.until - now)};
            case OutageKind::Slow:
                return Reply{Outcome::Delivered, kSlowAnswer, Time(0)};
            case OutageKind::Hangs:
                break;
        }
        return std::nullopt;
    }
    // The limit as a tag that may lag by kLimitBurst.
    bool admits(double limit_per_s, Time now) {
        const Time tag = std::max(limit_tag_, now - kLimitBurst) + scaled(ms(1'000), 1.0 / limit_per_s);
        if (tag > now) return false;
        limit_tag_ = tag;
        return true;
    }
    Reply refusal(double limit_per_s, Time now) const {
        const Time until = limit_tag_ + scaled(ms(1'000), 1.0 / limit_per_s) - now + ms(1);
        return Reply{Outcome::Rejected, kQuickAnswer, plan_.tells_wait ? until + kLimitBurst / 5 : Time(0)};
    }

    EndpointPlan plan_;
    const Settings& settings_;
    std::deque<Time> recent_;  // calls within the last Settings::fall
    Time limit_tag_{0};
    Time worked_off_{0};  // when the calls that it has taken so far will have left its queue
    std::size_t relapses_ = 0;
};

/// Keeps the story of each message and finds the first breach of a rule.
class RuleChecker {
public:
    RuleChecker(const Settings& settings, const std::vector<EndpointPlan>& endpoints)
        : settings_(settings),
          endpoints_(endpoints),
          calls_out_(settings.instance_count, 0),
          waits_(settings.instance_count) {}

    struct Record {
        std::size_t sender = 0;
        MessageEvent event;
        Time born{0}, deadline{0};
        std::size_t attempts = 0;
        int out = 0;
        std::optional<Time> doubt_since;  // sending of the first attempt that may have run
        std::optional<EndpointId> doubt_at;
        std::optional<Time> answered, served;
        std::vector<std::string> trace;
    };

    /// The first breach with the story of its message; empty while there is none.
    const std::string& breach() const { return breach_; }
    const std::map<MessageId, Record>& records() const { return records_; }

    void arrived(std::size_t sender, const MessageEvent& event, Time now) {
        Record& record = records_[event.message];
        record.sender = sender;
        record.event = event;
        record.born = now;
        record.deadline = now + event.time_left;
        note(event.message, "arrived", now);
        if (event.key) lines_[{sender, *event.key}].waiting.push_back(event.message);
    }
    void sent(std::size_t sender, const Send& send, Time now) {
        Record& record = records_.at(send.message);
        note(send.message, "sent to " + std::to_string(send.endpoint), now);
        const MessageId id = send.message;
        require(id, record.sender == sender, "sent by a sender that does not hold it");
        require(id, !record.answered, "sent after its final answer");
        require(id, record.out == 0, "two attempts at once");
        require(id, record.attempts < settings_.max_attempts, "more than max_attempts");
        require(id, static_cast<std::size_t>(calls_out_[sender]) < settings_.max_calls,
            "more calls out than slots");
        require(id, waits_[sender][route_of(send.endpoint)] <= now, "sent inside a told wait");
        check_repeat(record, send, now);
        check_order(record, id, now);
        ++record.attempts;
        ++record.out;
        ++calls_out_[sender];
    }
    void ended(std::size_t sender, const OutcomeEvent& event, Time sent, Time now) {
        Record& record = records_.at(event.message);
        note(event.message, "outcome " + std::to_string(static_cast<int>(event.outcome)), now);
        --record.out;
        --calls_out_[sender];
        Time& wait = waits_[sender][route_of(event.endpoint)];
        wait = std::max(wait, now + event.retry_after);
        if (!never_ran(event.outcome) && (!record.doubt_since || sent < *record.doubt_since)) {
            record.doubt_since = sent;
            record.doubt_at = event.endpoint;
        }
        if (record.event.key) rest(record, event, now);
        if (event.outcome != Outcome::Delivered || record.answered) return;
        record.answered = record.served = now;
    }
    void refused(std::size_t sender, MessageId id, Time now) {
        const Record& record = records_.at(id);
        const bool fragile = class_of(record).delivery == DeliverySemantics::AtMostOnce;
        note(id, "refused", now);
        require(id, !fragile || (record.out == 0 && !record.doubt_since), "refused though it may have run");
        final_answer(sender, id, now);
    }
    void failed(std::size_t sender, MessageId id, Time now) {
        note(id, "failed", now);
        final_answer(sender, id, now);
    }
    /// To be called at a message's deadline and kAnswerSlack.
    void overdue(MessageId id) {
        const Record& record = records_.at(id);
        require(id, record.answered && *record.answered <= record.deadline + kAnswerSlack,
            "no final answer by its deadline");
    }

private:
    struct KeyLine {
        std::deque<MessageId> waiting;
        Time rest_until{0};
        MessageId rest_for = 0;  // the message that the rest does not bind
    };

    const ClassSettings& class_of(const Record& record) const {
        return settings_.classes.at(record.event.message_class);
    }
    // A told wait binds the destination, or the endpoint where routes are apart.
    EndpointId route_of(EndpointId endpoint) const {
        return settings_.kinds.at(0).limits_per_endpoint ? endpoint : 0;
    }
    void check_repeat(const Record& record, const Send& send, Time now) {
        const ClassSettings& kind = class_of(record);
        if (!record.doubt_since || kind.delivery == DeliverySemantics::Retryable) return;
        require(send.message, kind.delivery != DeliverySemantics::AtMostOnce,
            "fragile, sent again though it may have run");
        if (kind.delivery != DeliverySemantics::Deduplicated) return;
        require(send.message, now <= *record.doubt_since + kind.dedup_window, "repeated outside its window");
        const EndpointId first = record.doubt_at.value_or(send.endpoint);
        if (kind.dedup_scope == DedupScope::Endpoint)
            require(send.message, first == send.endpoint, "repeated at another endpoint");
        if (kind.dedup_scope == DedupScope::Zone)
            require(send.message, endpoints_.at(first).zone == endpoints_.at(send.endpoint).zone,
                "repeated in another zone");
    }
    void check_order(const Record& record, MessageId id, Time now) {
        if (!record.event.key || !class_of(record).sequential) return;
        KeyLine& line = lines_.at({record.sender, *record.event.key});
        while (!line.waiting.empty() && over(line.waiting.front())) line.waiting.pop_front();
        require(id, !line.waiting.empty() && line.waiting.front() == id, "before an earlier one of its key");
        require(id, line.rest_for == id || line.rest_until <= now, "before settle_after_doubt had passed");
    }
    bool over(MessageId id) const {
        const Record& record = records_.at(id);
        return record.answered && record.out == 0;
    }
    void rest(const Record& record, const OutcomeEvent& event, Time now) {
        if (event.outcome != Outcome::TimedOut && event.outcome != Outcome::ConnectionLost &&
            event.outcome != Outcome::Cancelled)
            return;
        KeyLine& line = lines_.at({record.sender, *record.event.key});
        line.rest_until = std::max(line.rest_until, now + settings_.ambiguous_settle_time);
        line.rest_for = event.message;
    }
    void final_answer(std::size_t sender, MessageId id, Time now) {
        Record& record = records_.at(id);
        require(id, record.sender == sender, "ended by a sender that does not hold it");
        require(id, !record.answered, "two final answers");
        record.answered = now;
    }
    void note(MessageId id, const std::string& what, Time now) {
        records_.at(id).trace.push_back(std::to_string((now - kRunStart).count()) + " us: " + what);
    }
    void require(MessageId id, bool holds, const char* rule) {
        if (holds || !breach_.empty()) return;
        breach_ = "message " + std::to_string(id) + ": " + rule;
        for (const std::string& line : records_.at(id).trace) breach_ += "\n    " + line;
    }

    const Settings& settings_;
    const std::vector<EndpointPlan>& endpoints_;
    std::map<MessageId, Record> records_;
    std::map<std::pair<std::size_t, std::uint64_t>, KeyLine> lines_;  // by sender and key
    std::vector<int> calls_out_;                                      // by sender
    std::vector<std::map<EndpointId, Time>> waits_;                   // by sender and route
    std::string breach_;
};

/// Runs a plan to its end. Deterministic for its seed.
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

    /// Until each message has its final answer, or a rule is broken.
    void run() {
        const Time end = kRunStart + plan_.traffic_ends + plan_.settings.classes[0].deadline + ms(100);
        while (!schedule_.empty() && schedule_.top().at <= end && rules_.breach().empty()) {
            const Scheduled next = schedule_.top();
            schedule_.pop();
            now_ = next.at;
            next.run();
        }
        if (!rules_.breach().empty()) ADD_FAILURE() << "seed " << plan_.seed << ", " << rules_.breach();
    }

    std::size_t offered(Time from, Time until) const {
        return count(from, until, [](const RuleChecker::Record&) { return true; });
    }
    /// Of the messages that arrived in that time, those delivered by their deadline.
    std::size_t served(Time from, Time until) const {
        return count(from, until, [](const RuleChecker::Record& record) {
            return record.served && *record.served <= record.deadline;
        });
    }
    /// The first delivery of a call that was sent since then, or none.
    std::optional<Time> first_served_since(Time from) const {
        const auto found = served_sent_.lower_bound(kRunStart + from);
        if (found == served_sent_.end()) return std::nullopt;
        Time first = found->second;
        for (auto one = found; one != served_sent_.end(); ++one) first = std::min(first, one->second);
        return first - kRunStart;
    }
    std::size_t relapses() const {
        std::size_t sum = 0;
        for (const ModelledEndpoint& endpoint : endpoints_) sum += endpoint.relapses();
        return sum;
    }
    /// What one that sees the true state, one `overload_window` late, would deliver in time: it holds
    /// messages while all is out, then sends at the present capacity, earliest first.
    std::size_t served_by_oracle() const;

private:
    struct Scheduled {
        Time at{0};
        std::uint64_t order = 0;  // of two at one time the one scheduled first
        std::function<void()> run;
        bool operator<(const Scheduled& other) const {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    struct Member {
        std::unique_ptr<Sender> sender;
        std::uint64_t timer = 0;                       // the timer set last replaces those before
        std::map<EndpointId, std::vector<Time>> idle;  // when each idle connection closes
    };
    struct CallOut {
        std::size_t sender = 0;
        EndpointId endpoint = 0;
        MessageId message = 0;
        std::uint32_t attempt = 0;
        Time sent{0};
        bool unanswered = false;  // only its time-out or its cancelling ends it
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
        if (plan_.keys > 0) event.key = pick(plan_.keys);
        rules_.arrived(index, event, now_);
        at(now_ + event.time_left + kAnswerSlack, [this, id = event.message] { rules_.overdue(id); });
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
        calls_out_.emplace(call, CallOut{index, send.endpoint, send.message, attempt, now_, false});
        at(now_ + send.timeout, [this, call] { end_call(call, {Outcome::TimedOut, Time(0), Time(0)}); });
        if (!take_connection(index, send.endpoint)) {
            const Reply no_room{Outcome::ConnectFailed, kQuickAnswer, Time(0)};
            return at(now_ + no_room.delay, [this, call, no_room] { end_call(call, no_room); });
        }
        ModelledEndpoint& endpoint = endpoints_[send.endpoint];
        if (endpoint.outage_at(now_) == nullptr && endpoint.falls_over(now_)) {
            at(now_, [this, id = send.endpoint] { begin_outage(id, OutageKind::RefusesConnects); });
            return;
        }
        if (const auto reply = endpoint.answer(now_, random_))
            at(now_ + reply->delay, [this, call, reply] { answer_call(call, *reply); });
    }
    void act(std::size_t index, const CancelAttempt& cancel) {
        for (const auto& [call, out] : calls_out_)
            if (out.sender == index && out.message == cancel.message && out.attempt == cancel.attempt)
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

    void answer_call(CallId call, const Reply& reply) {
        const auto found = calls_out_.find(call);
        if (found != calls_out_.end() && !found->second.unanswered) end_call(call, reply);
    }
    void end_call(CallId call, const Reply& reply) {
        const auto found = calls_out_.find(call);
        if (found == calls_out_.end()) return;
        const CallOut out = found->second;
        calls_out_.erase(found);
        OutcomeEvent event;
        event.message = out.message;
        event.endpoint = out.endpoint;
        event.attempt = out.attempt;
        event.outcome = reply.outcome;
        event.terminal = reply.outcome == Outcome::Delivered;
        event.rtt = now_ - out.sent;
        event.retry_after = reply.wait;
        const bool stays = reply.outcome == Outcome::Delivered || reply.outcome == Outcome::ServerError ||
                           reply.outcome == Outcome::Rejected;
        if (stays)
            members_[out.sender].idle[out.endpoint].push_back(now_ + plan_.settings.connection_idle_limit);
        if (reply.outcome == Outcome::Delivered) served_sent_.emplace(out.sent, now_);
        rules_.ended(out.sender, event, out.sent, now_);
        observe(out.sender, event);
    }
    // A call takes an idle connection, or opens one where the endpoint's allowance has room.
    bool take_connection(std::size_t index, EndpointId id) {
        std::vector<Time>& idle = members_[index].idle[id];
        std::erase_if(idle, [this](Time closes) { return closes <= now_; });
        if (!idle.empty()) return idle.pop_back(), true;
        const auto most = endpoints_[id].plan().most_connections;
        return !most || connections(id) <= *most;
    }
    // Open to an endpoint: those of calls out, the newest included, and idle ones.
    std::size_t connections(EndpointId id) {
        auto open = static_cast<std::size_t>(std::count_if(calls_out_.begin(), calls_out_.end(),
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
        for (const auto& [call, out] : calls_out_)
            if (out.endpoint == id) broken.push_back(call);
        endpoints_[id].restart();
        if (kind == OutageKind::RefusesConnects || kind == OutageKind::Resets)
            for (const CallId call : broken) end_call(call, {Outcome::ConnectionLost, Time(0), Time(0)});
        if (kind == OutageKind::Hangs)
            for (const CallId call : broken) calls_out_.at(call).unanswered = true;
    }

    std::size_t pick(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_); }
    std::size_t count(Time from, Time until, bool (*wanted)(const RuleChecker::Record&)) const {
        std::size_t sum = 0;
        for (const auto& [id, record] : rules_.records())
            if (record.born >= kRunStart + from && record.born < kRunStart + until && wanted(record)) ++sum;
        return sum;
    }

    FleetPlan plan_;
    std::mt19937_64 random_;
    RuleChecker rules_;
    Time now_ = kRunStart;
    std::vector<ModelledEndpoint> endpoints_;
    std::vector<Member> members_;
    std::priority_queue<Scheduled> schedule_;
    std::uint64_t scheduled_ = 0, messages_ = 0;
    CallId calls_ = 0;
    std::map<CallId, CallOut> calls_out_;
    std::multimap<Time, Time> served_sent_;  // deliveries by the sending of their call
};

inline std::size_t FleetWorld::served_by_oracle() const {
    constexpr Time kStep = ms(10);
    std::vector<ModelledEndpoint> unharmed;
    for (const EndpointPlan& endpoint : plan_.endpoints) unharmed.emplace_back(endpoint, plan_.settings);
    std::deque<const RuleChecker::Record*> held;
    auto next = rules_.records().begin();
    const auto last = rules_.records().end();
    const Time end = kRunStart + plan_.traffic_ends + plan_.settings.classes[0].deadline;
    std::size_t served = 0;
    double credit = 0.0;
    for (Time now = kRunStart; now < end; now += kStep) {
        for (; next != last && next->second.born <= now; ++next) held.push_back(&next->second);
        double capacity = 0.0;
        for (const ModelledEndpoint& endpoint : unharmed)
            capacity += std::min(endpoint.present_capacity(now),
                endpoint.present_capacity(now - plan_.settings.overload_window));
        credit = std::min(credit, 1.0) + capacity * static_cast<double>(kStep.count()) / 1e6;
        while (!held.empty() &&
               (held.front()->deadline < now + plan_.endpoints[0].service_time || credit >= 1.0)) {
            const bool in_time = held.front()->deadline >= now + plan_.endpoints[0].service_time;
            if (in_time) ++served, credit -= 1.0;
            held.pop_front();
        }
    }
    return served;
}

}  // namespace cometspoke::testing
