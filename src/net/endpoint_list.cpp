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

// The memory budget of one listed endpoint in the whole process, the decision module included: 310,000
// endpoints must fit beside 1,024 descriptors in 256 MB. list_bench shows the actual use, which was 1,024
// bytes when this budget was set: a list near the limit may still need more memory than there is.
constexpr std::size_t kMaxBytesPerEndpoint = 750;
// The memory that the read and write buffers of one descriptor may take.
constexpr std::size_t kMaxBytesPerDescriptor = 16 * 1024;
// Lists of this size were accepted before the limit depended on memory, and must stay acceptable.
constexpr std::size_t kMinEntryLimit = 20'000;
// The text of one entry with indentation and long names. The limit on the text must not be reached before the
// limit on the entries; it only stops a list that never ends.
constexpr std::uint64_t kMaxTextBytesPerEntry = 512;

Condition condition_of(const std::string& phase) {
    if (phase == "in_service") return Condition::Ready;
    return phase == "terminating" ? Condition::Draining : Condition::Removed;
}

}  // namespace

ListLimits list_limits(std::size_t memory_bytes, std::size_t descriptors) {
    const std::size_t connections = std::min(memory_bytes, descriptors * kMaxBytesPerDescriptor);
    ListLimits limits;
    limits.entries = std::max(kMinEntryLimit, (memory_bytes - connections) / kMaxBytesPerEndpoint);
    limits.bytes = limits.entries * kMaxTextBytesPerEntry;
    return limits;
}

EndpointRecord parse_endpoint(const Json& member) {
    EndpointRecord endpoint;
    endpoint.id = required_value<std::string>(member, "id");
    endpoint.condition = condition_of(required_value<std::string>(member, "phase"));
    // The removal of an endpoint must take effect even if its address is no longer valid.
    if (endpoint.condition == Condition::Ready)
        endpoint.address = tcp_endpoint(required_value<std::string>(member, "host_port"), "host_port");
    endpoint.zone = value_or<std::string>(member, "locality", "");
    endpoint.kind = value_or<std::string>(member, "flavor", "");
    endpoint.destination = required_value<std::int64_t>(member, "cell");
    endpoint.rate = value_or(member, "size", 0.0);
    return endpoint;
}

std::optional<EndpointRecord> parse_removed_endpoint(const Json& member) {
    if (!member.is_object() || !member.contains("id") || !member["id"].is_string()) return std::nullopt;
    EndpointRecord endpoint;
    endpoint.id = member["id"].get<std::string>();
    endpoint.has_place = false;
    return endpoint;
}

EndpointList parse_endpoint_list(const Json& body, std::size_t max_entries) {
    EndpointList list;
    list.revision = required_value<std::int64_t>(body, "revision");
    list.complete = required_value<bool>(body, "complete");
    const Json& members = require_field(body, "members");
    if (!members.is_array()) throw InvalidInput("members is not a list");
    if (members.size() > max_entries)
        throw InvalidInput("more than " + std::to_string(max_entries) + " entries");
    for (const Json& member : members) try {
            list.endpoints.push_back(parse_endpoint(member));
        } catch (const std::exception& error) {
            std::cerr << "discovery: passed over an entry: " << error.what() << '\n';
            list.all_entries_valid = false;
            if (auto removed = parse_removed_endpoint(member)) list.endpoints.push_back(std::move(*removed));
        }
    return list;
}

}  // namespace lockgw
