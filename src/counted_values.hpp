/// A multiset of few distinct values, such as the target latencies of the messages held for a destination.
///
/// Each operation is linear in the number of distinct values, however often each of them occurs. Not
/// thread-safe.
#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace cometspoke {

template <class Value>
class CountedValues {
public:
    void add(Value value) {
        const auto found = find(value);
        if (found != counts_.end())
            ++found->second;
        else
            counts_.emplace_back(value, 1);
    }
    /// Removes one occurrence of a value, which must be present.
    void remove(Value value) {
        const auto found = find(value);
        if (--found->second > 0) return;
        *found = counts_.back();
        counts_.pop_back();
    }
    /// Returns the smallest value, or `fallback` if it is smaller or the multiset is empty.
    Value least(Value fallback) const {
        for (const auto& [value, count] : counts_) fallback = std::min(fallback, value);
        return fallback;
    }

private:
    auto find(Value value) {
        return std::find_if(
            counts_.begin(), counts_.end(), [value](const auto& entry) { return entry.first == value; });
    }
    std::vector<std::pair<Value, std::size_t>> counts_;
};

}  // namespace cometspoke
