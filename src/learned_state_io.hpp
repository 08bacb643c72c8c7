/// Serialization of learned state: visitors that write the fields of a record as named values and read them
/// back. Each record type lists its fields once, for both directions, in its `visit_fields`
/// (learned_state_fields.hpp).
///
/// Units: times are written as seconds relative to the time of writing, all other fields as plain numbers. A
/// time that was never set is omitted. A missing value leaves its field unchanged.
#pragma once

#include <map>
#include <string>

#include "time_math.hpp"

namespace cometspoke {

using FieldValues = std::map<std::string, double>;

/// Writes each visited field into `values`.
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

/// Reads each visited field from `values`, with times relative to `now`.
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
