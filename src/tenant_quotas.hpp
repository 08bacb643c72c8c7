/// This sender's part of each tenant's quota: which messages are above it.
///
/// Each tenant has a tag that advances by the gap between messages at its quota. A message is above the quota
/// if the tag runs ahead of the message's acceptance by more than kMaxQuotaBurst. Not thread-safe.
#pragma once

#include <algorithm>
#include <vector>

#include "cometspoke/sender.hpp"
#include "sender_constants.hpp"
#include "time_math.hpp"

namespace cometspoke {

class TenantQuotas {
public:
    std::size_t size() const { return tags_.size(); }
    void resize(std::size_t tenants) { tags_.resize(tenants, kLongAgo); }

    /// Returns whether a message is above the quota. One that is not is charged to it.
    bool is_over(std::size_t tenant, double own_quota_per_s, Time accepted_at) {
        const Time gap = gap_of(own_quota_per_s);
        const Time next = std::max(tags_[tenant], accepted_at) + gap;
        if (next > accepted_at + std::max(gap, kMaxQuotaBurst)) return true;
        tags_[tenant] = next;
        return false;
    }

private:
    std::vector<Time> tags_;
};

}  // namespace cometspoke
