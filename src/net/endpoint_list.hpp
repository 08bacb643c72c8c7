/// The list of endpoints in discovery's format.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config.hpp"

namespace lockgw {

struct EndpointRecord {
    std::string id;
    Tcp::endpoint address;
    std::string zone, kind;
    std::int64_t destination = 0;
    double rate = 0.0;
    cometspoke::Condition condition = cometspoke::Condition::Removed;
    bool has_place = true;  ///< false if zone, kind and destination are not known
};
/// A list from discovery, or one batch of a long list.
struct EndpointList {
    std::int64_t revision = 0;
    bool complete = false;
    std::vector<EndpointRecord> endpoints;
    bool all_entries_valid = true;  ///< false if an entry was invalid
    bool has_more_batches = false;  ///< further batches of the same list follow
};

/// The limits on a list that follow from the configuration's limits.
struct ListLimits {
    std::size_t entries = 0;
    std::uint64_t bytes = 0;  ///< the size of the JSON text
};
ListLimits list_limits(std::size_t memory_bytes, std::size_t descriptors);

/// Parses one entry. Throws InvalidInput or a JSON error if it is invalid.
EndpointRecord parse_endpoint(const Json& member);
/// Returns a record that replaces an invalid entry: an endpoint that was removed, if the entry's id can be
/// read. The revision counts as received, so discovery would never send the entry again.
std::optional<EndpointRecord> parse_removed_endpoint(const Json& member);

/// Throws InvalidInput or a JSON error if the body is not a list.
EndpointList parse_endpoint_list(const Json& body, std::size_t max_entries);

}  // namespace lockgw
