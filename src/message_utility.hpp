/// The utility of a message by the time of its delivery. Only sender.cpp includes this header.
#pragma once

#include <algorithm>
#include <cmath>

#include "sender_state.hpp"

namespace cometspoke {
namespace {

double utility_of(const Message& message, Time delivered_at, const Settings& settings) {
    const ClassSettings& class_settings = *message.class_settings;
    const double utility = class_settings.utility * (message.over_quota ? settings.over_quota_utility : 1.0);
    if (delivered_at >= message.deadline) return 0.0;
    const Time lateness = delivered_at - message.accepted_at - class_settings.target_latency;
    if (lateness <= Time(0)) return utility;
    const double lateness_in_targets =
        seconds(lateness) / std::max(seconds(Time(1000)), seconds(class_settings.target_latency));
    if (settings.late_decay == LateDecay::Halving)
        return utility * std::max(class_settings.late_utility, std::exp2(-lateness_in_targets));
    return utility * (1.0 - (1.0 - class_settings.late_utility) * seconds(lateness) /
                                seconds(class_settings.deadline - class_settings.target_latency));
}

}  // namespace
}  // namespace cometspoke
