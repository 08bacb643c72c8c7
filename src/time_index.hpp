/// Maps identifiers to due times, one time for each identifier, with access by identifier and in time order.
///
/// Insertion, removal and lookup are logarithmic in the size. Not thread-safe.
#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace cometspoke {

template <class Id>
class TimeIndex {
public:
    using Time = std::chrono::microseconds;

    /// Sets the due time of the identifier and replaces any earlier setting.
    void set(Id id, Time when) {
        const auto [entry, inserted] = times_.try_emplace(id, when);
        if (!inserted) {
            if (entry->second == when) return;
            order_.erase({entry->second, id});
            entry->second = when;
        }
        order_.insert({when, id});
    }
    void erase(Id id) {
        const auto found = times_.find(id);
        if (found == times_.end()) return;
        order_.erase({found->second, id});
        times_.erase(found);
    }
    /// Returns the earliest time, or nothing if the index is empty.
    std::optional<Time> earliest() const {
        return order_.empty() ? std::nullopt : std::optional(order_.begin()->first);
    }
    /// Returns the identifiers that are due at `now`, sorted by identifier, without removing them.
    std::vector<Id> due(Time now) const {
        std::vector<Id> found;
        for (const auto& [when, id] : order_) {
            if (when > now) break;
            found.push_back(id);
        }
        std::sort(found.begin(), found.end());
        return found;
    }
    auto begin() const { return order_.begin(); }  ///< iterates over pairs of time and identifier, by time
    auto end() const { return order_.end(); }
    std::optional<Time> time_of(Id id) const {
        const auto found = times_.find(id);
        return found == times_.end() ? std::nullopt : std::optional(found->second);
    }
    bool contains(Id id) const { return times_.contains(id); }
    std::size_t size() const { return times_.size(); }

private:
    std::set<std::pair<Time, Id>> order_;
    std::map<Id, Time> times_;
};

}  // namespace cometspoke
