/// The ids of messages that have ended, so that none of them is accepted again: clients that lost their
/// connection hand an id in again, and some clients copy the ids of others.
#pragma once

#include <cstddef>
#include <set>
#include <unordered_set>
#include <utility>

#include "journal.hpp"

namespace lockgw {

class EndedIds {
public:
    /// `max_bytes` limits the memory. Beyond it the ids that expire first are forgotten early.
    explicit EndedIds(std::size_t max_bytes);

    void insert(MessageId id, PersistentTime expiry);
    bool contains(MessageId id) const { return ids_.contains(id); }
    /// Forgets the ids that have expired.
    void expire(PersistentTime now);
    std::size_t size() const { return ids_.size(); }
    std::size_t max_size() const { return max_size_; }

private:
    void forget_first();

    std::size_t max_size_;
    std::unordered_set<MessageId> ids_;
    std::set<std::pair<PersistentTime, MessageId>> by_expiry_;
};

}  // namespace lockgw
