#include "scale_series.hpp"

#include <algorithm>
#include <cmath>

namespace cometspoke::bench {
namespace {

constexpr double kDecade = 10.0;

std::optional<double> slope_of(const std::vector<SeriesPoint>& points) {
    if (points.size() < 2) return std::nullopt;
    double mean_size = 0.0, mean_value = 0.0;
    for (const SeriesPoint& point : points) {
        mean_size += point.size / static_cast<double>(points.size());
        mean_value += point.value / static_cast<double>(points.size());
    }
    double covariance = 0.0, variance = 0.0;
    for (const SeriesPoint& point : points) {
        covariance += (point.size - mean_size) * (point.value - mean_value);
        variance += (point.size - mean_size) * (point.size - mean_size);
    }
    if (variance <= 0.0) return std::nullopt;
    return covariance / variance;
}

std::optional<double> exponent_of(std::vector<SeriesPoint> points) {
    for (SeriesPoint& point : points) {
        if (point.size <= 0.0 || point.value <= 0.0) return std::nullopt;
        point = {std::log(point.size), std::log(point.value)};
    }
    return slope_of(points);
}

}  // namespace

std::optional<Growth> growth_of(const std::vector<SeriesPoint>& points) {
    double largest_size = 0.0;
    for (const SeriesPoint& point : points) largest_size = std::max(largest_size, point.size);
    std::vector<SeriesPoint> last_decade;
    for (const SeriesPoint& point : points)
        if (point.size >= largest_size / kDecade) last_decade.push_back(point);
    const std::optional<double> slope = slope_of(last_decade);
    if (!slope) return std::nullopt;
    return Growth{*slope, exponent_of(last_decade)};
}

}  // namespace cometspoke::bench
