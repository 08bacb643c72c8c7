/// How a measured figure grows with a size.
#pragma once

#include <optional>
#include <vector>

namespace cometspoke::bench {

struct SeriesPoint {
    double size = 0.0;
    double value = 0.0;
};

/// Least-squares slopes over the last decade of sizes (from a tenth of the largest on).
struct Growth {
    double per_unit = 0.0;  ///< of value over size
    std::optional<double>
        exponent;  ///< of log value over log size: 0 is flat, 1 linear; needs values above 0
};

/// None where the last decade has fewer than two sizes.
std::optional<Growth> growth_of(const std::vector<SeriesPoint>& points);

}  // namespace cometspoke::bench
