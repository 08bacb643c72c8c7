/// Reads the operator's settings from JSON into the module's own types, for the simulator's adapter and for
/// the forwarder.
#pragma once

#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "cometspoke/sender.hpp"

namespace cometspoke::settings {

using Json = nlohmann::json;
using Index = std::map<std::string, std::size_t>;

/// Input that is malformed or out of range; what() names the fault.
class InvalidInput : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

Time from_ms(double ms);
double to_ms(Time time);

/// Returns the field, or throws InvalidInput if it is absent or null.
const Json& require_field(const Json& object, const char* name);
/// Returns the field's value, or the fallback if the field is absent or null.
template <class T>
T value_or(const Json& object, const char* name, T fallback) {
    const auto found = object.find(name);
    return found == object.end() || found->is_null() ? fallback : found->get<T>();
}
/// The same for a field that holds a duration in milliseconds.
Time time_or(const Json& object, const char* name, Time fallback);
template <class T>
T required_value(const Json& object, const char* name) {
    return require_field(object, name).get<T>();
}

/// Message ids are written as 16 lowercase hex digits.
MessageId parse_message_id(const std::string& text);
std::string format_message_id(MessageId message);

/// The names that the settings define, each with its index in the module's settings.
struct Names {
    Index classes, tenants, zones, kinds;
};
/// Throws InvalidInput if the name is unknown; `what` says in the error what the name stands for.
std::size_t index_of(const Index& index, const std::string& name, const char* what);
/// Zones and kinds that `previous` already holds keep their indices; classes and tenants are indexed anew.
Names parse_names(const Json& params, const Names& previous = {});
Settings parse_settings(const Json& params, const Names& names);

}  // namespace cometspoke::settings
