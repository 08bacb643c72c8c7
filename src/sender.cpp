// The decision module of cometspoke (interface: include/cometspoke/sender.hpp). Normal operation is mClock's
// tag scheduler with the tags R, L and P. Every other rule applies only under the condition that its comment
// states.
#include "cometspoke/sender.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <stdexcept>
#include <utility>

#include "counted_values.hpp"
#include "key_sequencer.hpp"
#include "learned_state_fields.hpp"
#include "learned_state_io.hpp"
#include "message_utility.hpp"
#include "sender_constants.hpp"
#include "sender_state.hpp"
#include "share_queue.hpp"
#include "tenant_quotas.hpp"
#include "time_index.hpp"
#include "time_math.hpp"
#include "validate_settings.hpp"

namespace cometspoke {

class Sender::Impl {
public:
    Impl(Settings settings, std::uint64_t seed) : random_(seed) {
        apply_settings(std::move(settings));
        if (settings_.must_subscribe) watch_at_ = kLongAgo;
    }

    // What was learned of endpoints is kept. A stricter limit on attempts applies at once.
    void handle(const SettingsEvent& event, Time now) {
        apply_settings(event.settings);
        for (const auto& [id, message] : messages_) update_due_times(id, message, now);
        queue_.reopen_all();
    }

    void handle(const ListEvent& event, Time now) {
        for (const ListEntry& entry : event.entries) {
            if (entry.kind >= settings_.kinds.size()) throw std::invalid_argument("kind");
            if (entry.zone.value_or(0) >= std::max<std::size_t>(1, settings_.zones))
                throw std::invalid_argument("zone");
        }
        if (event.kind == ListUpdateKind::Failed) {
            const double spread = std::uniform_real_distribution<double>(0.5, 1.0)(random_);
            watch_at_ = now + from_seconds(seconds(kInitialWatchPause) * (1 << watch_failures_) * spread);
            watch_failures_ = std::min(watch_failures_ + 1, kMaxWatchPauseDoublings);
            return;
        }
        if (event.kind != ListUpdateKind::Cached) watch_failures_ = 0;
        if (event.kind != ListUpdateKind::Delta)
            for (auto& [id, endpoint] : endpoints_) {
                endpoint.condition = Condition::Removed;
                destinations_.at(endpoint.destination).endpoints.erase(id);
                removed_endpoints_.insert(id);
                queue_.reopen(endpoint.destination);
            }
        for (const ListEntry& entry : event.entries) apply_entry(entry, now);
    }

    // A disabled endpoint gets no new calls. It is restarted meanwhile, so that each sender treats the end of
    // the disabling as the end of an outage.
    void handle(const AdminDisableEvent& event, Time now) {
        const auto found = endpoints_.find(event.endpoint);
        if (event.disabled) {
            if (!disabled_endpoints_.insert(event.endpoint).second) return;
            if (found != endpoints_.end()) found->second.idle_connections.clear();
            actions_.emplace_back(CloseIdle{event.endpoint});
        } else if (disabled_endpoints_.erase(event.endpoint) > 0 && found != endpoints_.end()) {
            start_recovery(found->second, now);
            queue_.reopen(found->second.destination);
        }
    }

    void handle(const MessageEvent& event, Time now) {
        if (!event.class_settings && event.message_class >= classes_.size())
            throw std::invalid_argument("message_class");
        if (event.tenant && *event.tenant >= quotas_.size()) throw std::invalid_argument("tenant");
        if (messages_.contains(event.message)) return;
        Message message;
        message.class_settings = event.class_settings
                                     ? std::make_shared<const ClassSettings>(*event.class_settings)
                                     : classes_[event.message_class];
        const ClassSettings& class_settings = *message.class_settings;
        message.destination = event.destination;
        message.arrival_number = ++arrival_count_;
        message.accepted_at = now + event.time_left - class_settings.deadline;
        message.deadline = now + event.time_left;
        // Messages from before a restart arrive here all at once, and are charged as of their acceptance.
        const Time charged_at = event.recovered ? message.accepted_at : now;
        message.over_quota = event.tenant && over_quota(*event.tenant, charged_at);
        message.attempts = event.attempts;  // what may have run before a restart still counts
        if (event.ambiguous_attempt) {
            message.ambiguous_since = now - event.ambiguous_attempt->age;
            set_ambiguous_endpoint(message, event.ambiguous_attempt->endpoint);
        }
        if (class_settings.sequential && event.key) {
            message.key = event.key;
            keys_.add(*event.key, event.message);
            if (event.ambiguous_attempt)
                keys_.rest(*event.key, event.message, now + settings_.ambiguous_settle_time);
        }
        Destination& destination = find_or_add_destination(event.destination);
        const double age_s = seconds(now - std::exchange(destination.last_arrival_at, now));
        destination.arrival_rate_per_s =
            (destination.arrival_rate_per_s * kArrivalRateMemory_s * std::exp(-age_s / kArrivalRateMemory_s) +
                1.0) /
            kArrivalRateMemory_s;
        destination.held.emplace(message.arrival_number, event.message);
        if (is_safe_probe(message)) ++destination.safe_probes;
        destination.target_latencies.add(class_settings.target_latency);
        update_due_times(event.message, message, now);
        messages_.emplace(event.message, message);
        if (destination.held.size() == 1) activate(event.destination, destination, now);
    }

    void handle(const OutcomeEvent& event, Time now) {
        const auto found = attempts_.find({event.message, event.attempt});
        if (found == attempts_.end()) return;
        const auto [call_id, key, cancelled] = found->second;
        attempts_.erase(found);
        if (key) settle_key(*key, event, now);
        Call& call = calls_.at(call_id);
        Endpoint& endpoint = endpoints_.at(call.endpoint);
        queue_.reopen(endpoint.destination);
        // Each message of a call may bring its own retry-after.
        handle(RetryAfterEvent{call.endpoint, event.retry_after}, now);
        const bool unsent = event.outcome == Outcome::NotSent || event.outcome == Outcome::Withheld;
        // Idle connections count against the limit, and are closed from now on.
        if (event.connection_limit_reached) connect_refused_at_[endpoint.kind] = now;
        if (!call.outcome_counted && !unsent) {
            call.outcome_counted = true;
            record_outcome(call, event.outcome, event.report, event.rtt, now);
        }
        const Call ended_call = call;
        if (--call.open_attempts == 0) {
            --endpoint.in_flight;
            --destinations_.at(endpoint.destination).in_flight;
            const bool stays_open = event.outcome == Outcome::Delivered ||
                                    event.outcome == Outcome::ServerError ||
                                    event.outcome == Outcome::Rejected || event.outcome == Outcome::Withheld;
            if (stays_open)
                endpoint.idle_connections.push_back(now + settings_.connection_idle_limit),
                    freed_endpoints_.insert(ended_call.endpoint);
            calls_.erase(call_id);
        }
        settle_attempt(event, ended_call, now);
    }

    void handle(const RetryAfterEvent& event, Time now) {
        const auto found = endpoints_.find(event.endpoint);
        if (found == endpoints_.end() || event.retry_after <= Time(0)) return;
        RateLimiter& limiter = limiter_of(found->second);
        limiter.retry_after_until = std::max(limiter.retry_after_until, now + event.retry_after);
    }

    // The other process holds the call's connection; here the call counts against max_calls and its outcomes
    // arrive.
    void handle(const InheritedCall& event, Time now) {
        if (event.attempts.empty()) return;
        const auto [position, inserted] = endpoints_.try_emplace(event.endpoint);
        Endpoint& endpoint = position->second;
        if (inserted) {
            removed_endpoints_.insert(event.endpoint);
            const auto message = messages_.find(event.attempts.front().message);
            assign_to_destination(endpoint, message != messages_.end() ? message->second.destination : 0);
        }
        const std::uint64_t call_id = ++call_count_;
        calls_.emplace(call_id, Call{event.endpoint, now - event.age, event.attempts.size()});
        ++endpoint.in_flight;
        ++destinations_.at(endpoint.destination).in_flight;
        for (const InheritedAttempt& attempt : event.attempts) inherit_attempt(attempt, call_id, now);
    }

    void handle(const KeyRestEvent& event, Time now) {
        const Time until = now + event.remaining;
        event.key ? keys_.rest(*event.key, event.exempt_message, until) : keys_.rest_all(until);
    }

    std::vector<KeyRestEvent> resting_keys(Time now) const {
        std::vector<KeyRestEvent> rests;
        keys_.visit_resting(now, [&](std::uint64_t key, MessageId exempt_message, Time until) {
            rests.push_back({key, until - now, exempt_message});
        });
        return rests;
    }

    std::optional<std::uint64_t> key_of_attempt(MessageId message, std::uint32_t attempt) const {
        const auto found = attempts_.find({message, attempt});
        return found != attempts_.end() ? found->second.key : std::nullopt;
    }

    void handle(const LearnedState& event, Time now) {
        FieldReader reader{event.values, now};
        if (event.endpoint) {
            const auto found = endpoints_.find(*event.endpoint);
            if (found == endpoints_.end()) return;
            visit_fields(found->second, reader);
            queue_.reopen(found->second.destination);
        } else if (event.destination) {
            const auto found = destinations_.find(*event.destination);
            if (found == destinations_.end()) return;
            visit_fields(found->second, reader);
            queue_.reopen(*event.destination);
        } else {
            reader("usual", overall_typical_latency_s_);
        }
    }

    std::vector<LearnedState> learned_state(Time now) const {
        std::vector<LearnedState> records;
        const auto add_record = [&](auto endpoint, auto destination, const auto& record) {
            records.push_back({endpoint, destination, {}});
            FieldWriter writer{records.back().values, now};
            visit_fields(record, writer);
        };
        for (const auto& [id, endpoint] : endpoints_) add_record(std::optional(id), std::nullopt, endpoint);
        for (const auto& [id, destination] : destinations_)
            add_record(std::nullopt, std::optional(id), destination);
        records.push_back({std::nullopt, std::nullopt, {{"usual", overall_typical_latency_s_}}});
        return records;
    }

    bool may_start(MessageId id, std::uint32_t attempt_number, Time now) const {
        const auto found = messages_.find(id);
        const auto attempt = attempts_.find({id, attempt_number});
        if (found == messages_.end() || attempt == attempts_.end() || attempt->second.cancelled) return false;
        const Message& message = found->second;
        if (message.deadline < now + kMinTimeLeftToStart) return false;
        if (message.ambiguous_since && now > resend_until(message)) return false;
        const EndpointId endpoint_id = calls_.at(attempt->second.call_id).endpoint;
        return endpoints_.at(endpoint_id).destination == message.destination &&
               accepts_calls(endpoint_id, now);
    }

    void handle(const AbandonedEvent& event, Time now) { remove_message(event.message, now); }

    // A timer only triggers decide(). The outcome of a stream still follows. Peer messages and probe results
    // are not used.
    template <class OtherEvent>
    void handle(const OtherEvent&, Time) {}

    std::vector<Action> decide(Time now) {
        if (watch_at_ <= now) actions_.emplace_back(Watch{true}), watch_at_ = kNever;
        end_overdue(now);
        detect_silence(now);
        cancel_stuck_calls(now);
        limit_held_messages(now);
        queue_.reopen_due(now);
        while (calls_.size() < settings_.max_calls) {
            const std::optional<Selection> selection = choose_next(now);
            if (!selection) break;
            start_call(*selection, now);
        }
        close_idle_connections(now);
        set_timer(now);
        if (now >= next_cleanup_at_) release_unreferenced(now);
        return std::exchange(actions_, {});
    }

private:
    void apply_settings(Settings settings) {
        validate(settings);
        if (settings.kinds.empty()) settings.kinds.emplace_back();
        require(settings.kinds.size() >= settings_.kinds.size(), "kinds");
        require(settings.zones >= settings_.zones, "zones");
        settings_ = std::move(settings);
        classes_.clear();
        for (const ClassSettings& entry : settings_.classes)
            classes_.push_back(std::make_shared<const ClassSettings>(entry));
        quotas_.resize(settings_.tenants.size());
        connect_refused_at_.resize(settings_.kinds.size(), kLongAgo);
    }

    void apply_entry(const ListEntry& entry, Time now) {
        const auto [position, inserted] = endpoints_.try_emplace(entry.endpoint);
        Endpoint& endpoint = position->second;
        if (inserted || entry.condition != Condition::Removed) place_endpoint(endpoint, entry, inserted);
        endpoint.condition = entry.condition;
        Destination& destination = destinations_.at(endpoint.destination);
        if (entry.condition == Condition::Removed)
            removed_endpoints_.insert(entry.endpoint), destination.endpoints.erase(entry.endpoint);
        else
            removed_endpoints_.erase(entry.endpoint), destination.endpoints.insert(entry.endpoint);
        queue_.reopen(endpoint.destination);
        if (!settings_.listed_rates) return;
        if (entry.agreed_rate_per_s > 0) destination.weight = entry.agreed_rate_per_s;
        RateLimiter& limiter = has_own_limiter(endpoint) ? endpoint.own_limiter : destination.shared_limiter;
        if (limiter.known_limit_per_s != 0.0 || entry.agreed_rate_per_s <= 0) return;
        limiter.known_limit_per_s = entry.agreed_rate_per_s;
        // The tags start at random phases, as if all senders had been sending for a while: otherwise all n
        // senders would send their first call at the same time.
        const double phase = std::uniform_real_distribution<double>(0.0, other_senders_share())(random_);
        limiter.limit_tag = now - kInitialBurst + from_seconds(phase / own_limit_per_s(limiter, destination));
    }

    void place_endpoint(Endpoint& endpoint, const ListEntry& entry, bool is_new) {
        Destination& destination = find_or_add_destination(entry.destination);
        if (is_new || endpoint.destination != entry.destination) {
            if (!is_new) remove_from_destination(endpoint, entry.endpoint);
            destination.in_flight += endpoint.in_flight;
            assign_to_destination(endpoint, entry.destination);
        }
        endpoint.zone = entry.zone;
        endpoint.kind = entry.kind;
    }

    Destination& find_or_add_destination(DestinationId id) {
        const auto [position, inserted] = destinations_.try_emplace(id);
        if (inserted) destinations_without_endpoints_.insert(id);
        return position->second;
    }
    void assign_to_destination(Endpoint& endpoint, DestinationId id) {
        endpoint.destination = id;
        if (find_or_add_destination(id).endpoint_count++ == 0) destinations_without_endpoints_.erase(id);
    }
    void remove_from_destination(const Endpoint& endpoint, EndpointId id) {
        Destination& destination = destinations_.at(endpoint.destination);
        destination.endpoints.erase(id);
        destination.in_flight -= endpoint.in_flight;
        queue_.reopen(endpoint.destination);
        if (--destination.endpoint_count == 0) destinations_without_endpoints_.insert(endpoint.destination);
    }

    // Releases the state that nothing refers to any more. An endpoint is referred to by the list, a call or
    // an ambiguous attempt; a destination by an endpoint, a message or learned state that is still valid.
    void release_unreferenced(Time now) {
        next_cleanup_at_ = now + kCleanupInterval;
        std::erase_if(removed_endpoints_, [&](EndpointId id) {
            // Its retry-after and its outage still apply if it is listed again.
            const Endpoint& endpoint = endpoints_.at(id);
            const Time relevant_until = std::max(endpoint.own_limiter.retry_after_until,
                endpoint.health == Health::Healthy ? kLongAgo
                                                   : endpoint.last_outcome_at + kLearnedStateLifetime);
            if (endpoint.in_flight > 0 || ambiguous_messages_.contains(id) || relevant_until > now)
                return false;
            remove_from_destination(endpoint, id);
            endpoints_.erase(id);
            disabled_endpoints_.erase(id);
            actions_.emplace_back(ReleaseEndpoint{id});
            return true;
        });
        std::erase_if(destinations_without_endpoints_, [&](DestinationId id) {
            const Destination& destination = destinations_.at(id);
            const Time last_use = std::max({destination.last_arrival_at, destination.last_success_at,
                destination.shared_limiter.retry_after_until, destination.shared_limiter.limit_tag});
            if (!destination.held.empty() || destination.in_flight > 0 ||
                last_use + kLearnedStateLifetime > now)
                return false;
            destinations_.erase(id);
            return true;
        });
    }

    // The tags of the head: R = max(R+1/r, now), L = max(L+1/l, now), P = max(P+1/w, now-sigma/w). They
    // advanced when the last head was sent. Here the arrival time is applied, and the queue shifts all P tags
    // so that the destination starts level with the others.
    void activate(DestinationId id, Destination& destination, Time now) {
        destination.reservation_tag = std::max(destination.reservation_tag, now);
        destination.shared_limiter.limit_tag = std::max(destination.shared_limiter.limit_tag, now);
        queue_.activate(id,
            std::max(destination.share_tag, now - from_seconds(kMaxIdleCredit_calls / destination.weight)));
    }
    // The message may have ended while its call goes on; its attempt blocks the key all the same.
    void inherit_attempt(const InheritedAttempt& attempt, std::uint64_t call_id, Time now) {
        const auto found = messages_.find(attempt.message);
        const bool is_held = found != messages_.end();
        const auto key = is_held ? found->second.key : attempt.key;
        attempts_.emplace(std::pair(attempt.message, attempt.attempt), Attempt{call_id, key, false});
        if (is_held) ++found->second.open_attempts, update_due_times(attempt.message, found->second, now);
        if (key) keys_.begin_attempt(*key);
    }

    // The earliest time at which one of the endpoints of the destination may be open.
    Time closed_until(const Destination& destination, Time now) const {
        Time until = kNever;
        for (const EndpointId id : destination.endpoints) {
            const Endpoint& endpoint = endpoints_.at(id);
            if (endpoint.condition != Condition::Ready || disabled_endpoints_.contains(id)) continue;
            Time opens_at = std::max(now, limiter_of(endpoint).retry_after_until);
            if (endpoint.health != Health::Healthy) opens_at = std::max(opens_at, endpoint.recovery_tag);
            if (settings_.reservation_per_s <= 0)
                opens_at = std::max(opens_at, limiter_of(endpoint).limit_tag);
            until = std::min(until, opens_at);
        }
        return until;
    }

    // Takes the smallest R tag that is due, else the smallest P tag among destinations whose L tag is due.
    std::optional<Selection> choose_next(Time now) {
        by_reservation_ = settings_.reservation_per_s > 0;
        if (by_reservation_)
            if (const auto selection = select_by_tag(false, now)) return selection;
        by_reservation_ = false;
        return select_by_tag(true, now);
    }
    // Selects by P among destinations whose L tag is due where limit_applies, else by R.
    std::optional<Selection> select_by_tag(bool limit_applies, Time now) {
        std::optional<Selection> best;
        Time min_tag = limit_applies ? kNever : now;
        std::vector<std::pair<DestinationId, Time>> closed;
        for (const auto& [share, id] : queue_.open()) {
            if (best && limit_applies) break;  // the queue is in the order of P
            const Destination& destination = destinations_.at(id);
            if (const Time until = closed_until(destination, now); until > now) {
                closed.emplace_back(id, until);
                continue;
            }
            const Time tag = destination.reservation_tag;
            if (!limit_applies && (tag > min_tag || (best && tag == min_tag && id > best->destination)))
                continue;
            if (!has_call_capacity(destination)) continue;
            if (const auto selection = select_message(id, destination, now, limit_applies))
                best = selection, min_tag = tag;
        }
        for (const auto& [id, until] : closed) queue_.park(id, until);
        return best;
    }

    // A destination may hold three quarters of max_calls, and half of them while it is degraded. Its first
    // call is always allowed.
    bool has_call_capacity(const Destination& destination) const {
        const double max_calls = static_cast<double>(settings_.max_calls);
        if (destination.in_flight > 0 && destination.in_flight + 1 >= kMaxDestinationCallShare * max_calls)
            return false;
        return destination.in_flight == 0 || !is_degraded(destination) ||
               destination.in_flight + 1 <= kMaxDegradedCallShare * max_calls;
    }
    // All that is degraded together leaves half of max_calls to the healthy endpoints. A healthy endpoint
    // with its own limiter is not held back by an unhealthy one of the same destination.
    bool has_call_capacity(const Endpoint& endpoint) const {
        const Destination& destination = destinations_.at(endpoint.destination);
        if (!is_degraded(endpoint, destination)) return true;
        const double max_calls = static_cast<double>(settings_.max_calls);
        // Each may have one probe while calls are not scarce: after a stall of all endpoints, stuck calls
        // must not prevent them from being probed.
        const int in_flight = has_own_limiter(endpoint) ? endpoint.in_flight : destination.in_flight;
        if (in_flight == 0 && static_cast<double>(calls_.size()) < kScarceCallShare * max_calls) return true;
        return degraded_calls() + 1 <= std::max(1.0, kMaxDegradedCallShare * max_calls);
    }
    int degraded_calls() const {
        if (degraded_call_count_) return *degraded_call_count_;
        degraded_call_count_ =
            static_cast<int>(std::count_if(calls_.begin(), calls_.end(), [this](const auto& entry) {
                const Endpoint& endpoint = endpoints_.at(entry.second.endpoint);
                return is_degraded(endpoint, destinations_.at(endpoint.destination));
            }));
        return *degraded_call_count_;
    }

    void start_call(const Selection& selection, Time now) {
        Destination& destination = destinations_.at(selection.destination);
        Endpoint& endpoint = endpoints_.at(selection.endpoint);
        degraded_call_count_.reset();
        const std::uint64_t call_id = ++call_count_;
        calls_.emplace(call_id, Call{selection.endpoint, now});
        ++endpoint.in_flight;
        ++destination.in_flight;
        take_connection(endpoint, now);
        endpoint.frequently_used =
            now - std::exchange(endpoint.last_sent_at, now) < settings_.connection_idle_limit;
        start_attempt(selection.message, selection.endpoint, call_id, now);
        fill_call(destination, selection.endpoint, call_id, now);
        advance_tags(destination, endpoint, now);
    }

    void advance_tags(Destination& destination, Endpoint& endpoint, Time now) {
        RateLimiter& limiter = limiter_of(endpoint);
        limiter.limit_tag = std::max(limiter.limit_tag + limit_gap(limiter, destination), now);
        if (endpoint.health != Health::Healthy) advance_recovery_tag(endpoint, now);
        const double weight = destination.weight;
        const Time share_tag = queue_.tag(endpoint.destination) + gap_of(weight);
        queue_.set_tag(
            endpoint.destination, std::max(share_tag, now - from_seconds(kMaxIdleCredit_calls / weight)));
        if (settings_.reservation_per_s <= 0) return;
        const Time reservation_step = gap_of(settings_.reservation_per_s);
        destination.reservation_tag = std::max(destination.reservation_tag + reservation_step, now);
        // After a selection by P, mClock takes 1/r off again.
        if (!by_reservation_) destination.reservation_tag -= reservation_step;
    }

    void start_attempt(MessageId id, EndpointId endpoint_id, std::uint64_t call_id, Time now) {
        Message& message = messages_.at(id);
        attempts_.emplace(std::pair(id, message.attempts), Attempt{call_id, message.key, false});
        ++message.attempts;
        ++message.open_attempts;
        ++calls_.at(call_id).open_attempts;
        update_due_times(id, message, now);
        if (message.key) keys_.begin_attempt(*message.key);
        const bool within_window =
            message.ambiguous_since && message.class_settings->delivery == DeliverySemantics::Deduplicated;
        const auto start_within = within_window ? std::optional(resend_until(message) - now) : std::nullopt;
        actions_.emplace_back(Send{id, endpoint_id, timeout_for(message, now), start_within});
    }

    // Adds the next messages in arrival order where a call may carry several.
    void fill_call(Destination& destination, EndpointId endpoint_id, std::uint64_t call_id, Time now) {
        const std::size_t max_messages =
            settings_.kinds[endpoints_.at(endpoint_id).kind].max_messages_per_call;
        if (max_messages < 2 || endpoints_.at(endpoint_id).health == Health::Unhealthy) return;
        for (const auto& [arrival, id] : destination.held) {
            if (calls_.at(call_id).open_attempts >= max_messages) return;
            const Message& message = messages_.at(id);
            if (is_ready(id, message, now) && may_send(message, endpoint_id, now))
                start_attempt(id, endpoint_id, call_id, now);
        }
    }

    // Returns the first message in arrival order that may be sent, with an endpoint for it. While the backlog
    // takes longer than the target latency of a held message, it returns the message that loses the most
    // utility by waiting until the backlog is gone.
    std::optional<Selection> select_message(
        DestinationId id, const Destination& destination, Time now, bool limit_applies) {
        if (!any_endpoint_available(destination, now, limit_applies)) return std::nullopt;
        const Time backlog = excess_backlog(destination, now);
        std::optional<Selection> best;
        double max_loss = 0.0;
        for (const auto& [arrival, message_id] : destination.held) {
            const Message& message = messages_.at(message_id);
            if (!is_ready(message_id, message, now)) continue;
            const double loss = backlog == Time(0) ? 0.0
                                                   : utility_of(message, now, settings_) -
                                                         utility_of(message, now + backlog, settings_);
            if (best && loss <= max_loss) continue;
            const auto endpoint = select_endpoint(destination, message, now, limit_applies);
            if (!endpoint) continue;
            best = Selection{id, message_id, *endpoint}, max_loss = loss;
            if (backlog == Time(0)) break;
        }
        return best;
    }
    bool any_endpoint_available(const Destination& destination, Time now, bool limit_applies) const {
        return std::any_of(destination.endpoints.begin(), destination.endpoints.end(),
            [&](EndpointId id) { return can_start_call(id, now, limit_applies); });
    }
    // Checks every condition of a call except those that depend on the message.
    bool can_start_call(EndpointId id, Time now, bool limit_applies) const {
        const Endpoint& endpoint = endpoints_.at(id);
        return is_open(id, now) && !(limit_applies && limiter_of(endpoint).limit_tag > now) &&
               has_call_capacity(endpoint);
    }
    // The time until all held messages are sent, if it exceeds the target latency of one of them; else 0.
    Time excess_backlog(const Destination& destination, Time now) const {
        if (destination.success_rate_per_s <= 0) return Time(0);  // no rate is known yet: arrival order
        const Time shortest = destination.target_latencies.least(kNever);
        const double held = static_cast<double>(destination.held.size()) - destination.in_flight;
        const Time backlog = from_seconds(std::max(0.0, held) / drain_rate_per_s(destination, now));
        return backlog > shortest ? backlog : Time(0);
    }

    // Whether the message has no open attempt, its retry pause is over, it is the turn of the message among
    // those with its key, and its deduplication window is open if it may have run.
    bool is_ready(MessageId id, const Message& message, Time now) const {
        if (message.open_attempts > 0 || message.not_before > now || message.deadline <= now) return false;
        if (message.attempts >= settings_.max_attempts) return false;
        if (message.ambiguous_since && now > resend_until(message)) return false;
        return !message.key || keys_.turn_of(*message.key, id, kNever) <= now;
    }

    Time resend_until(const Message& message) const {
        const ClassSettings& class_settings = *message.class_settings;
        if (class_settings.delivery == DeliverySemantics::Retryable) return kNever;
        if (class_settings.delivery == DeliverySemantics::AtMostOnce) return kLongAgo;
        return *message.ambiguous_since + class_settings.dedup_window - kDedupWindowMargin;
    }

    std::optional<EndpointId> select_endpoint(
        const Destination& destination, const Message& message, Time now, bool limit_applies) {
        std::optional<EndpointId> best;
        double min_cost = 0.0;
        for (const EndpointId id : destination.endpoints) {
            if (!can_start_call(id, now, limit_applies) || !may_send(message, id, now)) continue;
            const double cost = endpoint_cost(endpoints_.at(id), now);
            if (!best || cost < min_cost) best = id, min_cost = cost;
        }
        return best;
    }

    // Prefers endpoints with an idle connection and few calls in flight. An endpoint with its own limiter
    // adds its zone cost, where zone costs are set; any other endpoint adds a cost if it is not in the own
    // zone.
    double endpoint_cost(const Endpoint& endpoint, Time now) const {
        double cost = endpoint.in_flight;
        if (!has_idle_connection(endpoint, now)) cost += kNewConnectionCost_calls;
        if (has_own_limiter(endpoint) && endpoint.zone && *endpoint.zone < settings_.zone_costs.size())
            cost += kZoneCostPoint_calls * settings_.zone_costs[*endpoint.zone];
        else if (settings_.zone && endpoint.zone != *settings_.zone)
            cost += kOtherZoneCost_calls;
        if (endpoint.health != Health::Healthy) cost += 1.0;
        return cost;
    }

    // Whether the endpoint is listed as ready, is not disabled and has no retry-after pending.
    bool accepts_calls(EndpointId id, Time now) const {
        const Endpoint& endpoint = endpoints_.at(id);
        return endpoint.condition == Condition::Ready && !disabled_endpoints_.contains(id) &&
               limiter_of(endpoint).retry_after_until <= now;
    }
    // Whether the endpoint also has recovery budget left, if it is not healthy.
    bool is_open(EndpointId id, Time now) const {
        const Endpoint& endpoint = endpoints_.at(id);
        return accepts_calls(id, now) && (endpoint.health == Health::Healthy || endpoint.recovery_tag <= now);
    }

    // A message with a key is no safe probe: it may have to wait for an at-most-once message before it.
    static bool is_safe_probe(const Message& message) {
        return message.class_settings->delivery != DeliverySemantics::AtMostOnce && !message.key;
    }
    // A failing endpoint is probed with at-most-once messages only where no other message can probe it: one
    // at a time, at the rate of the recovery budget. Each call without a response doubles the pause before
    // the next.
    bool may_probe_at_most_once(const Endpoint& endpoint, Time now) const {
        const Destination& destination = destinations_.at(endpoint.destination);
        if (destination.safe_probes > 0) return false;
        if (endpoint.in_flight == 0) return true;
        const int doublings = std::min(endpoint.in_flight - 1, kMaxProbePauseDoublings);
        return now >= endpoint.last_sent_at + default_timeout(destination) * (1 << doublings);
    }
    // At-most-once messages avoid failing endpoints. A repeat of a deduplicated message stays in the
    // deduplication scope of its first attempt.
    bool may_send(const Message& message, EndpointId endpoint_id, Time now) const {
        const ClassSettings& class_settings = *message.class_settings;
        const Endpoint& endpoint = endpoints_.at(endpoint_id);
        const bool fails =
            endpoint.failure_share > kMaxAtMostOnceFailureShare || endpoint.health == Health::Unhealthy;
        if (class_settings.delivery == DeliverySemantics::AtMostOnce && fails &&
            !may_probe_at_most_once(endpoint, now))
            return false;
        if (class_settings.delivery != DeliverySemantics::Deduplicated || !message.ambiguous_since ||
            class_settings.dedup_scope == DedupScope::All)
            return true;
        return message.ambiguous_endpoint == endpoint_id ||
               (class_settings.dedup_scope == DedupScope::Zone &&
                   is_in_zone_of(endpoint, message.ambiguous_endpoint));
    }
    // An endpoint whose zone is not known is not in the zone of any other.
    bool is_in_zone_of(const Endpoint& endpoint, std::optional<EndpointId> other_id) const {
        const auto other = other_id ? endpoints_.find(*other_id) : endpoints_.end();
        if (other == endpoints_.end()) return false;
        return settings_.zones == 0 || (endpoint.zone && endpoint.zone == other->second.zone);
    }

    // Calls that can be cancelled later and calls that must not be repeated get all the time until the
    // deadline.
    Time timeout_for(const Message& message, Time now) const {
        const bool until_deadline =
            settings_.can_cancel || message.class_settings->delivery == DeliverySemantics::AtMostOnce;
        const Time time_left = message.deadline - now;
        return until_deadline ? time_left
                              : std::min(time_left, default_timeout(destinations_.at(message.destination)));
    }
    Time default_timeout(const Destination& destination) const {
        return std::max(from_seconds(kTimeoutTypicalLatencies * typical_latency_s(destination)),
            scaled_duration(kMinTimeout, kMinTimeoutTypicalLatencies));
    }

    Time overtaken_timeout(const Destination& destination) const {
        return std::max(
            from_seconds(kTimeoutTypicalLatencies * typical_latency_s(destination)), kMinOvertakenTimeout);
    }

    // The fixed durations suit latencies of a tenth of a second or more. Where the typical latency over all
    // destinations is lower, they shrink.
    Time scaled_duration(Time duration, double typical_latencies) const {
        if (overall_typical_latency_s_ <= 0) return duration;
        return std::min(duration,
            std::max(kMinScaledDuration, from_seconds(typical_latencies * overall_typical_latency_s_)));
    }

    // Cancels a call past its timeout where its endpoint answered calls sent later, or where degraded
    // endpoints hold calls that others need. A call that must not be repeated is cancelled only where nearly
    // all calls are taken, or as the oldest of those that leave a silent endpoint no room for a probe.
    void cancel_stuck_calls(Time now) {
        degraded_call_count_.reset();
        if (!settings_.can_cancel) return;
        const auto max_calls = static_cast<double>(settings_.max_calls),
                   in_flight = static_cast<double>(calls_.size());
        const bool nearly_full = in_flight > kScarceCallShare * max_calls;
        const bool scarce = nearly_full || degraded_calls() + 1 > kMaxDegradedCallShare * max_calls;
        // The oldest call has the smallest id.
        std::map<EndpointId, std::pair<std::uint64_t, Time>> oldest_newest;
        for (const auto& [id, call] : calls_)
            oldest_newest.try_emplace(call.endpoint, id, call.sent_at).first->second.second = call.sent_at;
        for (auto& [attempt_id, attempt] : attempts_) {
            const Call& call = calls_.at(attempt.call_id);
            const auto found = messages_.find(attempt_id.first);
            if (attempt.cancelled || found == messages_.end()) continue;
            const Endpoint& endpoint = endpoints_.at(call.endpoint);
            const Destination& destination = destinations_.at(endpoint.destination);
            const bool overtaken = nearly_full && call.overtaken;
            const Time timeout = overtaken ? overtaken_timeout(destination) : default_timeout(destination);
            if (now - call.sent_at < timeout) continue;
            const auto& [oldest, newest] = oldest_newest.at(call.endpoint);
            const bool holds_scarce_call = scarce && endpoint.health != Health::Healthy;
            const bool frees_probe =
                holds_scarce_call && oldest == attempt.call_id && now - newest >= timeout;
            if (!nearly_full && !frees_probe && !may_repeat(found->second, call, now)) continue;
            const bool others_answered = endpoint.last_success_at > call.sent_at + timeout;
            if (!overtaken && !others_answered && !holds_scarce_call) continue;
            attempt.cancelled = true;
            actions_.emplace_back(CancelAttempt{attempt_id.first, attempt_id.second});
        }
    }
    bool may_repeat(const Message& message, const Call& call, Time now) const {
        const ClassSettings& class_settings = *message.class_settings;
        if (message.attempts >= settings_.max_attempts ||
            class_settings.delivery == DeliverySemantics::AtMostOnce)
            return false;
        if (class_settings.delivery == DeliverySemantics::Retryable) return true;
        return now + kCancelAndRepeatTime <
               std::min(call.sent_at, message.ambiguous_since.value_or(call.sent_at)) +
                   class_settings.dedup_window;
    }

    // The connection used last is taken first. It is also the one that closes last.
    static bool has_idle_connection(const Endpoint& endpoint, Time now) {
        return !endpoint.idle_connections.empty() && endpoint.idle_connections.back() > now;
    }
    static void take_connection(Endpoint& endpoint, Time now) {
        if (has_idle_connection(endpoint, now)) return endpoint.idle_connections.pop_back();
        endpoint.idle_connections.clear();
    }
    // Idle connections count against the connection limit of an endpoint. They are closed where they would
    // seldom be used, or where a live endpoint of the same kind has refused a connect.
    void close_idle_connections(Time now) {
        for (const EndpointId id : std::exchange(freed_endpoints_, {})) {
            Endpoint& endpoint = endpoints_.at(id);
            if (endpoint.idle_connections.empty() ||
                (endpoint.frequently_used &&
                    now - connect_refused_at_[endpoint.kind] > kRefusedConnectMemory))
                continue;
            endpoint.idle_connections.clear();
            actions_.emplace_back(CloseIdle{id});
        }
    }

    bool has_own_limiter(const Endpoint& endpoint) const {
        return settings_.kinds[endpoint.kind].limits_per_endpoint;
    }
    RateLimiter& limiter_of(Endpoint& endpoint) {
        return has_own_limiter(endpoint) ? endpoint.own_limiter
                                         : destinations_.at(endpoint.destination).shared_limiter;
    }
    const RateLimiter& limiter_of(const Endpoint& endpoint) const {
        return has_own_limiter(endpoint) ? endpoint.own_limiter
                                         : destinations_.at(endpoint.destination).shared_limiter;
    }

    // l of mClock: one fair share of the limit times the learned share. Without a known limit it is unbounded
    // (0) until the first refusal; from then on the estimated capacity replaces the limit.
    double own_limit_per_s(const RateLimiter& limiter, const Destination& destination) const {
        if (limiter.share == 0.0) return limiter.known_limit_per_s / sender_count() * initial_share();
        return capacity_per_s(limiter, destination) / sender_count() * limiter.share;
    }
    double initial_share() const {
        return std::min(max_share(), 1.0 + kInitialExtraFairShares / sender_count());
    }
    double max_share() const { return std::min(sender_count(), kMaxFairShares); }
    // Without a known limit the share applies to the capacity estimated from successes. It must be able to
    // rise even with one sender, or the estimate could not.
    double max_share(const RateLimiter& limiter) const {
        return limiter.known_limit_per_s > 0 ? max_share() : kMaxFairShares;
    }
    double exponent_base() const { return std::max(2.0, sender_count()); }
    double doubling_time_s(const RateLimiter& limiter) const {
        return seconds(kShareDoublingTime) * std::max(1, limiter.refusals);
    }
    // 1/l, or the time in which a lowered l, which doubles every kShareDoublingTime up to its ceiling, allows
    // one send.
    Time limit_gap(const RateLimiter& limiter, const Destination& destination) const {
        const double own_limit = own_limit_per_s(limiter, destination);
        if (own_limit <= 0 || limiter.share == 0.0 || limiter.share >= limiter.share_ceiling)
            return gap_of(own_limit);
        const double doubling_s = doubling_time_s(limiter);
        const double rising_s = doubling_s * std::log2(1.0 + std::log(2.0) / (doubling_s * own_limit));
        return std::max(gap_of(own_limit / limiter.share * limiter.share_ceiling), from_seconds(rising_s));
    }
    double capacity_per_s(const RateLimiter& limiter, const Destination& destination) const {
        if (limiter.known_limit_per_s > 0) return limiter.known_limit_per_s;
        return std::max(kMinCapacity_per_s, destination.peak_success_rate_per_s * sender_count());
    }
    // The other senders as a share of all senders.
    double other_senders_share() const { return 1.0 - 1.0 / sender_count(); }
    double sender_count() const { return static_cast<double>(settings_.instance_count); }
    double typical_latency_s(const Destination& destination) const {
        const double latency_s =
            destination.typical_latency_s > 0 ? destination.typical_latency_s : overall_typical_latency_s_;
        return std::max(
            latency_s > 0 ? latency_s : seconds(kInitialTypicalLatency), seconds(kMinTypicalLatency));
    }

    void record_outcome(
        const Call& call, Outcome outcome, const std::optional<LoadReport>& report, Time rtt, Time now) {
        const EndpointId id = call.endpoint;
        const Time sent_at = call.sent_at;
        Endpoint& endpoint = endpoints_.at(id);
        RateLimiter& limiter = limiter_of(endpoint);
        if (report && report->limit_per_s > 0) limiter.known_limit_per_s = report->limit_per_s;
        // This sender cancelled the call, which says nothing new about the endpoint.
        if (outcome == Outcome::Cancelled) return;
        if (outcome == Outcome::ConnectionLost) endpoint.connection_lost_at = now;
        if (outcome == Outcome::MalformedResponse || outcome == Outcome::ConnectionLost)
            return record_malformed_response(endpoint, now);
        if (outcome == Outcome::Delivered) {
            // The endpoint is alive and refused a connect while this call was in flight: its connection limit
            // is used up.
            if (sent_at < endpoint.connect_refused_at) connect_refused_at_[endpoint.kind] = now;
            for (auto& [other_id, other] : calls_)
                if (other.endpoint == id && other.sent_at < sent_at) other.overtaken = true;
            return record_success(id, report ? report->remaining_share : 0.0, rtt, now);
        }
        const bool closed = outcome == Outcome::Rejected &&
                            (limiter.retry_after_until > now + kMaxRateLimitWait ||
                                (report && report->remaining_share > kMaxRemainingShareAtLimit));
        // A closed or unhealthy endpoint refuses for another reason than its limit.
        if (outcome == Outcome::Rejected && !closed && endpoint.health != Health::Unhealthy)
            lower_share(limiter, endpoint, now);
        const bool connect_refused =
            outcome == Outcome::ConnectFailed && now - sent_at < kMaxRefusedConnectTime;
        if (connect_refused) endpoint.connect_refused_at = now;
        // A lost connection with no success since, then a refused connect: the process has died.
        const bool process_died = connect_refused && endpoint.connection_lost_at > endpoint.last_success_at;
        if (process_died) endpoint.failure_share = 1.0;
        if (!process_died && ((outcome == Outcome::Rejected && !closed) || connect_refused)) {
            if (report && report->limit_per_s > 0) return;  // a limit is used up: no outage
            // Refusals of calls that were sent before the last refusal arrived add no information.
            if (sent_at <= endpoint.last_refusal_at) return;
            endpoint.last_refusal_at = now;
            if (++endpoint.refusals_in_row < kClosedAfterRefusals) return;
            if (outcome == Outcome::Rejected) undo_refusals(limiter, now);
        }
        endpoint.failure_share += outcome_weight(endpoint, now) * (1.0 - endpoint.failure_share);
        endpoint.failure_seen = true;
        // Such a long retry-after closes all endpoints that share the limiter.
        if (limiter.retry_after_until > now + kMaxRateLimitWait)
            for (const EndpointId other : destinations_.at(endpoint.destination).endpoints)
                if (&limiter_of(endpoints_.at(other)) == &limiter) mark_unhealthy(endpoints_.at(other), now);
        if (endpoint.health == Health::Recovering || endpoint.failure_share > kMaxHealthyFailureShare)
            mark_unhealthy(endpoint, now);
    }

    // The endpoint took the call: this is no sign of an outage, unless there are hardly any other outcomes.
    void record_malformed_response(Endpoint& endpoint, Time now) {
        endpoint.failure_share += kMalformedResponseWeight * (1.0 - endpoint.failure_share);
        endpoint.last_outcome_at = now;
        if (endpoint.failure_share <= kMaxHealthyFailureShare || endpoint.health != Health::Healthy) return;
        endpoint.failure_seen = true;
        mark_unhealthy(endpoint, now);
    }

    // The weight of the newest outcome in the failure share. It is larger where the outcomes before it are
    // old.
    double outcome_weight(Endpoint& endpoint, Time now) {
        const double age_s = seconds(now - std::exchange(endpoint.last_outcome_at, now));
        return std::max(kMinOutcomeWeight, 1.0 - std::exp(-age_s / kOutcomeMemory_s));
    }

    void lower_share(RateLimiter& limiter, const Endpoint& endpoint, Time now) {
        const Destination& destination = destinations_.at(endpoint.destination);
        raise_share(limiter, now);
        if (limiter.refusals == 0)
            limiter.share_before_refusals = limiter.share,
            limiter.ceiling_before_refusals = limiter.share_ceiling;
        const double share_before = limiter.share > 0 ? limiter.share : initial_share();
        const double factor =
            std::max(kMinRefusalFactor, std::pow(exponent_base(), kRefusalExponent * ++limiter.refusals));
        limiter.share_ceiling = kCeilingPerRefusedShare * share_before;
        limiter.share = std::max(std::pow(exponent_base(), kMinShareExponent), share_before * factor);
        if ((has_own_limiter(endpoint) ? endpoint.in_flight : destination.in_flight) > 1) return;
        const double spread = std::uniform_real_distribution<double>(0.5, 1.5)(random_);
        const double gap_s = seconds(limit_gap(limiter, destination));
        // All senders receive the same end of a retry-after, so the random gap starts there.
        const Time start = sender_count() > 1 ? std::max(now, limiter.retry_after_until) : now;
        limiter.limit_tag = std::max(limiter.limit_tag, start + from_seconds(spread * gap_s));
    }
    // Restores the share from before refusals that turned out to come from an outage.
    static void undo_refusals(RateLimiter& limiter, Time now) {
        if (limiter.refusals == 0) return;
        limiter.share = limiter.share_before_refusals,
        limiter.share_ceiling = limiter.ceiling_before_refusals, limiter.refusals = 0;
        limiter.limit_tag = std::min(limiter.limit_tag, now);
    }
    void raise_share(RateLimiter& limiter, Time now) {
        const double elapsed_s = std::min(100.0, seconds(now - std::exchange(limiter.share_changed_at, now)));
        if (limiter.share == 0.0) return;
        if (limiter.share < limiter.share_ceiling)
            limiter.share = std::min(
                limiter.share_ceiling, limiter.share * std::exp2(elapsed_s / doubling_time_s(limiter)));
        else if (limiter.share < 1.0)
            limiter.share =
                std::min(1.0, limiter.share * std::exp2(elapsed_s / seconds(kShareDoublingTimeAboveCeiling)));
    }

    void record_success(EndpointId id, double remaining_share, Time rtt, Time now) {
        Endpoint& endpoint = endpoints_.at(id);
        Destination& destination = destinations_.at(endpoint.destination);
        RateLimiter& limiter = limiter_of(endpoint);
        raise_share(limiter, now);
        limiter.share = std::min(
            max_share(limiter), limiter.share * kSuccessFactor *
                                    std::pow(sender_count(), remaining_share * kRemainingShareExponent));
        limiter.refusals = 0;
        if (rtt > Time(0)) {
            update_typical_latency(destination.typical_latency_s, seconds(rtt));
            update_typical_latency(overall_typical_latency_s_, seconds(rtt));
        }
        if (destination.success_rate_per_s <= 0) destination.first_success_at = now;
        destination.success_rate_per_s =
            current_success_rate_per_s(destination, now) + 1.0 / kSuccessRateMemory_s;
        destination.peak_success_rate_per_s *=
            std::exp(-seconds(now - destination.last_success_at) / seconds(kLearnedStateLifetime));
        destination.peak_success_rate_per_s =
            std::max(destination.peak_success_rate_per_s, destination.success_rate_per_s);
        destination.last_success_at = now;
        endpoint.failure_share *= 1.0 - outcome_weight(endpoint, now);
        endpoint.refusals_in_row = 0;
        endpoint.last_success_at = now;
        update_recovery(endpoint, now);
    }

    void update_typical_latency(double& latency_s, double sample_s) {
        if (latency_s <= 0) latency_s = sample_s;
        latency_s +=
            kTypicalLatencyWeight * (std::min(sample_s, kMaxSampleTypicalLatencies * latency_s) - latency_s);
    }

    void mark_unhealthy(Endpoint& endpoint, Time now) {
        if (endpoint.health == Health::Healthy) endpoint.informed_share = 0.0;
        if (endpoint.health == Health::Healthy || endpoint.last_success_at > endpoint.unhealthy_since)
            endpoint.unhealthy_since = now;
        endpoint.health = Health::Unhealthy;
        if (const Time opens_at = limiter_of(endpoint).retry_after_until;
            opens_at > now + kMaxRateLimitWait) {
            endpoint.health = Health::Recovering;
            endpoint.recovering_since = endpoint.recovery_tag = opens_at;
        }
        advance_recovery_tag(endpoint, now);
    }

    void start_recovery(Endpoint& endpoint, Time now) {
        endpoint.health = Health::Recovering;
        endpoint.failure_seen = true;
        endpoint.failure_share = 0.0;
        endpoint.refusals_in_row = 0;
        endpoint.last_success_at = kLongAgo;
        endpoint.unhealthy_since = endpoint.last_outcome_at = endpoint.recovering_since =
            endpoint.recovery_tag = now;
        advance_recovery_tag(endpoint, now);
    }

    // A silence that a success ended before any failure was seen was no outage. After an outage the endpoint
    // goes through a slow start.
    void update_recovery(Endpoint& endpoint, Time now) {
        if (endpoint.health == Health::Unhealthy) {
            endpoint.health = endpoint.failure_seen ? Health::Recovering : Health::Healthy;
            endpoint.recovering_since = now;
        }
        if (endpoint.health == Health::Recovering &&
            now - endpoint.recovering_since >= settings_.warm_up_time)
            endpoint.health = Health::Healthy;
        if (endpoint.health == Health::Healthy) endpoint.failure_seen = false;
    }

    // Advances the limit tag of the recovery budget. The budget is the own share of overload_multiple times
    // the present capacity, which rises linearly from cold_capacity_share after the first success or the end
    // of a retry-after. The steps are random, so that the senders do not return at the same time.
    void advance_recovery_tag(Endpoint& endpoint, Time now) {
        const Destination& destination = destinations_.at(endpoint.destination);
        double capacity = capacity_per_s(limiter_of(endpoint), destination);
        if (limiter_of(endpoint).known_limit_per_s <= 0) capacity *= kEstimatedCapacityUse;
        if (!has_own_limiter(endpoint))
            capacity /= static_cast<double>(std::max<std::size_t>(1, destination.endpoints.size()));
        const Time start = std::max(endpoint.recovery_tag, now);
        // Only senders that have called since the outage began know of it. Once the endpoint has recovered,
        // no further sender learns of it.
        if (endpoint.last_success_at <= endpoint.unhealthy_since) {
            const Time outage_time = start - (endpoint.last_success_at + endpoint.unhealthy_since) / 2;
            const double informed = 1.0 - std::exp(-destination.arrival_rate_per_s * seconds(outage_time));
            endpoint.informed_share = std::max({kMinInformedShare, endpoint.informed_share, informed});
        }
        const double rate_per_s = kRecoveryBudgetUse * settings_.overload_multiple *
                                  settings_.cold_capacity_share * capacity /
                                  (sender_count() * endpoint.informed_share);
        const bool responds =
            endpoint.health == Health::Recovering && endpoint.last_success_at > endpoint.unhealthy_since;
        const double max_step_s =
            responds ? 1e6
                     : seconds(settings_.overload_window) * sender_count() / kMinProbesPerOverloadWindow;
        const double step_s = std::uniform_real_distribution<double>(0.5, 1.5)(random_) *
                              std::min(1.0 / rate_per_s, max_step_s);
        // Without an outcome for one and a half warm-up times, the endpoint may well have recovered.
        const Time recovers_at = endpoint.health == Health::Recovering
                                     ? endpoint.recovering_since
                                     : endpoint.last_outcome_at + 3 * settings_.warm_up_time / 2;
        double gap_s = step_s;
        if (const double warm_up_s = seconds(settings_.warm_up_time);
            warm_up_s > 0 && settings_.cold_capacity_share < 1) {
            const double rise_per_s = (1.0 / settings_.cold_capacity_share - 1.0) / warm_up_s;
            const double flat_s = std::clamp(seconds(recovers_at - start), 0.0, step_s);
            const double since_recovery_s = std::max(0.0, seconds(start - recovers_at));
            const double due_s =
                since_recovery_s + rise_per_s * since_recovery_s * since_recovery_s / 2.0 + step_s - flat_s;
            gap_s =
                flat_s + (std::sqrt(1.0 + 2.0 * rise_per_s * due_s) - 1.0) / rise_per_s - since_recovery_s;
        }
        const Time min_gap =
            responds ? kMinRecoveringGap : scaled_duration(kMinProbeGap, kMinProbeGapTypicalLatencies);
        endpoint.recovery_tag = start + std::max(min_gap, from_seconds(gap_s));
    }

    // Sums the waiting times since the last success over the calls in flight, in typical latencies.
    void detect_silence(Time now) {
        std::map<EndpointId, double> waiting;
        for (const auto& [id, call] : calls_) {
            const Endpoint& endpoint = endpoints_.at(call.endpoint);
            if (call.overtaken) continue;  // only this call hangs
            waiting[call.endpoint] += seconds(now - std::max(call.sent_at, endpoint.last_success_at)) /
                                      typical_latency_s(destinations_.at(endpoint.destination));
        }
        for (const auto& [id, sum] : waiting) {
            Endpoint& endpoint = endpoints_.at(id);
            if (sum > kMaxSilenceTypicalLatencies && endpoint.health == Health::Healthy)
                mark_unhealthy(endpoint, now);
        }
    }

    bool is_degraded(const Endpoint& endpoint, const Destination& destination) const {
        return has_own_limiter(endpoint) ? endpoint.health != Health::Healthy : is_degraded(destination);
    }
    // A destination is degraded while one of its endpoints is silent, failing or recovering.
    bool is_degraded(const Destination& destination) const {
        return std::any_of(destination.endpoints.begin(), destination.endpoints.end(),
            [this](EndpointId id) { return endpoints_.at(id).health != Health::Healthy; });
    }

    void settle_attempt(const OutcomeEvent& event, const Call& call, Time now) {
        const bool never_ran = event.outcome == Outcome::Rejected ||
                               event.outcome == Outcome::ConnectFailed || event.outcome == Outcome::NotSent ||
                               event.outcome == Outcome::Withheld;
        const auto found = messages_.find(event.message);
        if (found == messages_.end()) return;
        Message& message = found->second;
        --message.open_attempts;
        if (event.terminal || event.outcome == Outcome::Delivered) return remove_message(event.message, now);
        if (event.outcome == Outcome::Withheld) --message.attempts;
        message.not_before =
            now + (event.outcome == Outcome::Withheld ? kInitialRetryPause : retry_pause(message, now));
        if (!never_ran && (!message.ambiguous_since || call.sent_at < *message.ambiguous_since)) {
            message.ambiguous_since = call.sent_at;
            set_ambiguous_endpoint(message, call.endpoint);
        }
        update_due_times(event.message, message, now);
    }

    // The pause doubles with each attempt. From half of the allowed attempts on, those left are spread over
    // the time left: otherwise a long outage would use them up before its end.
    Time retry_pause(const Message& message, Time now) const {
        const Time doubled = kInitialRetryPause *
                             (1 << std::min<std::uint32_t>(message.attempts - 1, kMaxRetryPauseDoublings));
        if (message.attempts * 2 < settings_.max_attempts || message.attempts >= settings_.max_attempts)
            return doubled;
        const auto attempts_left = static_cast<Time::rep>(settings_.max_attempts - message.attempts);
        return std::max(doubled, (message.deadline - now) / (attempts_left + 1));
    }

    void settle_key(std::uint64_t key, const OutcomeEvent& event, Time now) {
        const bool may_run_on = event.outcome == Outcome::TimedOut ||
                                event.outcome == Outcome::ConnectionLost ||
                                event.outcome == Outcome::Cancelled;
        if (may_run_on) keys_.rest(key, event.message, now + settings_.ambiguous_settle_time);
        keys_.end_attempt(key, now);
    }

    // Ends the messages whose deadline has passed or which may have no further attempt.
    void end_overdue(Time now) {
        for (const MessageId id : message_ends_.due(now)) end_message(id, now);
    }
    void update_due_times(MessageId id, const Message& message, Time now) {
        message_ends_.set(id, ends_at(message));
        message.open_attempts == 0 && message.not_before > now ? retry_pauses_.set(id, message.not_before)
                                                               : retry_pauses_.erase(id);
    }
    void set_ambiguous_endpoint(Message& message, std::optional<EndpointId> endpoint) {
        if (message.ambiguous_endpoint && --ambiguous_messages_.at(*message.ambiguous_endpoint) == 0)
            ambiguous_messages_.erase(*message.ambiguous_endpoint);
        message.ambiguous_endpoint = endpoint;
        if (endpoint) ++ambiguous_messages_[*endpoint];
    }
    Time ends_at(const Message& message) const {
        if (message.open_attempts > 0) return message.deadline;
        if (message.attempts >= settings_.max_attempts) return kLongAgo;
        if (message.ambiguous_since) return std::min(message.deadline, resend_until(message));
        return message.deadline;
    }

    bool may_refuse(const Message& message) const {
        if (message.open_attempts == 0 && !message.ambiguous_since) return true;
        const ClassSettings& class_settings = *message.class_settings;
        return class_settings.delivery == DeliverySemantics::Retryable ||
               (class_settings.delivery == DeliverySemantics::Deduplicated &&
                   class_settings.dedup_scope == DedupScope::All);
    }
    void end_message(MessageId id, Time now) {
        // At the deadline the client has no time left for a retry, so a refusal with a retry-after would be
        // useless.
        if (messages_.at(id).deadline > now && may_refuse(messages_.at(id)))
            actions_.emplace_back(Refuse{id, retry_after_for(messages_.at(id), now)});
        else
            actions_.emplace_back(Fail{id});
        if (const auto key = messages_.at(id).key) keys_.rest(*key, id, now + kEndNoticeTime);
        remove_message(id, now);
    }
    // The retry-after of a refusal: the time until the outage or the backlog is likely to be over, but short
    // enough to leave time for the delivery.
    Time retry_after_for(const Message& message, Time now) const {
        const Destination& destination = destinations_.at(message.destination);
        const double backlog_s =
            static_cast<double>(destination.held.size()) / drain_rate_per_s(destination, now);
        const Time delay = std::max(expected_stall(destination, now), from_seconds(backlog_s));
        return std::min(delay, (message.deadline - now) / 2);
    }
    void remove_message(MessageId id, Time now) {
        const auto found = messages_.find(id);
        if (found == messages_.end()) return;
        Destination& destination = destinations_.at(found->second.destination);
        destination.held.erase(found->second.arrival_number);
        destination.target_latencies.remove(found->second.class_settings->target_latency);
        message_ends_.erase(id), retry_pauses_.erase(id);
        set_ambiguous_endpoint(found->second, std::nullopt);
        if (is_safe_probe(found->second)) --destination.safe_probes;
        if (destination.held.empty()) destination.share_tag = queue_.deactivate(found->second.destination);
        if (const auto key = found->second.key) keys_.remove(*key, id, now);
        messages_.erase(found);
    }

    bool over_quota(std::size_t tenant, Time accepted_at) {
        return quotas_.is_over(tenant, settings_.tenants[tenant].quota_per_s / sender_count(), accepted_at);
    }

    // While too many messages are held, ends the one with the lowest utility at its expected delivery, the
    // latest of equals. Only messages that cannot have run are ended. A destination that is down thus cannot
    // take up the space of the others.
    void limit_held_messages(Time now) {
        const auto max_messages = static_cast<std::size_t>(
            static_cast<double>(settings_.max_held_messages) * (1.0 - kFreeHeldShare));
        while (messages_.size() > std::max<std::size_t>(1, max_messages)) {
            std::optional<MessageId> lowest_message;
            std::pair lowest_rank{0.0, 0.0};
            queue_.for_each([&](DestinationId destination_id) {
                const Destination& destination = destinations_.at(destination_id);
                Time expected_at = now + expected_stall(destination, now);
                for (const auto& [arrival, id] : destination.held) {
                    expected_at += gap_of(drain_rate_per_s(destination, now));
                    const Message& message = messages_.at(id);
                    if (message.open_attempts > 0 || message.ambiguous_since) continue;
                    const std::pair rank{
                        utility_of(message, expected_at, settings_), -static_cast<double>(arrival)};
                    if (!lowest_message || rank < lowest_rank) lowest_message = id, lowest_rank = rank;
                }
            });
            if (!lowest_message) return;
            end_message(*lowest_message, now);
        }
    }
    // A degraded destination is expected to stay so for as long again as it has been without a success.
    Time expected_stall(const Destination& destination, Time now) const {
        if (!is_degraded(destination)) return Time(0);
        return std::min(kMaxExpectedStall, now - destination.last_success_at);
    }
    double drain_rate_per_s(const Destination& destination, Time now) const {
        // Shortly after the first success the success rate covers only a part of its memory.
        const double memory_filled =
            1.0 -
            std::exp(-std::max(1.0, seconds(now - destination.first_success_at)) / kSuccessRateMemory_s);
        return std::max(kMinDrainRate_per_s / sender_count(),
            current_success_rate_per_s(destination, now) / memory_filled);
    }
    double current_success_rate_per_s(const Destination& destination, Time now) const {
        if (destination.success_rate_per_s <= 0) return 0.0;
        return destination.success_rate_per_s *
               std::exp(-seconds(now - destination.last_success_at) / kSuccessRateMemory_s);
    }

    void set_timer(Time now) {
        Time next = watch_at_;
        if (!calls_.empty()) next = std::min(next, now + scaled_duration(kSilenceCheckInterval, 1.0));
        for (const MessageId id : retry_pauses_.due(now)) retry_pauses_.erase(id);
        for (const auto& due : {message_ends_.earliest(), retry_pauses_.earliest()})
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
    // The earliest time after now at which a tag, a retry-after or a recovery budget of the destination is
    // due.
    Time next_due(const Destination& destination, Time now) {
        Time next = kNever;
        if (settings_.reservation_per_s > 0 && destination.reservation_tag > now)
            next = destination.reservation_tag;
        for (const EndpointId id : destination.endpoints) {
            Endpoint& endpoint = endpoints_.at(id);
            const RateLimiter& limiter = limiter_of(endpoint);
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
    ShareQueue queue_;  // destinations that hold messages, by P
    std::map<EndpointId, Endpoint> endpoints_;
    std::set<DestinationId> destinations_without_endpoints_;
    std::map<MessageId, Message> messages_;
    TimeIndex<MessageId> message_ends_, retry_pauses_;  // by the end of the message and of its retry pause
    std::map<EndpointId, std::size_t> ambiguous_messages_;  // how many messages may have run there
    KeySequencer keys_;
    std::map<std::pair<MessageId, std::uint32_t>, Attempt> attempts_;
    std::map<std::uint64_t, Call> calls_;
    TenantQuotas quotas_;
    std::vector<Time> connect_refused_at_;     // last refused connect, by kind of endpoint
    std::set<EndpointId> freed_endpoints_;     // a call to them ended in this batch
    std::set<EndpointId> removed_endpoints_;   // no longer listed, not yet released
    std::set<EndpointId> disabled_endpoints_;  // listed or not
    std::vector<Action> actions_;
    std::uint64_t arrival_count_ = 0, call_count_ = 0;
    double overall_typical_latency_s_ = 0.0;
    mutable std::optional<int> degraded_call_count_;  // cached until calls or health change
    bool by_reservation_ = false;
    Time watch_at_ = kNever;
    int watch_failures_ = 0;
    Time timer_at_{kLongAgo};
    Time next_cleanup_at_{kLongAgo};
};

Sender::Sender(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Sender::~Sender() = default;
Sender::Sender(Sender&&) noexcept = default;
Sender& Sender::operator=(Sender&&) noexcept = default;

void Sender::observe(const Event& event, Time now) {
    std::visit([&](const auto& concrete_event) { impl_->handle(concrete_event, now); }, event);
}
std::vector<LearnedState> Sender::learned_state(Time now) const { return impl_->learned_state(now); }
std::vector<KeyRestEvent> Sender::resting_keys(Time now) const { return impl_->resting_keys(now); }
std::optional<std::uint64_t> Sender::key_of_attempt(MessageId message, std::uint32_t attempt) const {
    return impl_->key_of_attempt(message, attempt);
}
std::vector<Action> Sender::decide(Time now) { return impl_->decide(now); }
bool Sender::may_start(MessageId message, std::uint32_t attempt, Time now) const {
    return impl_->may_start(message, attempt, now);
}

}  // namespace cometspoke
