/// Serialization of learned state: visitors that write the fields of a record as named figures, and read them
/// back. A record type lists its fields once, for both directions, in its `each_figure`.
///
/// Units: times are written as seconds relative to the moment of writing, all else as plain numbers. A time
/// that was never set is left out, and a figure that is missing leaves its field as it is.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>

namespace cometspoke {

using Figures = std::map<std::string, double>;

constexpr std::chrono::microseconds kNeverSet{-4'000'000'000'000'000'000};

/// Writes each visited field into `figures`.
struct FigureWriter {
    Figures& figures;
    std::chrono::microseconds now;

    void operator()(const char* name, std::chrono::microseconds value) {
        if (value > kNeverSet) figures[name] = static_cast<double>((value - now).count()) / 1e6;
    }
    template <class Number>
    void operator()(const char* name, Number value) {
        figures[name] = static_cast<double>(value);
    }
};

/// Reads each visited field from `figures`, as seen from `now`.
struct FigureReader {
    const Figures& figures;
    std::chrono::microseconds now;

    void operator()(const char* name, std::chrono::microseconds& value) {
        const auto found = figures.find(name);
        if (found == figures.end()) return;
        const double seconds = std::min(found->second, kLongestSpan_s);
        value = now + std::chrono::microseconds(std::llround(seconds * 1e6));
    }
    template <class Number>
    void operator()(const char* name, Number& value) {
        const auto found = figures.find(name);
        if (found != figures.end()) value = static_cast<Number>(found->second);
    }

private:
    static constexpr double kLongestSpan_s = 1e6;  // keeps a spoilt figure from overflowing a time
};

}  // namespace cometspoke
