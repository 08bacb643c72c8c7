/// A multiset of few distinct values, such as the aims of the messages that a destination holds.
///
/// A container without decisions. Costs grow with the number of distinct values, not with their count.
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
    /// The value must have been added.
    void remove(Value value) {
        const auto found = find(value);
        if (--found->second > 0) return;
        *found = counts_.back();
        counts_.pop_back();
    }
    /// The least value; `otherwise` where there is none.
    Value least(Value otherwise) const {
        for (const auto& [value, count] : counts_) otherwise = std::min(otherwise, value);
        return otherwise;
    }

private:
    auto find(Value value) {
        return std::find_if(
            counts_.begin(), counts_.end(), [value](const auto& entry) { return entry.first == value; });
    }
    std::vector<std::pair<Value, std::size_t>> counts_;
};

}  // namespace cometspoke
