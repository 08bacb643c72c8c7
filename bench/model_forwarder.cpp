#include "model_forwarder.hpp"

#include <algorithm>

namespace cometspoke::bench {

MessageCounts& MessageCounts::operator+=(const MessageCounts& other) {
    offered += other.offered;
    sent += other.sent;
    served += other.served;
    refused += other.refused;
    failed += other.failed;
    attempts += other.attempts;
    attempts_to_down += other.attempts_to_down;
    ended_twice += other.ended_twice;
    return *this;
}

IterationCosts& IterationCosts::operator+=(const IterationCosts& other) {
    iterations += other.iterations;
    total += other.total;
    worst = std::max(worst, other.worst);
    return *this;
}

ModelForwarder::ModelForwarder(Settings settings, std::uint64_t seed, ModelEndpoints& endpoints)
    : sender_(std::move(settings), seed), endpoints_(endpoints) {}

void ModelForwarder::add(Event event) {
    if (const auto* message = std::get_if<MessageEvent>(&event)) {
        ++counts_.offered;
        held_.insert(message->message);
    }
    events_.push_back(std::move(event));
}

Time ModelForwarder::next_due() const {
    return pending_outcomes_.empty() ? timer_at_ : std::min(timer_at_, pending_outcomes_.begin()->first);
}

void ModelForwarder::run_iteration(Time now) {
    add_due_events(now);
    const auto start = std::chrono::steady_clock::now();
    for (const Event& event : events_) sender_.observe(event, now);
    const std::vector<Action> actions = sender_.decide(now);
    const WallTime cost = std::chrono::steady_clock::now() - start;
    ++costs_.iterations;
    costs_.total += cost;
    costs_.worst = std::max(costs_.worst, cost);
    events_.clear();
    for (const Action& action : actions) execute(action, now);
}

bool ModelForwarder::adds_up() const {
    const std::uint64_t ended = counts_.served + counts_.refused + counts_.failed;
    return counts_.ended_twice == 0 && counts_.offered == ended + held_.size();
}

void ModelForwarder::add_due_events(Time now) {
    while (!pending_outcomes_.empty() && pending_outcomes_.begin()->first <= now) {
        const PendingOutcome& pending = pending_outcomes_.begin()->second;
        if (pending.event.outcome == Outcome::Delivered) end_message(pending.event.message, counts_.served);
        events_.emplace_back(pending.event);
        pending_outcomes_.erase(pending_outcomes_.begin());
    }
    if (timer_at_ > now) return;
    timer_at_ = kNever;
    events_.emplace_back(TimerFired{});
}

void ModelForwarder::execute(const Action& action, Time now) {
    if (const auto* send = std::get_if<Send>(&action)) {
        start_attempt(*send, now);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        cancel_attempt(*cancel, now);
    } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
        end_message(refuse->message, counts_.refused);
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
        end_message(fail->message, counts_.failed);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
        timer_at_ = now + timer->delay;
    }
}

void ModelForwarder::start_attempt(const Send& send, Time now) {
    const std::uint32_t attempt = next_attempts_[send.message]++;
    if (attempt == 0) ++counts_.sent;
    ++counts_.attempts;
    if (endpoints_.is_down(send.endpoint, now)) ++counts_.attempts_to_down;
    const CallResult result = endpoints_.call(send.endpoint, now, send.timeout);
    PendingOutcome pending;
    pending.started_at = now;
    pending.event.message = send.message;
    pending.event.endpoint = send.endpoint;
    pending.event.attempt = attempt;
    pending.event.outcome = result.outcome;
    pending.event.terminal = result.outcome == Outcome::Delivered;
    pending.event.rtt = result.duration;
    pending.event.report = result.report;
    pending_outcomes_.emplace(now + result.duration, pending);
}

void ModelForwarder::cancel_attempt(const CancelAttempt& cancel, Time now) {
    const auto found =
        std::find_if(pending_outcomes_.begin(), pending_outcomes_.end(), [&](const auto& entry) {
            return entry.second.event.message == cancel.message &&
                   entry.second.event.attempt == cancel.attempt;
        });
    if (found == pending_outcomes_.end()) return;
    PendingOutcome pending = found->second;
    pending_outcomes_.erase(found);
    pending.event.outcome = Outcome::Cancelled;
    pending.event.terminal = false;
    pending.event.rtt = now - pending.started_at;
    pending.event.report.reset();
    pending_outcomes_.emplace(now, pending);
}

void ModelForwarder::end_message(MessageId message, std::uint64_t& count) {
    if (held_.erase(message) == 0) {
        ++counts_.ended_twice;
        return;
    }
    ++count;
    next_attempts_.erase(message);
}

}  // namespace cometspoke::bench
