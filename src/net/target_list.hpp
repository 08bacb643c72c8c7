/// The list of targets in discovery's form.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config.hpp"

namespace lockgw {

struct Target {
    std::string id;
    Tcp::endpoint address;
    std::string zone, kind;
    std::int64_t destination = 0;
    double rate = 0.0;
    cometspoke::Condition condition = cometspoke::Condition::Gone;
};
/// A list as it was told, or one slice of a long one.
struct TargetList {
    std::int64_t revision = 0;
    bool complete = false;
    std::vector<Target> targets;
    bool all_read = true;  ///< each entry made sense
    bool more = false;     ///< further slices of the same list follow
};

/// What the limits of the configuration allow a list to hold.
struct ListLimits {
    std::size_t entries = 0;
    std::uint64_t bytes = 0;  ///< of its text
};
ListLimits list_limits(std::size_t memory_bytes, std::size_t descriptors);

/// One entry; throws BadInput or a JSON error where it makes no sense.
Target target_of(const Json& member);
/// What stands for an entry that makes no sense: a target that has gone, as far as its id can be read. Its
/// revision counts as told, and it would never be sent again.
std::optional<Target> gone_target_of(const Json& member);

/// Throws BadInput or a JSON error where it is no list.
TargetList list_of(const Json& body, std::size_t most_entries);

}  // namespace lockgw
