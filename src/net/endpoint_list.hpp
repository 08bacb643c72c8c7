/// The list of targets in discovery's form.
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
};
/// A list as it was told, or one slice of a long one.
struct EndpointList {
    std::int64_t revision = 0;
    bool complete = false;
    std::vector<EndpointRecord> endpoints;
    bool all_entries_valid = true;  ///< each entry made sense
    bool has_more_batches = false;  ///< further slices of the same list follow
};

/// What the limits of the configuration allow a list to hold.
struct ListLimits {
    std::size_t entries = 0;
    std::uint64_t bytes = 0;  ///< of its text
};
ListLimits list_limits(std::size_t memory_bytes, std::size_t descriptors);

/// One entry; throws InvalidInput or a JSON error where it makes no sense.
EndpointRecord parse_endpoint(const Json& member);
/// What stands for an entry that makes no sense: a target that has gone, as far as its id can be read. Its
/// revision counts as told, and it would never be sent again.
std::optional<EndpointRecord> parse_removed_endpoint(const Json& member);

/// Throws InvalidInput or a JSON error where it is no list.
EndpointList parse_endpoint_list(const Json& body, std::size_t most_entries);

}  // namespace lockgw
