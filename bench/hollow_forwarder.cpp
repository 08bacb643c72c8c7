#include "hollow_forwarder.hpp"

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

TurnCosts& TurnCosts::operator+=(const TurnCosts& other) {
    turns += other.turns;
    total += other.total;
    worst = std::max(worst, other.worst);
    return *this;
}

HollowForwarder::HollowForwarder(Settings settings, std::uint64_t seed, EndpointFarm& farm)
    : sender_(std::move(settings), seed), farm_(farm) {}

void HollowForwarder::add(Event event) {
    if (const auto* message = std::get_if<MessageEvent>(&event)) {
        ++counts_.offered;
        held_.insert(message->message);
    }
    batch_.push_back(std::move(event));
}

Time HollowForwarder::next_due() const {
    return pending_.empty() ? timer_at_ : std::min(timer_at_, pending_.begin()->first);
}

void HollowForwarder::turn(Time now) {
    add_due(now);
    const auto start = std::chrono::steady_clock::now();
    for (const Event& event : batch_) sender_.observe(event, now);
    const std::vector<Action> actions = sender_.decide(now);
    const WallTime cost = std::chrono::steady_clock::now() - start;
    ++costs_.turns;
    costs_.total += cost;
    costs_.worst = std::max(costs_.worst, cost);
    batch_.clear();
    for (const Action& action : actions) carry_out(action, now);
}

bool HollowForwarder::adds_up() const {
    const std::uint64_t ended = counts_.served + counts_.refused + counts_.failed;
    return counts_.ended_twice == 0 && counts_.offered == ended + held_.size();
}

void HollowForwarder::add_due(Time now) {
    while (!pending_.empty() && pending_.begin()->first <= now) {
        const PendingOutcome& pending = pending_.begin()->second;
        if (pending.event.outcome == Outcome::Delivered) end(pending.event.message, counts_.served);
        batch_.emplace_back(pending.event);
        pending_.erase(pending_.begin());
    }
    if (timer_at_ > now) return;
    timer_at_ = kNever;
    batch_.emplace_back(TimerFired{});
}

void HollowForwarder::carry_out(const Action& action, Time now) {
    if (const auto* send = std::get_if<Send>(&action)) {
        begin(*send, now);
    } else if (const auto* dropped = std::get_if<CancelAttempt>(&action)) {
        cancel(*dropped, now);
    } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
        end(refuse->message, counts_.refused);
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
        end(fail->message, counts_.failed);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
        timer_at_ = now + timer->delay;
    }
}

void HollowForwarder::begin(const Send& send, Time now) {
    const std::uint32_t attempt = attempts_[send.message]++;
    if (attempt == 0) ++counts_.sent;
    ++counts_.attempts;
    if (farm_.is_down(send.endpoint, now)) ++counts_.attempts_to_down;
    const Reply reply = farm_.call(send.endpoint, now, send.timeout);
    PendingOutcome pending;
    pending.begun = now;
    pending.event.message = send.message;
    pending.event.endpoint = send.endpoint;
    pending.event.attempt = attempt;
    pending.event.outcome = reply.outcome;
    pending.event.terminal = reply.outcome == Outcome::Delivered;
    pending.event.rtt = reply.after;
    pending.event.report = reply.report;
    pending_.emplace(now + reply.after, pending);
}

void HollowForwarder::cancel(const CancelAttempt& cancel, Time now) {
    const auto found = std::find_if(pending_.begin(), pending_.end(), [&](const auto& entry) {
        return entry.second.event.message == cancel.message && entry.second.event.attempt == cancel.attempt;
    });
    if (found == pending_.end()) return;
    PendingOutcome pending = found->second;
    pending_.erase(found);
    pending.event.outcome = Outcome::Cancelled;
    pending.event.terminal = false;
    pending.event.rtt = now - pending.begun;
    pending.event.report.reset();
    pending_.emplace(now, pending);
}

void HollowForwarder::end(MessageId message, std::uint64_t& count) {
    if (held_.erase(message) == 0) {
        ++counts_.ended_twice;
        return;
    }
    ++count;
    attempts_.erase(message);
}

}  // namespace cometspoke::bench
