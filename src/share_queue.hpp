/// The destinations that hold messages, ordered by share tag (P) as in mClock's weight-based phase.
///
/// A destination whose endpoints cannot take a call is parked until one of them may accept calls again, so
/// that the scheduler does not visit it before. When a destination becomes active, all tags shift so that it
/// starts level with the smallest one (tag adjustment, mClock section 3.2). The shift is stored once for all
/// destinations rather than added to each tag. The caller computes the tags and decides until when a
/// destination is parked. Each operation is logarithmic in the number of active destinations. Not
/// thread-safe.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

#include "time_index.hpp"

namespace cometspoke {

class ShareQueue {
public:
    using Id = std::int64_t;
    using Time = std::chrono::microseconds;

    /// Adds a destination with its tag and shifts the tags of the others so that the smallest equals it.
    void activate(Id id, Time tag) {
        const auto smallest =
            std::min(open_.earliest().value_or(Time::max()), parked_.earliest().value_or(Time::max()));
        if (smallest != Time::max()) shift_ = tag - smallest;
        open_.set(id, tag - shift_);
    }
    /// Removes a destination and returns its current tag, which later shifts no longer change.
    Time deactivate(Id id) {
        const Time last = tag(id);
        open_.erase(id);
        parked_.erase(id);
        reopenings_.erase(id);
        return last;
    }
    /// Returns the tag of a destination, which must be active.
    Time tag(Id id) const {
        const auto open = open_.time_of(id);
        return (open ? *open : parked_.time_of(id).value()) + shift_;
    }
    /// Sets the tag of a destination, which must not be parked.
    void set_tag(Id id, Time tag) { open_.set(id, tag - shift_); }

    void park(Id id, Time until) {
        const auto stored = open_.time_of(id);
        if (!stored) return;
        parked_.set(id, *stored);
        open_.erase(id);
        reopenings_.set(id, until);
    }
    /// Ends the parking of a destination; does nothing if it is not parked.
    void reopen(Id id) {
        const auto stored = parked_.time_of(id);
        if (!stored) return;
        open_.set(id, *stored);
        parked_.erase(id);
        reopenings_.erase(id);
    }
    void reopen_due(Time now) {
        for (const Id id : reopenings_.due(now)) reopen(id);
    }
    void reopen_all() { reopen_due(Time::max()); }

    /// Calls `visit` with each active destination, parked or not, in an unspecified order.
    template <class Visit>
    void for_each(Visit visit) const {
        for (const auto& [tag, id] : open_) visit(id);
        for (const auto& [tag, id] : parked_) visit(id);
    }
    /// The destinations that are not parked, by ascending tag and then identifier. The times in this index
    /// are stored without the shift; use tag() to read a tag.
    const TimeIndex<Id>& open() const { return open_; }
    /// Returns when the next parked destination is due to be reopened.
    std::optional<Time> next_reopening() const { return reopenings_.earliest(); }

private:
    TimeIndex<Id> open_;        // by tag minus shift_
    TimeIndex<Id> parked_;      // by tag minus shift_
    TimeIndex<Id> reopenings_;  // parked destinations by the time until which they are parked
    Time shift_{0};
};

}  // namespace cometspoke
