#include "endpoint_list.hpp"

#include <algorithm>
#include <iostream>

namespace lockgw {

using cometspoke::Condition;
using cometspoke::settings::InvalidInput;
using cometspoke::settings::require_field;
using cometspoke::settings::required_value;
using cometspoke::settings::value_or;

namespace {

// Bytes of memory that one listed target may take in the whole process, the decision module included. A
// budget: 310,000 targets must fit beside 1,024 descriptors in 256 MB. list_bench shows what one takes, which
// was 1,024 when this was written: a list near the limit may still take more than there is.
constexpr std::size_t kMemoryOfTarget = 750;
// Memory that each descriptor may take for what is read and written on it.
constexpr std::size_t kMemoryOfDescriptor = 16 * 1024;
// A list of so many entries was taken before there was a limit by memory.
constexpr std::size_t kLeastEntries = 20'000;
// Text of one entry, indented and with long names: the limit on a list's text must not come before that on
// its entries, and only ends a list that never ends.
constexpr std::uint64_t kTextOfEntry = 512;

Condition condition_of(const std::string& phase) {
    if (phase == "in_service") return Condition::Ready;
    return phase == "terminating" ? Condition::Draining : Condition::Removed;
}

}  // namespace

ListLimits list_limits(std::size_t memory_bytes, std::size_t descriptors) {
    const std::size_t connections = std::min(memory_bytes, descriptors * kMemoryOfDescriptor);
    ListLimits limits;
    limits.entries = std::max(kLeastEntries, (memory_bytes - connections) / kMemoryOfTarget);
    limits.bytes = limits.entries * kTextOfEntry;
    return limits;
}

EndpointRecord parse_endpoint(const Json& member) {
    EndpointRecord target;
    target.id = required_value<std::string>(member, "id");
    target.condition = condition_of(required_value<std::string>(member, "phase"));
    // that a target goes must be heeded even where its address makes no sense any more
    if (target.condition == Condition::Ready)
        target.address = tcp_endpoint(required_value<std::string>(member, "host_port"), "host_port");
    target.zone = value_or<std::string>(member, "locality", "");
    target.kind = value_or<std::string>(member, "flavor", "");
    target.destination = required_value<std::int64_t>(member, "cell");
    target.rate = value_or(member, "size", 0.0);
    return target;
}

std::optional<EndpointRecord> parse_removed_endpoint(const Json& member) {
    if (!member.is_object() || !member.contains("id") || !member["id"].is_string()) return std::nullopt;
    EndpointRecord target;
    target.id = member["id"].get<std::string>();
    return target;
}

EndpointList parse_endpoint_list(const Json& body, std::size_t most_entries) {
    EndpointList list;
    list.revision = required_value<std::int64_t>(body, "revision");
    list.complete = required_value<bool>(body, "complete");
    const Json& members = require_field(body, "members");
    if (!members.is_array()) throw InvalidInput("members is not a list");
    if (members.size() > most_entries)
        throw InvalidInput("more than " + std::to_string(most_entries) + " entries");
    for (const Json& member : members) try {
            list.endpoints.push_back(parse_endpoint(member));
        } catch (const std::exception& bad) {
            std::cerr << "discovery: passed over an entry: " << bad.what() << '\n';
            list.all_entries_valid = false;
            if (auto gone = parse_removed_endpoint(member)) list.endpoints.push_back(std::move(*gone));
        }
    return list;
}

}  // namespace lockgw
