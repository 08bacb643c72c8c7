// The decisions of cometspoke (interface: include/cometspoke/sender.hpp). The ordinary path is mClock's tag
// scheduler with the tags R, L and P. All else acts only under the condition that its comment names.
#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <stdexcept>
#include <utility>

// The interface and the internal headers of the module.
#include "cometspoke/sender.hpp"
#include "counted_values.hpp"
#include "key_sequencer.hpp"
#include "learned_state_fields.hpp"
#include "learned_state_io.hpp"
#include "sender_constants.hpp"
#include "sender_state.hpp"
#include "share_queue.hpp"
#include "time_index.hpp"
#include "time_math.hpp"
#include "validate_settings.hpp"

namespace cometspoke {

class Sender::Impl {
public:
    Impl(Settings settings, std::uint64_t seed) : random_(seed) {
        adopt(std::move(settings));
        if (settings_.must_subscribe) watch_at_ = kLongAgo;
    }

    // What was learned of endpoints stays. A stricter limit on attempts holds at once.
    void take(const SettingsEvent& event, Time now) {
        adopt(event.settings);
        for (const auto& [id, message] : messages_) reindex(id, message, now);
        queue_.reopen_all();
    }

    void take(const ListEvent& event, Time now) {
        for (const ListEntry& entry : event.entries) {
            if (entry.kind >= settings_.kinds.size()) throw std::invalid_argument("kind");
            if (entry.zone >= std::max<std::size_t>(1, settings_.zones)) throw std::invalid_argument("zone");
        }
        if (event.kind == ListUpdateKind::Failed) {
            const double spread = std::uniform_real_distribution<double>(0.5, 1.0)(random_);
            watch_at_ = now + from_seconds(seconds(kInitialWatchPause) * (1 << watch_tries_) * spread);
            watch_tries_ = std::min(watch_tries_ + 1, kMaxWatchPauseDoublings);
            return;
        }
        if (event.kind != ListUpdateKind::Cached) watch_tries_ = 0;
        if (event.kind != ListUpdateKind::Delta)
            for (auto& [id, endpoint] : endpoints_) {
                endpoint.condition = Condition::Removed;
                destinations_.at(endpoint.destination).endpoints.erase(id);
                gone_.insert(id);
                queue_.reopen(endpoint.destination);
            }
        for (const ListEntry& entry : event.entries) list(entry, now);
    }

    // Out by hand: nothing new goes there. It is restarted meanwhile: each sender takes it as an outage.
    void take(const AdminDisableEvent& event, Time now) {
        const auto found = endpoints_.find(event.endpoint);
        if (event.disabled) {
            if (!banned_.insert(event.endpoint).second) return;
            if (found != endpoints_.end()) found->second.idle_connections.clear();
            actions_.emplace_back(CloseIdle{event.endpoint});
        } else if (banned_.erase(event.endpoint) > 0 && found != endpoints_.end()) {
            return_cold(found->second, now);
            queue_.reopen(found->second.destination);
        }
    }

    void take(const MessageEvent& event, Time now) {
        if (!event.class_settings && event.message_class >= classes_.size())
            throw std::invalid_argument("message_class");
        if (event.tenant && *event.tenant >= quota_tags_.size()) throw std::invalid_argument("tenant");
        if (messages_.contains(event.message)) return;
        Message message;
        message.class_settings = event.class_settings
                                     ? std::make_shared<const ClassSettings>(*event.class_settings)
                                     : classes_[event.message_class];
        const ClassSettings& kind = *message.class_settings;
        message.destination = event.destination;
        message.arrival_number = ++arrivals_;
        message.accepted_at = now + event.time_left - kind.deadline;
        message.deadline = now + event.time_left;
        message.over_quota = event.tenant && over_quota(*event.tenant, now);
        message.attempts = event.attempts;  // a restart changes nothing in what may have run
        if (event.ambiguous_attempt) {
            message.ambiguous_since = now - event.ambiguous_attempt->age;
            doubt_at(message, event.ambiguous_attempt->endpoint);
        }
        if (kind.sequential && event.key) {
            message.key = event.key;
            keys_.add(*event.key, event.message);
            if (event.ambiguous_attempt)
                keys_.rest(*event.key, event.message, now + settings_.ambiguous_settle_time);
        }
        Destination& destination = destination_of(event.destination);
        const double age = seconds(now - std::exchange(destination.last_arrival_at, now));
        destination.arrival_rate_per_s =
            (destination.arrival_rate_per_s * kArrivalRateMemory_s * std::exp(-age / kArrivalRateMemory_s) +
                1.0) /
            kArrivalRateMemory_s;
        destination.held.emplace(message.arrival_number, event.message);
        if (brings_news(message)) ++destination.safe_probes;
        destination.target_latencies.add(kind.target_latency);
        reindex(event.message, message, now);
        messages_.emplace(event.message, message);
        if (destination.held.size() == 1) activate(event.destination, destination, now);
    }

    void take(const OutcomeEvent& event, Time now) {
        const auto found = attempts_.find({event.message, event.attempt});
        if (found == attempts_.end()) return;
        const auto [call_id, key, cancelled] = found->second;
        attempts_.erase(found);
        if (key) settle_key(*key, event, now);
        Call& call = calls_.at(call_id);
        Endpoint& endpoint = endpoints_.at(call.endpoint);
        queue_.reopen(endpoint.destination);
        take(RetryAfterEvent{call.endpoint, event.retry_after},
            now);  // each message of a call may be told its own
        const bool unsent = event.outcome == Outcome::NotSent || event.outcome == Outcome::Withheld;
        if (event.connection_limit_reached) unconnected_[endpoint.kind] = now;  // idle ones are in the way
        if (!call.outcome_counted && !unsent) {
            call.outcome_counted = true;
            learn(call, event.outcome, event.report, event.rtt, now);
        }
        const Call ended = call;
        if (--call.open_attempts == 0) {
            --endpoint.in_flight;
            --destinations_.at(endpoint.destination).in_flight;
            const bool lives = event.outcome == Outcome::Delivered || event.outcome == Outcome::ServerError ||
                               event.outcome == Outcome::Rejected || event.outcome == Outcome::Withheld;
            if (lives)
                endpoint.idle_connections.push_back(now + settings_.connection_idle_limit),
                    freed_.insert(ended.endpoint);
            calls_.erase(call_id);
        }
        settle(event, ended, now);
    }

    void take(const RetryAfterEvent& event, Time now) {
        const auto found = endpoints_.find(event.endpoint);
        if (found == endpoints_.end() || event.retry_after <= Time(0)) return;
        RateLimiter& limiter = route_of(found->second);
        limiter.retry_after_until = std::max(limiter.retry_after_until, now + event.retry_after);
    }

    // The call is the other process's, its slot and its outcomes are of this one.
    void take(const InheritedCall& event, Time now) {
        if (event.attempts.empty()) return;
        const auto [place, unlisted] = endpoints_.try_emplace(event.endpoint);
        Endpoint& endpoint = place->second;
        if (unlisted) {
            gone_.insert(event.endpoint);
            const auto known = messages_.find(event.attempts.front().first);
            belong(endpoint, known != messages_.end() ? known->second.destination : 0);
        }
        const std::uint64_t call_id = ++call_count_;
        calls_.emplace(call_id, Call{event.endpoint, now - event.age, event.attempts.size()});
        ++endpoint.in_flight;
        ++destinations_.at(endpoint.destination).in_flight;
        for (const auto& [id, attempt] : event.attempts) {
            const auto found = messages_.find(id);  // none where it has ended and its call goes on
            const bool held = found != messages_.end();
            const auto key = held ? found->second.key : std::nullopt;
            attempts_.emplace(std::pair(id, attempt), Attempt{call_id, key, false});
            if (held) ++found->second.open_attempts, reindex(id, found->second, now);
            if (key) keys_.begin_attempt(*key);
        }
    }

    void take(const LearnedState& event, Time now) {
        FigureReader reader{event.values, now};
        if (event.endpoint) {
            const auto found = endpoints_.find(*event.endpoint);
            if (found == endpoints_.end()) return;
            each_figure(found->second, reader);
            queue_.reopen(found->second.destination);
        } else if (event.destination) {
            const auto found = destinations_.find(*event.destination);
            if (found == destinations_.end()) return;
            each_figure(found->second, reader);
            queue_.reopen(*event.destination);
        } else {
            reader("usual", overall_usual_);
        }
    }

    std::vector<LearnedState> learned(Time now) const {
        std::vector<LearnedState> all;
        const auto tell = [&](auto endpoint, auto destination, const auto& what) {
            all.push_back({endpoint, destination, {}});
            FigureWriter writer{all.back().values, now};
            each_figure(what, writer);
        };
        for (const auto& [id, endpoint] : endpoints_) tell(std::optional(id), std::nullopt, endpoint);
        for (const auto& [id, destination] : destinations_)
            tell(std::nullopt, std::optional(id), destination);
        all.push_back({std::nullopt, std::nullopt, {{"usual", overall_usual_}}});
        return all;
    }

    bool may_begin(MessageId id, std::uint32_t number, Time now) const {
        const auto found = messages_.find(id);
        const auto attempt = attempts_.find({id, number});
        if (found == messages_.end() || attempt == attempts_.end() || attempt->second.cancelled) return false;
        const Message& message = found->second;
        if (message.deadline <= now || (message.ambiguous_since && now > resend_until(message))) return false;
        const EndpointId to = calls_.at(attempt->second.call_id).endpoint;
        return endpoints_.at(to).destination == message.destination && takes_calls(to, now);
    }

    void take(const AbandonedEvent& event, Time now) { forget(event.message, now); }

    // A timer only brings a batch; a stream's outcome still comes; notes and probes are not used.
    template <class Other>
    void take(const Other&, Time) {}

    std::vector<Action> decide(Time now) {
        if (watch_at_ <= now) actions_.emplace_back(Watch{true}), watch_at_ = kNever;
        end_overdue(now);
        watch_silence(now);
        drop_stuck(now);
        keep_room(now);
        queue_.reopen_due(now);
        while (calls_.size() < settings_.max_calls) {
            const std::optional<Selection> selection = choose(now);
            if (!selection) break;
            serve(*selection, now);
        }
        close_idle(now);
        set_timer(now);
        if (now >= tidy_at_) tidy(now);
        return std::exchange(actions_, {});
    }

private:
    void adopt(Settings settings) {
        validate(settings);
        if (settings.kinds.empty()) settings.kinds.emplace_back();
        require(settings.kinds.size() >= settings_.kinds.size(), "kinds");
        require(settings.zones >= settings_.zones, "zones");
        settings_ = std::move(settings);
        classes_.clear();
        for (const ClassSettings& entry : settings_.classes)
            classes_.push_back(std::make_shared<const ClassSettings>(entry));
        quota_tags_.resize(settings_.tenants.size(), kLongAgo);
        unconnected_.resize(settings_.kinds.size(), kLongAgo);
    }

    void list(const ListEntry& entry, Time now) {
        const auto [place, fresh] = endpoints_.try_emplace(entry.endpoint);
        Endpoint& endpoint = place->second;
        Destination& destination = destination_of(entry.destination);
        if (fresh || endpoint.destination != entry.destination) {
            if (!fresh) leave(endpoint, entry.endpoint);
            destination.in_flight += endpoint.in_flight;
            belong(endpoint, entry.destination);
        }
        endpoint.zone = entry.zone;
        endpoint.kind = entry.kind;
        endpoint.condition = entry.condition;
        if (entry.condition == Condition::Removed)
            gone_.insert(entry.endpoint), destination.endpoints.erase(entry.endpoint);
        else
            gone_.erase(entry.endpoint), destination.endpoints.insert(entry.endpoint);
        queue_.reopen(entry.destination);
        if (!settings_.listed_rates) return;
        if (entry.agreed_rate_per_s > 0) destination.weight = entry.agreed_rate_per_s;
        RateLimiter& limiter = apart(endpoint) ? endpoint.own_limiter : destination.shared_limiter;
        if (limiter.known_limit_per_s != 0.0 || entry.agreed_rate_per_s <= 0) return;
        limiter.known_limit_per_s = entry.agreed_rate_per_s;
        // as if all had long been sending: one send each at once would be n of them
        const double phase = std::uniform_real_distribution<double>(0.0, others())(random_);
        limiter.limit_tag = now - kInitialBurst + from_seconds(phase / limit(limiter, destination));
    }

    Destination& destination_of(DestinationId id) {
        const auto [place, fresh] = destinations_.try_emplace(id);
        if (fresh) unnamed_.insert(id);
        return place->second;
    }
    void belong(Endpoint& endpoint, DestinationId id) {
        endpoint.destination = id;
        if (destination_of(id).endpoint_count++ == 0) unnamed_.erase(id);
    }
    void leave(const Endpoint& endpoint, EndpointId id) {
        Destination& destination = destinations_.at(endpoint.destination);
        destination.endpoints.erase(id);
        destination.in_flight -= endpoint.in_flight;
        queue_.reopen(endpoint.destination);
        if (--destination.endpoint_count == 0) unnamed_.insert(endpoint.destination);
    }

    // What nothing names any more is forgotten. An endpoint is named by a list, a call or a doubt; a
    // destination by an endpoint, a message or what is still worth knowing of it.
    void tidy(Time now) {
        tidy_at_ = now + kCleanupInterval;
        std::erase_if(gone_, [&](EndpointId id) {
            const Endpoint& endpoint = endpoints_.at(id);  // listed again, its wait and its outage hold still
            const Time known = std::max(endpoint.own_limiter.retry_after_until,
                endpoint.health == Health::Healthy ? kLongAgo
                                                   : endpoint.last_outcome_at + kLearnedStateLifetime);
            if (endpoint.in_flight > 0 || doubts_.contains(id) || known > now) return false;
            leave(endpoint, id);
            endpoints_.erase(id);
            banned_.erase(id);
            actions_.emplace_back(ReleaseEndpoint{id});
            return true;
        });
        std::erase_if(unnamed_, [&](DestinationId id) {
            const Destination& destination = destinations_.at(id);
            const Time last = std::max({destination.last_arrival_at, destination.last_success_at,
                destination.shared_limiter.retry_after_until, destination.shared_limiter.limit_tag});
            if (!destination.held.empty() || destination.in_flight > 0 || last + kLearnedStateLifetime > now)
                return false;
            destinations_.erase(id);
            return true;
        });
    }

    // The tags of the head: R = max(R+1/r, now), L = max(L+1/l, now), P = max(P+1/w, now-sigma/w). They
    // stepped when the last head left; here the arrival time comes in, and P shifts so that all start level.
    void activate(DestinationId id, Destination& newcomer, Time now) {
        newcomer.reservation_tag = std::max(newcomer.reservation_tag, now);
        newcomer.shared_limiter.limit_tag = std::max(newcomer.shared_limiter.limit_tag, now);
        queue_.activate(
            id, std::max(newcomer.share_tag, now - from_seconds(kMaxIdleCredit_calls / newcomer.weight)));
    }
    // The earliest moment at which one of its endpoints may be open.
    Time closed_until(const Destination& destination, Time now) const {
        Time until = kNever;
        for (const EndpointId id : destination.endpoints) {
            const Endpoint& endpoint = endpoints_.at(id);
            if (endpoint.condition != Condition::Ready || banned_.contains(id)) continue;
            Time opens = std::max(now, route_of(endpoint).retry_after_until);
            if (endpoint.health != Health::Healthy) opens = std::max(opens, endpoint.recovery_tag);
            if (settings_.reservation_per_s <= 0) opens = std::max(opens, route_of(endpoint).limit_tag);
            until = std::min(until, opens);
        }
        return until;
    }

    // First the smallest R tag due; else the smallest P tag among destinations whose L tag is due.
    std::optional<Selection> choose(Time now) {
        reserved_ = settings_.reservation_per_s > 0;
        if (reserved_)
            if (const auto selection = smallest(false, now)) return selection;
        reserved_ = false;
        return smallest(true, now);
    }
    std::optional<Selection> smallest(bool limited, Time now) {
        std::optional<Selection> best;
        Time least = limited ? kNever : now;
        std::vector<std::pair<DestinationId, Time>> closed;
        for (const auto& [share, id] : queue_.open()) {
            if (best && limited) break;  // they come in the order of P
            const Destination& destination = destinations_.at(id);
            if (const Time until = closed_until(destination, now); until > now) {
                closed.emplace_back(id, until);
                continue;
            }
            const Time tag = destination.reservation_tag;
            if (!limited && (tag > least || (best && tag == least && id > best->destination))) continue;
            if (!has_room(destination)) continue;
            if (const auto selection = head(id, destination, now, limited)) best = selection, least = tag;
        }
        for (const auto& [id, until] : closed) queue_.park(id, until);
        return best;
    }

    // The slot cap: three quarters, and half while it fails or is slow.
    bool has_room(const Destination& destination) const {
        const double slots = static_cast<double>(settings_.max_calls);
        if (destination.in_flight > 0 && destination.in_flight + 1 >= kMaxDestinationCallShare * slots)
            return false;
        return destination.in_flight == 0 || !ailing(destination) ||
               destination.in_flight + 1 <= kMaxDegradedCallShare * slots;
    }
    // All that is sick leaves half of the slots to the healthy. A route apart that is well is not held back
    // for a sick one beside it.
    bool has_room(const Endpoint& endpoint) const {
        const Destination& destination = destinations_.at(endpoint.destination);
        if (!ailing(endpoint, destination)) return true;
        const double slots = static_cast<double>(settings_.max_calls);
        // one trial each while slots are left: after a stall of all, stuck calls must not keep them unheard
        const int out = apart(endpoint) ? endpoint.in_flight : destination.in_flight;
        if (out == 0 && static_cast<double>(calls_.size()) < kScarceCallShare * slots) return true;
        return sick_calls() + 1 <= std::max(1.0, kMaxDegradedCallShare * slots);
    }
    int sick_calls() const {
        if (sick_calls_) return *sick_calls_;
        sick_calls_ = static_cast<int>(std::count_if(calls_.begin(), calls_.end(), [this](const auto& entry) {
            const Endpoint& endpoint = endpoints_.at(entry.second.endpoint);
            return ailing(endpoint, destinations_.at(endpoint.destination));
        }));
        return *sick_calls_;
    }

    void serve(const Selection& selection, Time now) {
        Destination& destination = destinations_.at(selection.destination);
        Endpoint& endpoint = endpoints_.at(selection.endpoint);
        sick_calls_.reset();
        const std::uint64_t call_id = ++call_count_;
        calls_.emplace(call_id, Call{selection.endpoint, now});
        ++endpoint.in_flight;
        ++destination.in_flight;
        take_connection(endpoint, now);
        endpoint.frequently_used =
            now - std::exchange(endpoint.last_sent_at, now) < settings_.connection_idle_limit;
        send(selection.message, selection.endpoint, call_id, now);
        fill_call(destination, selection.endpoint, call_id, now);
        step_tags(destination, endpoint, now);
    }

    void step_tags(Destination& destination, Endpoint& endpoint, Time now) {
        RateLimiter& limiter = route_of(endpoint);
        limiter.limit_tag = std::max(limiter.limit_tag + limit_gap(limiter, destination), now);
        if (endpoint.health != Health::Healthy) spend_budget(endpoint, now);
        const double w = destination.weight;
        const Time share = queue_.tag(endpoint.destination) + gap_of(w);
        queue_.set_tag(endpoint.destination, std::max(share, now - from_seconds(kMaxIdleCredit_calls / w)));
        if (settings_.reservation_per_s <= 0) return;
        const Time step = gap_of(settings_.reservation_per_s);
        destination.reservation_tag = std::max(destination.reservation_tag + step, now);
        if (!reserved_) destination.reservation_tag -= step;  // served by share: 1/r is taken off again
    }

    void send(MessageId id, EndpointId to, std::uint64_t call_id, Time now) {
        Message& message = messages_.at(id);
        attempts_.emplace(std::pair(id, message.attempts), Attempt{call_id, message.key, false});
        ++message.attempts;
        ++message.open_attempts;
        ++calls_.at(call_id).open_attempts;
        reindex(id, message, now);
        if (message.key) keys_.begin_attempt(*message.key);
        const bool bound =
            message.ambiguous_since && message.class_settings->delivery == DeliverySemantics::Deduplicated;
        const auto within = bound ? std::optional(resend_until(message) - now) : std::nullopt;
        actions_.emplace_back(Send{id, to, time_out(message, now), within});
    }

    // Where a call may carry several messages, the next ones in order travel along.
    void fill_call(Destination& destination, EndpointId to, std::uint64_t call_id, Time now) {
        const std::size_t most = settings_.kinds[endpoints_.at(to).kind].max_messages_per_call;
        if (most < 2 || endpoints_.at(to).health == Health::Unhealthy) return;
        for (const auto& [arrival, id] : destination.held) {
            if (calls_.at(call_id).open_attempts >= most) return;
            const Message& message = messages_.at(id);
            if (ready(id, message, now) && may_go(message, to, now)) send(id, to, call_id, now);
        }
    }

    // The first message in arrival order that may be sent, with an endpoint for it. While the backlog is
    // longer than the aim of a held message, the one goes that loses most worth by waiting the backlog out.
    std::optional<Selection> head(DestinationId id, const Destination& destination, Time now, bool limited) {
        if (!any_open(destination, now, limited)) return std::nullopt;
        const Time backlog = backlog_of(destination, now);
        std::optional<Selection> best;
        double most = 0.0;
        for (const auto& [arrival, message_id] : destination.held) {
            const Message& message = messages_.at(message_id);
            if (!ready(message_id, message, now)) continue;
            const double loss =
                backlog == Time(0) ? 0.0 : worth_of(message, now) - worth_of(message, now + backlog);
            if (best && loss <= most) continue;
            const auto endpoint = endpoint_for(destination, message, now, limited);
            if (!endpoint) continue;
            best = Selection{id, message_id, *endpoint}, most = loss;
            if (backlog == Time(0)) break;
        }
        return best;
    }
    bool any_open(const Destination& destination, Time now, bool limited) const {
        return std::any_of(destination.endpoints.begin(), destination.endpoints.end(),
            [&](EndpointId id) { return can_take_call(id, now, limited); });
    }
    // All but what depends on the message.
    bool can_take_call(EndpointId id, Time now, bool limited) const {
        const Endpoint& endpoint = endpoints_.at(id);
        return open(id, now) && !(limited && route_of(endpoint).limit_tag > now) && has_room(endpoint);
    }
    // How long the held messages take to go out, where that is longer than the aim of one of them; else 0.
    Time backlog_of(const Destination& destination, Time now) const {
        if (destination.success_rate_per_s <= 0) return Time(0);  // nothing is known yet: the ordinary path
        const Time shortest = destination.target_latencies.least(kNever);
        const double held = static_cast<double>(destination.held.size()) - destination.in_flight;
        const Time backlog = from_seconds(std::max(0.0, held) / drain_rate(destination, now));
        return backlog > shortest ? backlog : Time(0);
    }

    // Not out, its pause over, its key's turn, and inside its window if it may have run.
    bool ready(MessageId id, const Message& message, Time now) const {
        if (message.open_attempts > 0 || message.not_before > now || message.deadline <= now) return false;
        if (message.attempts >= settings_.max_attempts) return false;
        if (message.ambiguous_since && now > resend_until(message)) return false;
        return !message.key || keys_.turn_of(*message.key, id, kNever) <= now;
    }

    Time resend_until(const Message& message) const {
        const ClassSettings& kind = *message.class_settings;
        if (kind.delivery == DeliverySemantics::Retryable) return kNever;
        if (kind.delivery == DeliverySemantics::AtMostOnce) return kLongAgo;
        return *message.ambiguous_since + kind.dedup_window - kDedupWindowMargin;
    }

    std::optional<EndpointId> endpoint_for(
        const Destination& destination, const Message& message, Time now, bool limited) {
        std::optional<EndpointId> best;
        double least = 0.0;
        for (const EndpointId id : destination.endpoints) {
            if (!can_take_call(id, now, limited) || !may_go(message, id, now)) continue;
            const double cost = cost_of(endpoints_.at(id), now);
            if (!best || cost < least) best = id, least = cost;
        }
        return best;
    }

    // An endpoint with an idle connection first, then the least busy; the cheaper route before another, and
    // the own zone where zones cost nothing.
    double cost_of(const Endpoint& endpoint, Time now) const {
        double cost = endpoint.in_flight;
        if (!has_idle(endpoint, now)) cost += kNewConnectionCost_calls;
        if (apart(endpoint) && endpoint.zone < settings_.zone_costs.size())
            cost += kZoneCostPoint_calls * settings_.zone_costs[endpoint.zone];
        else if (settings_.zone && endpoint.zone != *settings_.zone)
            cost += kOtherZoneCost_calls;
        if (endpoint.health != Health::Healthy) cost += 1.0;
        return cost;
    }

    // Listed as ready and no told wait.
    bool takes_calls(EndpointId id, Time now) const {
        const Endpoint& endpoint = endpoints_.at(id);
        return endpoint.condition == Condition::Ready && !banned_.contains(id) &&
               route_of(endpoint).retry_after_until <= now;
    }
    // And its fall-back budget not spent.
    bool open(EndpointId id, Time now) const {
        const Endpoint& endpoint = endpoints_.at(id);
        return takes_calls(id, now) && (endpoint.health == Health::Healthy || endpoint.recovery_tag <= now);
    }

    // One with a key may have to wait for a fragile one before it.
    static bool brings_news(const Message& message) {
        return message.class_settings->delivery != DeliverySemantics::AtMostOnce && !message.key;
    }
    // An endpoint that fails is probed with fragile messages only where no other message can bring news: one
    // at a time, at the pace of the fall-back budget. Each call that hangs doubles the pause before the next.
    bool may_probe(const Endpoint& endpoint, Time now) const {
        const Destination& destination = destinations_.at(endpoint.destination);
        if (destination.safe_probes > 0) return false;
        if (endpoint.in_flight == 0) return true;
        const int doublings = std::min(endpoint.in_flight - 1, kMaxProbePauseDoublings);
        return now >= endpoint.last_sent_at + patience(destination) * (1 << doublings);
    }
    // Fragile messages keep away from endpoints that fail; dedup resends keep to the scope of the first.
    bool may_go(const Message& message, EndpointId to, Time now) const {
        const ClassSettings& kind = *message.class_settings;
        const Endpoint& endpoint = endpoints_.at(to);
        const bool fails =
            endpoint.failure_share > kMaxAtMostOnceFailureShare || endpoint.health == Health::Unhealthy;
        if (kind.delivery == DeliverySemantics::AtMostOnce && fails && !may_probe(endpoint, now))
            return false;
        if (kind.delivery != DeliverySemantics::Deduplicated || !message.ambiguous_since ||
            kind.dedup_scope == DedupScope::All)
            return true;
        if (kind.dedup_scope == DedupScope::Endpoint) return message.ambiguous_endpoint == to;
        const auto first =
            message.ambiguous_endpoint ? endpoints_.find(*message.ambiguous_endpoint) : endpoints_.end();
        return first != endpoints_.end() && first->second.zone == endpoint.zone;
    }

    // Calls that can be dropped later, and those that may not be repeated, are waited for to the end.
    Time time_out(const Message& message, Time now) const {
        const bool wait =
            settings_.can_cancel || message.class_settings->delivery == DeliverySemantics::AtMostOnce;
        const Time left = message.deadline - now;
        return wait ? left : std::min(left, patience(destinations_.at(message.destination)));
    }
    Time patience(const Destination& destination) const {
        return std::max(from_seconds(kTimeoutTypicalLatencies * usual(destination)),
            paced(kMinTimeout, kMinTimeoutTypicalLatencies));
    }

    Time short_patience(const Destination& destination) const {
        return std::max(from_seconds(kTimeoutTypicalLatencies * usual(destination)), kMinOvertakenTimeout);
    }

    // A fixed span is meant for answers in a tenth of a second or more; where all answer sooner it shrinks.
    Time paced(Time span, double times) const {
        if (overall_usual_ <= 0) return span;
        return std::min(span, std::max(kMinScaledDuration, from_seconds(times * overall_usual_)));
    }

    // A long call is dropped where its endpoint answered calls sent later, or where the sick hold slots that
    // others need; one that may not be repeated only where nearly all are taken, or as the oldest of those
    // that leave a silent endpoint no room for a probe.
    void drop_stuck(Time now) {
        sick_calls_.reset();
        if (!settings_.can_cancel) return;
        const auto slots = static_cast<double>(settings_.max_calls), out = static_cast<double>(calls_.size());
        const bool jammed = out > kScarceCallShare * slots;
        const bool scarce = jammed || sick_calls() + 1 > kMaxDegradedCallShare * slots;
        std::map<EndpointId, std::pair<std::uint64_t, Time>> oldest_newest;  // calls are numbered by age
        for (const auto& [id, call] : calls_)
            oldest_newest.try_emplace(call.endpoint, id, call.sent_at).first->second.second = call.sent_at;
        for (auto& [name, attempt] : attempts_) {
            const Call& call = calls_.at(attempt.call_id);
            const auto found = messages_.find(name.first);
            if (attempt.cancelled || found == messages_.end()) continue;
            const Endpoint& endpoint = endpoints_.at(call.endpoint);
            const Destination& destination = destinations_.at(endpoint.destination);
            const bool passed = jammed && call.overtaken;
            const Time longest = passed ? short_patience(destination) : patience(destination);
            if (now - call.sent_at < longest) continue;
            const auto& [oldest, newest] = oldest_newest.at(call.endpoint);
            const bool silent = scarce && endpoint.health != Health::Healthy;
            const bool for_probe = silent && oldest == attempt.call_id && now - newest >= longest;
            if (!jammed && !for_probe && !may_repeat(found->second, call, now)) continue;
            const bool lost = endpoint.last_success_at > call.sent_at + longest;
            if (!passed && !lost && !silent) continue;
            attempt.cancelled = true;
            actions_.emplace_back(CancelAttempt{name.first, name.second});
        }
    }
    bool may_repeat(const Message& message, const Call& call, Time now) const {
        const ClassSettings& kind = *message.class_settings;
        if (message.attempts >= settings_.max_attempts || kind.delivery == DeliverySemantics::AtMostOnce)
            return false;
        if (kind.delivery == DeliverySemantics::Retryable) return true;
        return now + kCancelAndRepeatTime <
               std::min(call.sent_at, message.ambiguous_since.value_or(call.sent_at)) + kind.dedup_window;
    }

    // The connection used last is taken first; the freshest closes last.
    static bool has_idle(const Endpoint& endpoint, Time now) {
        return !endpoint.idle_connections.empty() && endpoint.idle_connections.back() > now;
    }
    static void take_connection(Endpoint& endpoint, Time now) {
        if (has_idle(endpoint, now)) return endpoint.idle_connections.pop_back();
        endpoint.idle_connections.clear();
    }
    // Idle connections count against an endpoint's allowance: they are closed where they would seldom be used
    // or connects were refused by one that lives.
    void close_idle(Time now) {
        for (const EndpointId id : std::exchange(freed_, {})) {
            Endpoint& endpoint = endpoints_.at(id);
            if (endpoint.idle_connections.empty() ||
                (endpoint.frequently_used && now - unconnected_[endpoint.kind] > kRefusedConnectMemory))
                continue;
            endpoint.idle_connections.clear();
            actions_.emplace_back(CloseIdle{id});
        }
    }

    bool apart(const Endpoint& endpoint) const { return settings_.kinds[endpoint.kind].limits_per_endpoint; }
    RateLimiter& route_of(Endpoint& endpoint) {
        return apart(endpoint) ? endpoint.own_limiter : destinations_.at(endpoint.destination).shared_limiter;
    }
    const RateLimiter& route_of(const Endpoint& endpoint) const {
        return apart(endpoint) ? endpoint.own_limiter : destinations_.at(endpoint.destination).shared_limiter;
    }

    // l: an even part of the limit times what was learned. Without a known limit it is unbounded (0) until
    // the first refusal, and what the destination is seen to take stands for it.
    double limit(const RateLimiter& limiter, const Destination& destination) const {
        if (limiter.share == 0.0) return limiter.known_limit_per_s / senders() * start_gain();
        return capacity(limiter, destination) / senders() * limiter.share;
    }
    double start_gain() const { return std::min(most_gain(), 1.0 + kInitialExtraFairShares / senders()); }
    double most_gain() const { return std::min(senders(), kMaxFairShares); }
    // Without a known limit it stands for what was served, which must be able to rise, also where one sends.
    double most_gain(const RateLimiter& limiter) const {
        return limiter.known_limit_per_s > 0 ? most_gain() : kMaxFairShares;
    }
    double steps_base() const { return std::max(2.0, senders()); }
    double regain_time(const RateLimiter& limiter) const {
        return seconds(kShareDoublingTime) * std::max(1, limiter.refusals);
    }
    // 1/l, or the time in which a lowered l that doubles every kShareDoublingTime allows one send, up to what
    // it returns to.
    Time limit_gap(const RateLimiter& limiter, const Destination& destination) const {
        const double l = limit(limiter, destination);
        if (l <= 0 || limiter.share == 0.0 || limiter.share >= limiter.share_ceiling) return gap_of(l);
        const double doubling = regain_time(limiter);
        const double rising = doubling * std::log2(1.0 + std::log(2.0) / (doubling * l));
        return std::max(gap_of(l / limiter.share * limiter.share_ceiling), from_seconds(rising));
    }
    double capacity(const RateLimiter& limiter, const Destination& destination) const {
        if (limiter.known_limit_per_s > 0) return limiter.known_limit_per_s;
        return std::max(kMinCapacity_per_s, destination.peak_success_rate_per_s * senders());
    }
    double others() const { return 1.0 - 1.0 / senders(); }  // share of the senders that are not this one
    double senders() const { return static_cast<double>(settings_.instance_count); }
    double usual(const Destination& destination) const {
        const double known =
            destination.typical_latency_s > 0 ? destination.typical_latency_s : overall_usual_;
        return std::max(known > 0 ? known : seconds(kInitialTypicalLatency), seconds(kMinTypicalLatency));
    }

    void learn(
        const Call& call, Outcome outcome, const std::optional<LoadReport>& report, Time rtt, Time now) {
        const EndpointId id = call.endpoint;
        const Time sent = call.sent_at;
        Endpoint& endpoint = endpoints_.at(id);
        RateLimiter& limiter = route_of(endpoint);
        if (report && report->limit_per_s > 0) limiter.known_limit_per_s = report->limit_per_s;
        if (outcome == Outcome::Cancelled) return;  // our own doing: it says nothing new of the endpoint
        if (outcome == Outcome::ConnectionLost) endpoint.connection_lost_at = now;
        if (outcome == Outcome::MalformedResponse || outcome == Outcome::ConnectionLost)
            return spoil(endpoint, now);
        if (outcome == Outcome::Delivered) {
            // it lives, and refused a connect while this call was out: its connections are used up
            if (sent < endpoint.connect_refused_at) unconnected_[endpoint.kind] = now;
            for (auto& [other_id, other] : calls_)
                if (other.endpoint == id && other.sent_at < sent) other.overtaken = true;
            return succeed(id, report ? report->remaining_share : 0.0, rtt, now);
        }
        const bool shut = outcome == Outcome::Rejected &&
                          (limiter.retry_after_until > now + kMaxRateLimitWait ||
                              (report && report->remaining_share > kMaxRemainingShareAtLimit));
        // what is shut or sick refuses for another reason than its limit
        if (outcome == Outcome::Rejected && !shut && endpoint.health != Health::Unhealthy)
            lower_limit(limiter, endpoint, now);
        const bool no_room = outcome == Outcome::ConnectFailed && now - sent < kMaxRefusedConnectTime;
        if (no_room) endpoint.connect_refused_at = now;
        // calls that broke off, then a refused connect: the process died
        const bool died = no_room && endpoint.connection_lost_at > endpoint.last_success_at;
        if (died) endpoint.failure_share = 1.0;
        if (!died && ((outcome == Outcome::Rejected && !shut) || no_room)) {
            if (report && report->limit_per_s > 0) return;  // its limit is used up: no outage
            // refusals of calls sent before the last one was known are the same piece of news
            if (sent <= endpoint.last_refusal_at) return;
            endpoint.last_refusal_at = now;
            if (++endpoint.refusals_in_row < kClosedAfterRefusals) return;
            if (outcome == Outcome::Rejected) forget_refusals(limiter, now);
        }
        endpoint.failure_share += news(endpoint, now) * (1.0 - endpoint.failure_share);
        endpoint.failure_seen = true;
        if (limiter.retry_after_until >
            now + kMaxRateLimitWait)  // a told opening holds for all endpoints that share the wait
            for (const EndpointId other : destinations_.at(endpoint.destination).endpoints)
                if (&route_of(endpoints_.at(other)) == &limiter) fall_sick(endpoints_.at(other), now);
        if (endpoint.health == Health::Recovering || endpoint.failure_share > kMaxHealthyFailureShare)
            fall_sick(endpoint, now);
    }

    // It took the call and answered: no sign of an outage, unless hardly any other answer comes.
    void spoil(Endpoint& endpoint, Time now) {
        endpoint.failure_share += kMalformedResponseWeight * (1.0 - endpoint.failure_share);
        endpoint.last_outcome_at = now;
        if (endpoint.failure_share <= kMaxHealthyFailureShare || endpoint.health != Health::Healthy) return;
        endpoint.failure_seen = true;
        fall_sick(endpoint, now);
    }

    // How much the newest outcome weighs in the share of failures: more where the ones before are old.
    double news(Endpoint& endpoint, Time now) {
        const double age = seconds(now - std::exchange(endpoint.last_outcome_at, now));
        return std::max(kMinOutcomeWeight, 1.0 - std::exp(-age / kOutcomeMemory_s));
    }

    void lower_limit(RateLimiter& limiter, const Endpoint& endpoint, Time now) {
        const Destination& destination = destinations_.at(endpoint.destination);
        regain(limiter, now);
        if (limiter.refusals == 0)
            limiter.share_before_refusals = limiter.share,
            limiter.ceiling_before_refusals = limiter.share_ceiling;
        const double before = limiter.share > 0 ? limiter.share : start_gain();
        const double fall =
            std::max(kMinRefusalFactor, std::pow(steps_base(), kRefusalExponent * ++limiter.refusals));
        limiter.share_ceiling = kCeilingPerRefusedShare * before;
        limiter.share = std::max(std::pow(steps_base(), kMinShareExponent), before * fall);
        if ((apart(endpoint) ? endpoint.in_flight : destination.in_flight) > 1) return;
        const double spread = std::uniform_real_distribution<double>(0.5, 1.5)(random_);
        const double gap = seconds(limit_gap(limiter, destination));
        const Time from =
            senders() > 1 ? std::max(now, limiter.retry_after_until) : now;  // all are told the same end
        limiter.limit_tag = std::max(limiter.limit_tag, from + from_seconds(spread * gap));
    }
    // They came of an outage.
    static void forget_refusals(RateLimiter& limiter, Time now) {
        if (limiter.refusals == 0) return;
        limiter.share = limiter.share_before_refusals,
        limiter.share_ceiling = limiter.ceiling_before_refusals, limiter.refusals = 0;
        limiter.limit_tag = std::min(limiter.limit_tag, now);
    }
    void regain(RateLimiter& limiter, Time now) {
        const double since = std::min(100.0, seconds(now - std::exchange(limiter.share_changed_at, now)));
        if (limiter.share == 0.0) return;
        if (limiter.share < limiter.share_ceiling)
            limiter.share =
                std::min(limiter.share_ceiling, limiter.share * std::exp2(since / regain_time(limiter)));
        else if (limiter.share < 1.0)
            limiter.share =
                std::min(1.0, limiter.share * std::exp2(since / seconds(kShareDoublingTimeAboveCeiling)));
    }

    void succeed(EndpointId id, double left, Time rtt, Time now) {
        Endpoint& endpoint = endpoints_.at(id);
        Destination& destination = destinations_.at(endpoint.destination);
        RateLimiter& limiter = route_of(endpoint);
        regain(limiter, now);
        limiter.share = std::min(most_gain(limiter),
            limiter.share * kSuccessFactor * std::pow(senders(), left * kRemainingShareExponent));
        limiter.refusals = 0;
        if (rtt > Time(0)) {
            blend_usual(destination.typical_latency_s, seconds(rtt));
            blend_usual(overall_usual_, seconds(rtt));
        }
        if (destination.success_rate_per_s <= 0) destination.first_success_at = now;
        destination.success_rate_per_s = faded_rate(destination, now) + 1.0 / kSuccessRateMemory_s;
        destination.peak_success_rate_per_s *=
            std::exp(-seconds(now - destination.last_success_at) / seconds(kLearnedStateLifetime));
        destination.peak_success_rate_per_s =
            std::max(destination.peak_success_rate_per_s, destination.success_rate_per_s);
        destination.last_success_at = now;
        endpoint.failure_share *= 1.0 - news(endpoint, now);
        endpoint.refusals_in_row = 0;
        endpoint.last_success_at = now;
        recover(endpoint, now);
    }

    void blend_usual(double& usual_time, double sample) {
        if (usual_time <= 0) usual_time = sample;
        usual_time +=
            kTypicalLatencyWeight * (std::min(sample, kMaxSampleTypicalLatencies * usual_time) - usual_time);
    }

    void fall_sick(Endpoint& endpoint, Time now) {
        if (endpoint.health == Health::Healthy) endpoint.informed_share = 0.0;
        if (endpoint.health == Health::Healthy || endpoint.last_success_at > endpoint.unhealthy_since)
            endpoint.unhealthy_since = now;
        endpoint.health = Health::Unhealthy;
        if (const Time opening = route_of(endpoint).retry_after_until; opening > now + kMaxRateLimitWait) {
            endpoint.health = Health::Recovering;
            endpoint.recovering_since = endpoint.recovery_tag = opening;
        }
        spend_budget(endpoint, now);
    }

    void return_cold(Endpoint& endpoint, Time now) {
        endpoint.health = Health::Recovering;
        endpoint.failure_seen = true;
        endpoint.failure_share = 0.0;
        endpoint.refusals_in_row = 0;
        endpoint.last_success_at = kLongAgo;
        endpoint.unhealthy_since = endpoint.last_outcome_at = endpoint.recovering_since =
            endpoint.recovery_tag = now;
        spend_budget(endpoint, now);
    }

    // Silence alone, ended by a success before any failure was seen, was no outage. After one, slow start.
    void recover(Endpoint& endpoint, Time now) {
        if (endpoint.health == Health::Unhealthy) {
            endpoint.health = endpoint.failure_seen ? Health::Recovering : Health::Healthy;
            endpoint.recovering_since = now;
        }
        if (endpoint.health == Health::Recovering &&
            now - endpoint.recovering_since >= settings_.warm_up_time)
            endpoint.health = Health::Healthy;
        if (endpoint.health == Health::Healthy) endpoint.failure_seen = false;
    }

    // The fall-back budget as a limit tag: own part of multiple x present capacity, which rises evenly from
    // cold_capacity_share after the first success or a told opening. Spread, lest senders come back together.
    void spend_budget(Endpoint& endpoint, Time now) {
        const Destination& destination = destinations_.at(endpoint.destination);
        double present = capacity(route_of(endpoint), destination);
        if (route_of(endpoint).known_limit_per_s <= 0) present *= kEstimatedCapacityUse;
        if (!apart(endpoint))
            present /= static_cast<double>(std::max<std::size_t>(1, destination.endpoints.size()));
        const Time from = std::max(endpoint.recovery_tag, now);
        // only senders that called since it went out know of the outage; once it is back no more learn of it
        if (endpoint.last_success_at <= endpoint.unhealthy_since) {
            const Time out = from - (endpoint.last_success_at + endpoint.unhealthy_since) / 2;
            const double told = 1.0 - std::exp(-destination.arrival_rate_per_s * seconds(out));
            endpoint.informed_share = std::max({kMinInformedShare, endpoint.informed_share, told});
        }
        const double rate = kRecoveryBudgetUse * settings_.overload_multiple * settings_.cold_capacity_share *
                            present / (senders() * endpoint.informed_share);
        const bool answers =
            endpoint.health == Health::Recovering && endpoint.last_success_at > endpoint.unhealthy_since;
        const double longest =
            answers ? 1e6 : seconds(settings_.overload_window) * senders() / kMinProbesPerOverloadWindow;
        const double step =
            std::uniform_real_distribution<double>(0.5, 1.5)(random_) * std::min(1.0 / rate, longest);
        // not heard of for a warm-up and a half: it may well be back
        const Time back = endpoint.health == Health::Recovering
                              ? endpoint.recovering_since
                              : endpoint.last_outcome_at + 3 * settings_.warm_up_time / 2;
        double gap = step;
        if (const double warm = seconds(settings_.warm_up_time);
            warm > 0 && settings_.cold_capacity_share < 1) {
            const double rise = (1.0 / settings_.cold_capacity_share - 1.0) / warm;
            const double flat = std::clamp(seconds(back - from), 0.0, step);
            const double since = std::max(0.0, seconds(from - back));
            const double due = since + rise * since * since / 2.0 + step - flat;
            gap = flat + (std::sqrt(1.0 + 2.0 * rise * due) - 1.0) / rise - since;
        }
        const Time least = answers ? kMinRecoveringGap : paced(kMinProbeGap, kMinProbeGapTypicalLatencies);
        endpoint.recovery_tag = from + std::max(least, from_seconds(gap));
    }

    // Waiting summed over the calls out since the last success, in usual times.
    void watch_silence(Time now) {
        std::map<EndpointId, double> waiting;
        for (const auto& [id, call] : calls_) {
            const Endpoint& endpoint = endpoints_.at(call.endpoint);
            if (call.overtaken) continue;  // it hangs alone
            waiting[call.endpoint] += seconds(now - std::max(call.sent_at, endpoint.last_success_at)) /
                                      usual(destinations_.at(endpoint.destination));
        }
        for (const auto& [id, sum] : waiting) {
            Endpoint& endpoint = endpoints_.at(id);
            if (sum > kMaxSilenceTypicalLatencies && endpoint.health == Health::Healthy)
                fall_sick(endpoint, now);
        }
    }

    bool ailing(const Endpoint& endpoint, const Destination& destination) const {
        return apart(endpoint) ? endpoint.health != Health::Healthy : ailing(destination);
    }
    // Failing or slow: an endpoint is not well (silent, failing, or warming up).
    bool ailing(const Destination& destination) const {
        return std::any_of(destination.endpoints.begin(), destination.endpoints.end(),
            [this](EndpointId id) { return endpoints_.at(id).health != Health::Healthy; });
    }

    void settle(const OutcomeEvent& event, const Call& call, Time now) {
        const bool never_ran = event.outcome == Outcome::Rejected ||
                               event.outcome == Outcome::ConnectFailed || event.outcome == Outcome::NotSent ||
                               event.outcome == Outcome::Withheld;
        const auto found = messages_.find(event.message);
        if (found == messages_.end()) return;
        Message& message = found->second;
        --message.open_attempts;
        if (event.terminal || event.outcome == Outcome::Delivered) return forget(event.message, now);
        if (event.outcome == Outcome::Withheld) --message.attempts;
        message.not_before =
            now + (event.outcome == Outcome::Withheld ? kInitialRetryPause : pause_after(message, now));
        if (!never_ran && (!message.ambiguous_since || call.sent_at < *message.ambiguous_since)) {
            message.ambiguous_since = call.sent_at;
            doubt_at(message, call.endpoint);
        }
        reindex(event.message, message, now);
    }

    // Doubling; from half of the allowed attempts on, those left are spread over the time left: otherwise
    // they are used up in the middle of a long outage.
    Time pause_after(const Message& message, Time now) const {
        const Time doubled = kInitialRetryPause *
                             (1 << std::min<std::uint32_t>(message.attempts - 1, kMaxRetryPauseDoublings));
        if (message.attempts * 2 < settings_.max_attempts || message.attempts >= settings_.max_attempts)
            return doubled;
        const auto left = static_cast<Time::rep>(settings_.max_attempts - message.attempts);
        return std::max(doubled, (message.deadline - now) / (left + 1));
    }

    void settle_key(std::uint64_t key, const OutcomeEvent& event, Time now) {
        const bool may_run_on = event.outcome == Outcome::TimedOut ||
                                event.outcome == Outcome::ConnectionLost ||
                                event.outcome == Outcome::Cancelled;
        if (may_run_on) keys_.rest(key, event.message, now + settings_.ambiguous_settle_time);
        keys_.end_attempt(key, now);
    }

    // A message is over when its time is, or when no further attempt is allowed.
    void end_overdue(Time now) {
        for (const MessageId id : ends_.due(now)) end(id, now);
    }
    void reindex(MessageId id, const Message& message, Time now) {
        ends_.set(id, ends_at(message));
        message.open_attempts == 0 && message.not_before > now ? pauses_.set(id, message.not_before)
                                                               : pauses_.erase(id);
    }
    void doubt_at(Message& message, std::optional<EndpointId> endpoint) {
        if (message.ambiguous_endpoint && --doubts_.at(*message.ambiguous_endpoint) == 0)
            doubts_.erase(*message.ambiguous_endpoint);
        message.ambiguous_endpoint = endpoint;
        if (endpoint) ++doubts_[*endpoint];
    }
    Time ends_at(const Message& message) const {
        if (message.open_attempts > 0) return message.deadline;
        if (message.attempts >= settings_.max_attempts) return kLongAgo;
        if (message.ambiguous_since) return std::min(message.deadline, resend_until(message));
        return message.deadline;
    }

    bool may_refuse(const Message& message) const {
        if (message.open_attempts == 0 && !message.ambiguous_since) return true;
        const ClassSettings& kind = *message.class_settings;
        return kind.delivery == DeliverySemantics::Retryable ||
               (kind.delivery == DeliverySemantics::Deduplicated && kind.dedup_scope == DedupScope::All);
    }
    void end(MessageId id, Time now) {
        // at its deadline a client has no time to come again: a refusal would promise what helps nobody
        if (messages_.at(id).deadline > now && may_refuse(messages_.at(id)))
            actions_.emplace_back(Refuse{id, come_back_in(messages_.at(id), now)});
        else
            actions_.emplace_back(Fail{id});
        if (const auto key = messages_.at(id).key) keys_.rest(*key, id, now + kEndNoticeTime);
        forget(id, now);
    }
    // When a client should come again: once the outage or the backlog is likely to be over, and while there
    // is still time to deliver.
    Time come_back_in(const Message& message, Time now) const {
        const Destination& destination = destinations_.at(message.destination);
        const double backlog = static_cast<double>(destination.held.size()) / drain_rate(destination, now);
        const Time over = std::max(stalled(destination, now), from_seconds(backlog));
        return std::min(over, (message.deadline - now) / 2);
    }
    void forget(MessageId id, Time now) {
        const auto found = messages_.find(id);
        if (found == messages_.end()) return;
        Destination& destination = destinations_.at(found->second.destination);
        destination.held.erase(found->second.arrival_number);
        destination.target_latencies.remove(found->second.class_settings->target_latency);
        ends_.erase(id), pauses_.erase(id);
        doubt_at(found->second, std::nullopt);
        if (brings_news(found->second)) --destination.safe_probes;
        if (destination.held.empty()) destination.share_tag = queue_.deactivate(found->second.destination);
        if (const auto key = found->second.key) keys_.remove(*key, id, now);
        messages_.erase(found);
    }

    // A tenant's own part of its quota, as a tag that may run ahead by kMaxQuotaBurst.
    bool over_quota(std::size_t index, Time now) {
        const Time gap = gap_of(settings_.tenants[index].quota_per_s / senders());
        const Time next = std::max(quota_tags_[index], now) + gap;
        if (next > now + std::max(gap, kMaxQuotaBurst)) return true;
        quota_tags_[index] = next;
        return false;
    }

    // Nearly full: of those that may be refused, the one that will be worth least when its turn comes goes,
    // the latest of equals. What is down thus cannot fill the room of others.
    void keep_room(Time now) {
        const auto most = static_cast<std::size_t>(
            static_cast<double>(settings_.max_held_messages) * (1.0 - kFreeHeldShare));
        while (messages_.size() > std::max<std::size_t>(1, most)) {
            std::optional<MessageId> least;
            std::pair lowest{0.0, 0.0};
            queue_.for_each([&](DestinationId destination_id) {
                const Destination& destination = destinations_.at(destination_id);
                Time turn = now + stalled(destination, now);
                for (const auto& [arrival, id] : destination.held) {
                    turn += gap_of(drain_rate(destination, now));
                    const Message& message = messages_.at(id);
                    if (message.open_attempts > 0 || message.ambiguous_since) continue;
                    const std::pair rank{worth_of(message, turn), -static_cast<double>(arrival)};
                    if (!least || rank < lowest) least = id, lowest = rank;
                }
            });
            if (!least) return;
            end(*least, now);
        }
    }
    // While it ails, a destination is expected to stay so for as long again as it has been without a success.
    Time stalled(const Destination& destination, Time now) const {
        if (!ailing(destination)) return Time(0);
        return std::min(kMaxExpectedStall, now - destination.last_success_at);
    }
    double drain_rate(const Destination& destination, Time now) const {
        // a memory that is not full yet knows of less than its whole span
        const double known = 1.0 - std::exp(-std::max(1.0, seconds(now - destination.first_success_at)) /
                                            kSuccessRateMemory_s);
        return std::max(kMinDrainRate_per_s / senders(), faded_rate(destination, now) / known);
    }
    double faded_rate(const Destination& destination, Time now) const {
        if (destination.success_rate_per_s <= 0) return 0.0;
        return destination.success_rate_per_s *
               std::exp(-seconds(now - destination.last_success_at) / kSuccessRateMemory_s);
    }
    double worth_of(const Message& message, Time served) const {
        const ClassSettings& kind = *message.class_settings;
        const double worth = kind.utility * (message.over_quota ? settings_.over_quota_utility : 1.0);
        if (served >= message.deadline) return 0.0;
        const Time late = served - message.accepted_at - kind.target_latency;
        if (late <= Time(0)) return worth;
        const double aims_late = seconds(late) / std::max(seconds(Time(1000)), seconds(kind.target_latency));
        if (settings_.late_decay == LateDecay::Halving)
            return worth * std::max(kind.late_utility, std::exp2(-aims_late));
        return worth * (1.0 - (1.0 - kind.late_utility) * seconds(late) /
                                  seconds(kind.deadline - kind.target_latency));
    }

    void set_timer(Time now) {
        Time next = watch_at_;
        if (!calls_.empty()) next = std::min(next, now + paced(kSilenceCheckInterval, 1.0));
        for (const MessageId id : pauses_.due(now)) pauses_.erase(id);
        for (const auto& due : {ends_.earliest(), pauses_.earliest()})
            next = std::min(next, due.value_or(kNever));
        next = std::min(next, keys_.next_turn(now, kNever));
        if (calls_.size() < settings_.max_calls) {
            next = std::min(next, queue_.next_reopening().value_or(kNever));
            for (const auto& [share, id] : queue_.open())
                next = std::min(next, next_due(destinations_.at(id), now));
        }
        if (next == kNever) return;
        next = std::max(next, now + Time(1000));
        if (timer_at_ > now && timer_at_ <= next) return;
        timer_at_ = next;
        actions_.emplace_back(SetTimer{next - now});
    }
    // The earliest moment after now at which a tag, wait or budget of the destination falls due.
    Time next_due(const Destination& destination, Time now) {
        Time next = kNever;
        if (settings_.reservation_per_s > 0 && destination.reservation_tag > now)
            next = destination.reservation_tag;
        for (const EndpointId id : destination.endpoints) {
            Endpoint& endpoint = endpoints_.at(id);
            const RateLimiter& limiter = route_of(endpoint);
            for (const Time due : {limiter.limit_tag, limiter.retry_after_until,
                     endpoint.health != Health::Healthy ? endpoint.recovery_tag : now})
                if (due > now) next = std::min(next, due);
        }
        return next;
    }

    Settings settings_;
    std::vector<std::shared_ptr<const ClassSettings>> classes_;
    std::mt19937_64 random_;
    std::map<DestinationId, Destination> destinations_;
    ShareQueue queue_;  // those that hold messages, by P
    std::map<EndpointId, Endpoint> endpoints_;
    std::set<DestinationId> unnamed_;  // of which no endpoint is known
    std::map<MessageId, Message> messages_;
    TimeIndex<MessageId> ends_, pauses_;        // messages by their end and by the end of their pause
    std::map<EndpointId, std::size_t> doubts_;  // messages that may have run there
    KeySequencer keys_;
    std::map<std::pair<MessageId, std::uint32_t>, Attempt> attempts_;
    std::map<std::uint64_t, Call> calls_;
    std::vector<Time> quota_tags_;   // by tenant
    std::vector<Time> unconnected_;  // by kind, the last connect that was refused
    std::set<EndpointId> freed_;     // calls ended there in this batch
    std::set<EndpointId> gone_;      // no longer listed, and not forgotten yet
    std::set<EndpointId> banned_;    // out by hand, listed or not
    std::vector<Action> actions_;
    std::uint64_t arrivals_ = 0, call_count_ = 0;
    double overall_usual_ = 0.0;
    mutable std::optional<int> sick_calls_;  // since calls or health last changed
    bool reserved_ = false;
    Time watch_at_ = kNever;
    int watch_tries_ = 0;
    Time timer_at_{kLongAgo};
    Time tidy_at_{kLongAgo};
};

Sender::Sender(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Sender::~Sender() = default;
Sender::Sender(Sender&&) noexcept = default;
Sender& Sender::operator=(Sender&&) noexcept = default;

void Sender::observe(const Event& event, Time now) {
    std::visit([&](const auto& one) { impl_->take(one, now); }, event);
}
std::vector<LearnedState> Sender::learned_state(Time now) const { return impl_->learned(now); }
std::vector<Action> Sender::decide(Time now) { return impl_->decide(now); }
bool Sender::may_start(MessageId message, std::uint32_t attempt, Time now) const {
    return impl_->may_begin(message, attempt, now);
}

}  // namespace cometspoke
