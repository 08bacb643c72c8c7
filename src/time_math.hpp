/// Conversions between times, seconds and rates, for the decision module. Times are microsecond counts.
#pragma once

#include <algorithm>
#include <cmath>

#include "cometspoke/sender.hpp"

namespace cometspoke {

constexpr Time kNever{4'000'000'000'000'000'000};     ///< far from overflow when one is taken from another
constexpr Time kLongAgo{-4'000'000'000'000'000'000};  ///< also stands for a time that was never set

inline double seconds(Time time) { return static_cast<double>(time.count()) / 1e6; }

/// At most a million seconds, so that no rate near zero overflows a time.
inline Time from_seconds(double value) {
    return Time(static_cast<Time::rep>(std::llround(std::min(value, 1e6) * 1e6)));
}

/// The gap between events at so many a second; zero where the rate is not positive.
inline Time gap_of(double rate) { return rate > 0 ? from_seconds(1.0 / rate) : Time(0); }

}  // namespace cometspoke
