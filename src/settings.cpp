#include "settings.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cometspoke::settings {

Time from_ms(double ms) { return Time(static_cast<Time::rep>(std::llround(ms * 1000.0))); }
double to_ms(Time time) { return static_cast<double>(time.count()) / 1000.0; }

const Json& require_field(const Json& object, const char* name) {
    const auto found = object.find(name);
    if (found == object.end() || found->is_null()) throw InvalidInput(std::string("missing field ") + name);
    return *found;
}
Time time_or(const Json& object, const char* name, Time fallback) {
    return from_ms(value_or(object, name, to_ms(fallback)));
}

MessageId parse_message_id(const std::string& text) {
    if (text.size() != 16 || text.find_first_not_of("0123456789abcdef") != std::string::npos)
        throw InvalidInput("id is not 16 hex digits: " + text);
    return std::stoull(text, nullptr, 16);
}
std::string format_message_id(MessageId message) {
    static constexpr char digits[] = "0123456789abcdef";
    std::string text(16, '0');
    for (std::size_t i = 16; i-- > 0; message >>= 4) text[i] = digits[message & 15];
    return text;
}

std::size_t index_of(const Index& index, const std::string& name, const char* what) {
    const auto found = index.find(name);
    if (found == index.end()) throw InvalidInput(std::string("unknown ") + what + " " + name);
    return found->second;
}

namespace {

/// An entry of a list of names is either a string or an object with a name.
std::string entry_name(const Json& entry) {
    return entry.is_string() ? entry.get<std::string>() : required_value<std::string>(entry, "name");
}
/// Adds the names that `index` does not hold yet.
Index index_names(const Json& names, Index index = {}) {
    for (const Json& entry : names) index.emplace(entry_name(entry), index.size());
    return index;
}
constexpr double kMaxDeadlineMs = 1e10;  // about four months
constexpr double kMaxAttemptLimit = 1e9;

Time parse_deadline(const Json& fields) {
    // is_number() rejects booleans, which get<double>() would convert
    const Json& limit = require_field(fields, "hard_limit_ms");
    if (!limit.is_number() || !(limit.get<double>() > 0 && limit.get<double>() < kMaxDeadlineMs))
        throw InvalidInput("hard_limit_ms is not a positive number");
    return from_ms(limit.get<double>());
}
std::size_t parse_max_attempts(const Json& limits) {
    const Json& limit = require_field(limits, "max_attempts");
    if (!limit.is_number() || !(limit.get<double>() >= 1 && limit.get<double>() < kMaxAttemptLimit))
        throw InvalidInput("max_attempts is not a positive number");
    return limit.get<std::size_t>();
}

ClassSettings parse_class(const Json& fields) {
    ClassSettings result;
    const auto delivery = required_value<std::string>(fields, "effect");
    if (delivery != "retryable" && delivery != "dedup" && delivery != "fragile")
        throw InvalidInput("unknown effect " + delivery);
    result.delivery = delivery == "fragile" ? DeliverySemantics::AtMostOnce
                      : delivery == "dedup" ? DeliverySemantics::Deduplicated
                                            : DeliverySemantics::Retryable;
    const auto scope = value_or<std::string>(fields, "dedup_scope", "all");
    result.dedup_scope = scope == "all"    ? DedupScope::All
                         : scope == "zone" ? DedupScope::Zone
                                           : DedupScope::Endpoint;
    result.dedup_window = time_or(fields, "window_ms", Time(0));
    result.target_latency = from_ms(required_value<double>(fields, "aim_ms"));
    result.deadline = parse_deadline(fields);
    result.utility = value_or(fields, "worth", 1.0);
    result.late_utility = value_or(fields, "late_worth", 0.0);
    result.sequential = value_or(fields, "sequential", false);
    return result;
}

void read_limits(const Json& params, Settings& settings) {
    const Json& limits = require_field(params, "limits");
    settings.max_held_messages = required_value<std::size_t>(limits, "most_held");
    settings.max_attempts = parse_max_attempts(limits);
    settings.can_cancel = value_or(limits, "cancel", false);
    settings.connection_idle_limit = time_or(limits, "conn_idle_ms", Time(0));
    const Json& contract = require_field(params, "contract");
    settings.overload_window = time_or(contract, "fall_ms", Time(0));
    settings.warm_up_time = time_or(contract, "warm_within_ms", Time(0));
    settings.ambiguous_settle_time = time_or(contract, "settle_after_doubt_ms", Time(0));
    settings.overload_multiple = value_or(contract, "fall_multiple", settings.overload_multiple);
    settings.cold_capacity_share = value_or(contract, "cold_from", settings.cold_capacity_share);
}

/// `routes_apart` and `per_call` list their values in the order of `kinds`, and may be shorter.
void read_kinds(const Json& info, const Json& kinds, const Names& names, Settings& settings) {
    const Json empty = Json::array();
    const Json& limits_per_endpoint = info.contains("routes_apart") ? info["routes_apart"] : empty;
    const Json& max_messages = info.contains("per_call") ? info["per_call"] : empty;
    settings.kinds.resize(names.kinds.size());
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        KindSettings& kind = settings.kinds[names.kinds.at(entry_name(kinds[i]))];
        if (i < limits_per_endpoint.size()) kind.limits_per_endpoint = limits_per_endpoint[i].get<bool>();
        if (i < max_messages.size()) kind.max_messages_per_call = max_messages[i].get<std::size_t>();
    }
}
/// `carriage` lists the costs in the order of `zones`, and may be shorter.
std::vector<double> parse_zone_costs(const Json& info, const Json& zones, const Names& names) {
    const auto listed = value_or(info, "carriage", std::vector<double>());
    std::vector<double> costs(listed.empty() ? 0 : names.zones.size());
    for (std::size_t i = 0; i < std::min(listed.size(), zones.size()); ++i)
        costs[names.zones.at(entry_name(zones[i]))] = listed[i];
    return costs;
}

}  // namespace

Names parse_names(const Json& params, const Names& previous) {
    return {index_names(require_field(params, "classes")),
        index_names(value_or(params, "tenants", Json::array())),
        index_names(value_or(params, "localities", Json::array()), previous.zones),
        index_names(require_field(params, "kinds"), previous.kinds)};
}

Settings parse_settings(const Json& params, const Names& names) {
    Settings settings;
    for (const Json& entry : require_field(params, "classes")) settings.classes.push_back(parse_class(entry));
    for (const Json& entry : value_or(params, "tenants", Json::array()))
        settings.tenants.push_back({value_or(entry, "quota_per_s", 0.0)});
    const Json& info = require_field(params, "family_info");
    settings.max_calls = required_value<std::size_t>(info, "slots");
    read_kinds(info, require_field(params, "kinds"), names, settings);
    settings.zone_costs = parse_zone_costs(info, value_or(params, "localities", Json::array()), names);
    settings.late_decay = value_or<std::string>(info, "loses_worth", "linear") == "halving"
                              ? LateDecay::Halving
                              : LateDecay::Linear;
    read_limits(params, settings);
    settings.instance_count = required_value<std::size_t>(params, "n_instances");
    settings.must_subscribe = value_or<std::string>(params, "discovery", "automatic") == "subscribe";
    settings.listed_rates = value_or<std::string>(params, "weights", "off") != "off";
    settings.reservation_per_s = value_or(params, "floor_per_s", 0.0);
    settings.over_quota_utility = value_or(params, "over_share_worth", 1.0);
    settings.zones = names.zones.size();
    if (const auto zone = names.zones.find(value_or<std::string>(params, "az", ""));
        zone != names.zones.end())
        settings.zone = zone->second;
    return settings;
}

}  // namespace cometspoke::settings
