/// Computes how a measured figure grows with the size of its case.
#pragma once

#include <optional>
#include <vector>

namespace cometspoke::bench {

struct SeriesPoint {
    double size = 0.0;
    double value = 0.0;
};

/// Least-squares slopes over the last decade of sizes (sizes of at least a tenth of the largest).
struct Growth {
    double per_unit = 0.0;  ///< increase of the value per unit of size
    std::optional<double>
        exponent;  ///< slope of log value over log size: 0 is constant, 1 linear; only if all are above 0
};

/// Returns nothing if the last decade has fewer than two sizes.
std::optional<Growth> growth_of(const std::vector<SeriesPoint>& points);

}  // namespace cometspoke::bench
