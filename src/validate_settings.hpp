/// Validation of Settings.
#pragma once

#include <algorithm>
#include <stdexcept>
#include <string>
#include <utility>

#include "cometspoke/sender.hpp"

namespace cometspoke {

/// Throws std::invalid_argument with the name of the setting unless `valid`.
inline void require(bool valid, const char* name) {
    if (!valid) throw std::invalid_argument(std::string("cometspoke settings: ") + name);
}

/// Throws std::invalid_argument with the name of the first invalid setting.
inline void validate(const Settings& settings) {
    require(settings.max_calls > 0, "slots");
    require(settings.max_held_messages > 0, "most_held");
    require(settings.max_attempts > 0, "max_attempts");
    require(settings.instance_count > 0, "n_instances");
    require(!settings.classes.empty(), "classes");
    require(!settings.zone || *settings.zone < settings.zones, "zone");
    require(settings.reservation_per_s >= 0, "floor_per_s");
    require(settings.overload_multiple > 0, "fall_multiple");
    require(settings.cold_capacity_share > 0 && settings.cold_capacity_share <= 1, "cold_from");
    for (const auto& [time, name] :
        {std::pair{settings.connection_idle_limit, "conn_idle"}, {settings.overload_window, "fall"},
            {settings.warm_up_time, "warm_within"}, {settings.ambiguous_settle_time, "settle_after_doubt"}})
        require(time >= Time(0), name);
    for (const ClassSettings& entry : settings.classes)
        require(entry.target_latency >= Time(0) && entry.deadline > Time(0) && entry.dedup_window >= Time(0),
            "classes");
    for (const KindSettings& entry : settings.kinds)
        require(entry.max_messages_per_call > 0, "kinds.per_call");
    for (const TenantSettings& entry : settings.tenants) require(entry.quota_per_s >= 0, "tenants");
}

}  // namespace cometspoke
