/// Conversions between times, seconds and rates. A Time is a count of microseconds.
#pragma once

#include <algorithm>
#include <cmath>

#include "cometspoke/sender.hpp"

namespace cometspoke {

/// Later than every other time. Subtracting kLongAgo from it does not overflow.
constexpr Time kNever{4'000'000'000'000'000'000};
/// Earlier than every other time. It is also the value of a time that was never set.
constexpr Time kLongAgo{-4'000'000'000'000'000'000};

inline double seconds(Time time) { return static_cast<double>(time.count()) / 1e6; }

/// Converts at most a million seconds, so that the reciprocal of a rate near zero does not overflow.
inline Time from_seconds(double value) {
    return Time(static_cast<Time::rep>(std::llround(std::min(value, 1e6) * 1e6)));
}

/// The gap between events at a rate per second; zero if the rate is not positive.
inline Time gap_of(double rate) { return rate > 0 ? from_seconds(1.0 / rate) : Time(0); }

}  // namespace cometspoke
