#include "endpoint_directory.hpp"

#include <utility>

namespace lockgw {

using cometspoke::Condition;
using cometspoke::EndpointId;
using namespace std::chrono_literals;

namespace {

constexpr auto kDestinationMemory = 10min;       // its targets are being replaced, not given up
constexpr std::size_t kMostTargets = 2'000'000;  // numbers in use; a list's own limit comes long before it
constexpr std::size_t kMostFormer = 10'000;      // more names of those that have gone are not remembered

}  // namespace

EndpointId EndpointDirectory::id_of(const std::string& name) {
    const auto found = numbers_.find(name);
    if (found != numbers_.end()) return found->second;
    if (entries_.size() >= kMostTargets) throw cometspoke::settings::InvalidInput("too many targets");
    const auto entry = entries_.emplace_hint(entries_.end(), next_, Entry{name});
    numbers_.emplace(entry->second.name, next_);
    return next_++;
}

std::optional<EndpointId> EndpointDirectory::find(const std::string& name) const {
    const auto found = numbers_.find(name);
    return found == numbers_.end() ? std::nullopt : std::optional(found->second);
}

const std::string* EndpointDirectory::name_of(EndpointId number) const {
    const auto found = entries_.find(number);
    return found == entries_.end() ? nullptr : &found->second.name;
}

void EndpointDirectory::forget(EndpointId number) {
    const auto found = entries_.find(number);
    if (found == entries_.end() || found->second.destination) return;
    remember(found->second.name);
    numbers_.erase(found->second.name);
    entries_.erase(found);
}

bool EndpointDirectory::ever_listed(const std::string& name) const {
    return numbers_.contains(name) || former_.contains(name);
}

void EndpointDirectory::remember(const std::string& name) {
    if (former_.size() < kMostFormer) former_.insert(name);
}

void EndpointDirectory::list(Entry& entry, const EndpointRecord& target) {
    if (!entry.destination) ++listed_;
    if (entry.destination != target.destination) {
        ++targets_[target.destination];
        deserted_.erase(target.destination);
    }
    entry.destination = target.destination;
    entry.address = target.address;
    entry.zone = &*texts_.insert(target.zone).first;
    entry.kind = &*texts_.insert(target.kind).first;
    entry.rate = target.rate;
    entry.condition = target.condition;
    entry.named_in = comparison_;
}

void EndpointDirectory::unlist(Entry& entry, Clock::time_point now) {
    if (!entry.destination) return;
    --listed_;
    leave(*std::exchange(entry.destination, std::nullopt), now);
}

void EndpointDirectory::leave(std::int64_t destination, Clock::time_point now) {
    const auto found = targets_.find(destination);
    if (--found->second > 0) return;
    targets_.erase(found);
    deserted_.insert_or_assign(destination, now);
    deserted_order_.emplace_back(now, destination);
}

void EndpointDirectory::forget_deserted(Clock::time_point now) {
    while (!deserted_order_.empty() && deserted_order_.front().first + kDestinationMemory <= now) {
        const auto [since, destination] = deserted_order_.front();
        deserted_order_.pop_front();
        const auto found = deserted_.find(destination);
        if (found != deserted_.end() && found->second == since) deserted_.erase(found);
    }
}

std::set<EndpointId> EndpointDirectory::apply(const EndpointList& told, Clock::time_point now) {
    std::set<EndpointId> gone;
    if (told.complete)
        for (const auto& [number, entry] : entries_)
            if (entry.destination) gone.insert(gone.end(), number);
    for (const EndpointRecord& target : told.endpoints) {
        const bool here = target.condition != Condition::Removed;
        if (!here && !numbers_.contains(target.id)) continue;
        const EndpointId number = id_of(target.id);
        here ? gone.erase(number) : gone.insert(number).second;
        if (!here) continue;
        Entry& entry = entries_.at(number);
        const auto before = entry.destination;
        list(entry, target);
        if (before && before != target.destination) leave(*before, now);
    }
    for (const EndpointId number : gone) unlist(entries_.at(number), now);
    forget_deserted(now);
    return gone;
}

EndpointRecord EndpointDirectory::record_of(const Entry& entry) {
    EndpointRecord target;
    target.id = entry.name;
    target.address = entry.address;
    target.zone = *entry.zone;
    target.kind = *entry.kind;
    target.destination = *entry.destination;
    target.rate = entry.rate;
    target.condition = entry.condition;
    return target;
}

std::optional<EndpointRecord> EndpointDirectory::record_of(const std::string& name) const {
    const auto found = numbers_.find(name);
    if (found == numbers_.end()) return std::nullopt;
    const Entry& entry = entries_.at(found->second);
    return entry.destination ? std::optional(record_of(entry)) : std::nullopt;
}

std::vector<EndpointRecord> EndpointDirectory::records() const {
    std::vector<EndpointRecord> all;
    for (const auto& [number, entry] : entries_)
        if (entry.destination) all.push_back(record_of(entry));
    return all;
}

bool EndpointDirectory::compare(const EndpointRecord& target) {
    const auto found = numbers_.find(target.id);
    const bool gone = target.condition == Condition::Removed;
    if (found == numbers_.end()) return gone;
    Entry& entry = entries_.at(found->second);
    entry.named_in = comparison_;
    if (!entry.destination || gone) return !entry.destination && gone;
    return *entry.destination == target.destination && entry.address == target.address &&
           *entry.zone == target.zone && *entry.kind == target.kind && entry.rate == target.rate &&
           entry.condition == target.condition;
}

std::vector<EndpointRecord> EndpointDirectory::missing(
    std::optional<EndpointId>& from, std::size_t count) const {
    std::vector<EndpointRecord> gone;
    auto at = entries_.lower_bound(*from);
    for (; at != entries_.end() && count > 0; ++at, --count) {
        if (!at->second.destination || at->second.named_in == comparison_) continue;
        EndpointRecord target = record_of(at->second);
        target.condition = Condition::Removed;
        gone.push_back(std::move(target));
    }
    from = at == entries_.end() ? std::nullopt : std::optional(at->first);
    return gone;
}

bool EndpointDirectory::has_destination(std::int64_t destination, Clock::time_point now) const {
    if (targets_.contains(destination)) return true;
    const auto found = deserted_.find(destination);
    return found != deserted_.end() && found->second + kDestinationMemory > now;
}

}  // namespace lockgw
