/// Whether Settings make sense. It decides nothing else.
#pragma once

#include <algorithm>
#include <stdexcept>
#include <string>
#include <utility>

#include "cometspoke/sender.hpp"

namespace cometspoke {

/// Throws std::invalid_argument that names the setting, where `good` does not hold.
inline void require(bool good, const char* name) {
    if (!good) throw std::invalid_argument(std::string("cometspoke settings: ") + name);
}

/// Throws std::invalid_argument that names the first setting that makes no sense.
inline void validate(const Settings& settings) {
    require(settings.slots > 0, "slots");
    require(settings.most_held > 0, "most_held");
    require(settings.max_attempts > 0, "max_attempts");
    require(settings.n_instances > 0, "n_instances");
    require(!settings.classes.empty(), "classes");
    require(!settings.zone || *settings.zone < settings.zones, "zone");
    require(settings.floor_per_s >= 0, "floor_per_s");
    require(settings.fall_multiple > 0, "fall_multiple");
    require(settings.cold_from > 0 && settings.cold_from <= 1, "cold_from");
    for (const auto& [time, name] : {std::pair{settings.conn_idle, "conn_idle"}, {settings.fall, "fall"},
             {settings.warm_within, "warm_within"}, {settings.settle_after_doubt, "settle_after_doubt"}})
        require(time >= Time(0), name);
    for (const ClassSettings& entry : settings.classes)
        require(entry.aim >= Time(0) && entry.deadline > Time(0) && entry.window >= Time(0), "classes");
    for (const KindSettings& entry : settings.kinds) require(entry.per_call > 0, "kinds.per_call");
    for (const TenantSettings& entry : settings.tenants) require(entry.quota_per_s >= 0, "tenants");
}

}  // namespace cometspoke
