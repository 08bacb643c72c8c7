#include "ended_ids.hpp"

#include <algorithm>

namespace lockgw {
namespace {

// Of one id in both containers, with the overhead of the allocator and of the hash table.
constexpr std::size_t kBytesPerId = 128;

}  // namespace

EndedIds::EndedIds(std::size_t max_bytes) : max_size_(std::max<std::size_t>(1, max_bytes / kBytesPerId)) {}

void EndedIds::insert(MessageId id, PersistentTime expiry) {
    if (!ids_.insert(id).second) return;
    by_expiry_.emplace(expiry, id);
    if (ids_.size() > max_size_) forget_first();
}

void EndedIds::expire(PersistentTime now) {
    while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) forget_first();
}

void EndedIds::forget_first() {
    ids_.erase(by_expiry_.begin()->second);
    by_expiry_.erase(by_expiry_.begin());
}

}  // namespace lockgw
