/// Destinations that hold messages, in the order of their share tags (P), as in mClock's share-based phase.
///
/// Those whose endpoints are all closed are parked until one may open, and are not looked at before. When a
/// destination becomes active, all tags shift so that it starts level with the smallest (mClock, section 3.2,
/// tag adjustment): one shift is kept for all of them, not added to each. A container without decisions: what
/// a tag is, and until when a destination is closed, its caller says. Each call costs the logarithm of the
/// number of active ones.
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

    /// Adds a destination with its tag; the others shift so that all start level.
    void activate(Id id, Time tag) {
        const auto smallest =
            std::min(open_.earliest().value_or(Time::max()), parked_.earliest().value_or(Time::max()));
        if (smallest != Time::max()) shift_ = tag - smallest;
        open_.set(id, tag - shift_);
    }
    /// Removes a destination; its tag as of now comes back, and no longer shifts.
    Time deactivate(Id id) {
        const Time last = tag(id);
        open_.erase(id);
        parked_.erase(id);
        reopens_.erase(id);
        return last;
    }
    /// The tag of an active destination.
    Time tag(Id id) const {
        const auto open = open_.time_of(id);
        return (open ? *open : parked_.time_of(id).value()) + shift_;
    }
    /// Of one that is not parked.
    void set_tag(Id id, Time tag) { open_.set(id, tag - shift_); }

    void park(Id id, Time until) {
        const auto stored = open_.time_of(id);
        if (!stored) return;
        parked_.set(id, *stored);
        open_.erase(id);
        reopens_.set(id, until);
    }
    void reopen(Id id) {
        const auto stored = parked_.time_of(id);
        if (!stored) return;
        open_.set(id, *stored);
        parked_.erase(id);
        reopens_.erase(id);
    }
    void reopen_due(Time now) {
        for (const Id id : reopens_.due(now)) reopen(id);
    }
    void reopen_all() { reopen_due(Time::max()); }

    /// Calls `visit` with each active destination, parked or not, in no order that means anything.
    template <class Visit>
    void for_each(Visit visit) const {
        for (const auto& [tag, id] : open_) visit(id);
        for (const auto& [tag, id] : parked_) visit(id);
    }
    /// Those that are not parked, smallest tag first, equals by their identifiers: pairs of an inner figure
    /// and an identifier.
    const TimeIndex<Id>& open() const { return open_; }
    /// When the next parked one may open.
    std::optional<Time> next_reopening() const { return reopens_.earliest(); }

private:
    TimeIndex<Id> open_;     // by tag less shift_
    TimeIndex<Id> parked_;   // by tag less shift_
    TimeIndex<Id> reopens_;  // the parked ones by the time until which they are closed
    Time shift_{0};
};

}  // namespace cometspoke
