/// Serialization of learned state: visitors that write the fields of a record as named figures, and read them
/// back. A record type lists its fields once, for both directions, in its `each_figure`.
///
/// Units: times are written as seconds relative to the moment of writing, all else as plain numbers. A time
/// that was never set is left out, and a figure that is missing leaves its field as it is.
#pragma once

#include <map>
#include <string>

#include "time_math.hpp"

namespace cometspoke {

using FieldValues = std::map<std::string, double>;

/// Writes each visited field into `figures`.
struct FieldWriter {
    FieldValues& values;
    Time now;

    void operator()(const char* name, Time value) {
        if (value > kLongAgo) values[name] = seconds(value - now);
    }
    template <class Number>
    void operator()(const char* name, Number value) {
        values[name] = static_cast<double>(value);
    }
};

/// Reads each visited field from `figures`, as seen from `now`.
struct FieldReader {
    const FieldValues& values;
    Time now;

    void operator()(const char* name, Time& value) {
        const auto found = values.find(name);
        if (found != values.end()) value = now + from_seconds(found->second);
    }
    template <class Number>
    void operator()(const char* name, Number& value) {
        const auto found = values.find(name);
        if (found != values.end()) value = static_cast<Number>(found->second);
    }
};

}  // namespace cometspoke
