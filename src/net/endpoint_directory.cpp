#include "endpoint_directory.hpp"

#include <utility>

namespace lockgw {

using cometspoke::Condition;
using cometspoke::EndpointId;
using namespace std::chrono_literals;

namespace {

constexpr auto kMaxEmptyDestinationAge = 10min;  // its endpoints may be about to be replaced
// The number of ids in use. The limit on the entries of a list is reached long before.
constexpr std::size_t kMaxEndpoints = 2'000'000;
constexpr std::size_t kMaxFormerNames = 10'000;  // names of removed endpoints that are remembered

}  // namespace

EndpointId EndpointDirectory::id_of(const std::string& name) {
    const auto found = ids_.find(name);
    if (found != ids_.end()) return found->second;
    if (entries_.size() >= kMaxEndpoints) throw cometspoke::settings::InvalidInput("too many targets");
    const auto entry = entries_.emplace_hint(entries_.end(), next_id_, Entry{name});
    ids_.emplace(entry->second.name, next_id_);
    return next_id_++;
}

std::optional<EndpointId> EndpointDirectory::find(const std::string& name) const {
    const auto found = ids_.find(name);
    return found == ids_.end() ? std::nullopt : std::optional(found->second);
}

const std::string* EndpointDirectory::name_of(EndpointId id) const {
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second.name;
}

void EndpointDirectory::forget(EndpointId id) {
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.listed) return;
    remember(found->second.name);
    ids_.erase(found->second.name);
    entries_.erase(found);
}

bool EndpointDirectory::ever_listed(const std::string& name) const {
    return ids_.contains(name) || former_names_.contains(name);
}

void EndpointDirectory::remember(const std::string& name) {
    if (former_names_.size() < kMaxFormerNames) former_names_.insert(name);
}

void EndpointDirectory::set_place(Entry& entry, const EndpointRecord& endpoint) {
    entry.destination = endpoint.destination;
    entry.zone = &*zone_and_kind_names_.insert(endpoint.zone).first;
    entry.kind = &*zone_and_kind_names_.insert(endpoint.kind).first;
    entry.rate = endpoint.rate;
}

void EndpointDirectory::set_listed(Entry& entry, const EndpointRecord& endpoint) {
    if (!entry.listed) ++listed_count_;
    if (!entry.listed || entry.destination != endpoint.destination) {
        ++endpoint_counts_[endpoint.destination];
        empty_since_.erase(endpoint.destination);
    }
    entry.listed = true;
    set_place(entry, endpoint);
    entry.address = endpoint.address;
    entry.condition = endpoint.condition;
    entry.last_comparison = comparison_;
}

void EndpointDirectory::set_unlisted(Entry& entry, Clock::time_point now) {
    if (!std::exchange(entry.listed, false)) return;
    --listed_count_;
    remove_from_destination(entry.destination, now);
}

void EndpointDirectory::remove_from_destination(std::int64_t destination, Clock::time_point now) {
    const auto found = endpoint_counts_.find(destination);
    if (--found->second > 0) return;
    endpoint_counts_.erase(found);
    empty_since_.insert_or_assign(destination, now);
    empty_destinations_by_age_.emplace_back(now, destination);
}

void EndpointDirectory::forget_empty_destinations(Clock::time_point now) {
    while (!empty_destinations_by_age_.empty() &&
           empty_destinations_by_age_.front().first + kMaxEmptyDestinationAge <= now) {
        const auto [since, destination] = empty_destinations_by_age_.front();
        empty_destinations_by_age_.pop_front();
        const auto found = empty_since_.find(destination);
        if (found != empty_since_.end() && found->second == since) empty_since_.erase(found);
    }
}

std::set<EndpointId> EndpointDirectory::apply(const EndpointList& update, Clock::time_point now) {
    std::set<EndpointId> removed;
    if (update.complete)
        for (const auto& [id, entry] : entries_)
            if (entry.listed) removed.insert(removed.end(), id);
    for (const EndpointRecord& endpoint : update.endpoints) {
        const bool listed = endpoint.condition != Condition::Removed;
        if (!listed && !ids_.contains(endpoint.id)) continue;
        const EndpointId id = id_of(endpoint.id);
        listed ? removed.erase(id) : removed.insert(id).second;
        Entry& entry = entries_.at(id);
        if (!listed) {
            if (entry.zone == nullptr && endpoint.has_place) set_place(entry, endpoint);
            continue;
        }
        const auto before = entry.listed ? std::optional(entry.destination) : std::nullopt;
        set_listed(entry, endpoint);
        if (before && before != endpoint.destination) remove_from_destination(*before, now);
    }
    for (const EndpointId id : removed) set_unlisted(entries_.at(id), now);
    forget_empty_destinations(now);
    return removed;
}

EndpointRecord EndpointDirectory::record_of(const Entry& entry) {
    EndpointRecord endpoint;
    endpoint.id = entry.name;
    endpoint.address = entry.address;
    endpoint.zone = *entry.zone;
    endpoint.kind = *entry.kind;
    endpoint.destination = entry.destination;
    endpoint.rate = entry.rate;
    endpoint.condition = entry.listed ? entry.condition : Condition::Removed;
    return endpoint;
}

std::optional<EndpointRecord> EndpointDirectory::record_of(const std::string& name) const {
    auto record = last_record_of(name);
    return record && record->condition != Condition::Removed ? record : std::nullopt;
}

std::optional<EndpointRecord> EndpointDirectory::last_record_of(const std::string& name) const {
    const auto found = ids_.find(name);
    if (found == ids_.end()) return std::nullopt;
    const Entry& entry = entries_.at(found->second);
    return entry.zone != nullptr ? std::optional(record_of(entry)) : std::nullopt;
}

std::vector<EndpointRecord> EndpointDirectory::removed_records() const {
    std::vector<EndpointRecord> removed;
    for (const auto& [id, entry] : entries_)
        if (!entry.listed && entry.zone != nullptr) removed.push_back(record_of(entry));
    return removed;
}

void EndpointDirectory::add_removed(const EndpointRecord& endpoint) {
    Entry& entry = entries_.at(id_of(endpoint.id));
    if (entry.zone == nullptr) set_place(entry, endpoint);
}

std::vector<EndpointRecord> EndpointDirectory::records() const {
    std::vector<EndpointRecord> all;
    for (const auto& [id, entry] : entries_)
        if (entry.listed) all.push_back(record_of(entry));
    return all;
}

bool EndpointDirectory::compare(const EndpointRecord& endpoint) {
    const auto found = ids_.find(endpoint.id);
    const bool removed = endpoint.condition == Condition::Removed;
    if (found == ids_.end()) return removed;
    Entry& entry = entries_.at(found->second);
    entry.last_comparison = comparison_;
    if (!entry.listed || removed) return !entry.listed && removed;
    return entry.destination == endpoint.destination && entry.address == endpoint.address &&
           *entry.zone == endpoint.zone && *entry.kind == endpoint.kind && entry.rate == endpoint.rate &&
           entry.condition == endpoint.condition;
}

std::vector<EndpointRecord> EndpointDirectory::missing(
    std::optional<EndpointId>& from, std::size_t count) const {
    std::vector<EndpointRecord> removed;
    auto at = entries_.lower_bound(*from);
    for (; at != entries_.end() && count > 0; ++at, --count) {
        if (!at->second.listed || at->second.last_comparison == comparison_) continue;
        EndpointRecord endpoint = record_of(at->second);
        endpoint.condition = Condition::Removed;
        removed.push_back(std::move(endpoint));
    }
    from = at == entries_.end() ? std::nullopt : std::optional(at->first);
    return removed;
}

bool EndpointDirectory::has_destination(std::int64_t destination, Clock::time_point now) const {
    if (endpoint_counts_.contains(destination)) return true;
    const auto found = empty_since_.find(destination);
    return found != empty_since_.end() && found->second + kMaxEmptyDestinationAge > now;
}

}  // namespace lockgw
