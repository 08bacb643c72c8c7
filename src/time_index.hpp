/// Identifiers by the time at which each falls due: one entry an identifier, found by either side.
///
/// A container without decisions. Setting, erasing and taking the earliest cost the logarithm of its size.
/// Not thread-safe.
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

    /// The identifier falls due at `when` from now on, in place of any time before.
    void set(Id id, Time when) {
        const auto [place, fresh] = times_.try_emplace(id, when);
        if (!fresh) {
            if (place->second == when) return;
            order_.erase({place->second, id});
            place->second = when;
        }
        order_.insert({when, id});
    }
    void erase(Id id) {
        const auto found = times_.find(id);
        if (found == times_.end()) return;
        order_.erase({found->second, id});
        times_.erase(found);
    }
    /// The earliest time; none where it is empty.
    std::optional<Time> earliest() const {
        return order_.empty() ? std::nullopt : std::optional(order_.begin()->first);
    }
    /// Those due at `now`, which stay in, in the order of their identifiers.
    std::vector<Id> due(Time now) const {
        std::vector<Id> found;
        for (const auto& [when, id] : order_) {
            if (when > now) break;
            found.push_back(id);
        }
        std::sort(found.begin(), found.end());
        return found;
    }
    auto begin() const { return order_.begin(); }  ///< pairs of time and identifier, earliest first
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
