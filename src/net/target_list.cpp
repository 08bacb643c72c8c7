#include "target_list.hpp"

#include <algorithm>
#include <iostream>

namespace lockgw {

using cometspoke::Condition;
using cometspoke::settings::BadInput;
using cometspoke::settings::field;
using cometspoke::settings::need;
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
    return phase == "terminating" ? Condition::Draining : Condition::Gone;
}

}  // namespace

ListLimits list_limits(std::size_t memory_bytes, std::size_t descriptors) {
    const std::size_t connections = std::min(memory_bytes, descriptors * kMemoryOfDescriptor);
    ListLimits limits;
    limits.entries = std::max(kLeastEntries, (memory_bytes - connections) / kMemoryOfTarget);
    limits.bytes = limits.entries * kTextOfEntry;
    return limits;
}

Target target_of(const Json& member) {
    Target target;
    target.id = field<std::string>(member, "id");
    target.condition = condition_of(field<std::string>(member, "phase"));
    // that a target goes must be heeded even where its address makes no sense any more
    if (target.condition == Condition::Ready)
        target.address = tcp_endpoint(field<std::string>(member, "host_port"), "host_port");
    target.zone = value_or<std::string>(member, "locality", "");
    target.kind = value_or<std::string>(member, "flavor", "");
    target.destination = field<std::int64_t>(member, "cell");
    target.rate = value_or(member, "size", 0.0);
    return target;
}

std::optional<Target> gone_target_of(const Json& member) {
    if (!member.is_object() || !member.contains("id") || !member["id"].is_string()) return std::nullopt;
    Target target;
    target.id = member["id"].get<std::string>();
    return target;
}

TargetList list_of(const Json& body, std::size_t most_entries) {
    TargetList list;
    list.revision = field<std::int64_t>(body, "revision");
    list.complete = field<bool>(body, "complete");
    const Json& members = need(body, "members");
    if (!members.is_array()) throw BadInput("members is not a list");
    if (members.size() > most_entries)
        throw BadInput("more than " + std::to_string(most_entries) + " entries");
    for (const Json& member : members) try {
            list.targets.push_back(target_of(member));
        } catch (const std::exception& bad) {
            std::cerr << "discovery: passed over an entry: " << bad.what() << '\n';
            list.all_read = false;
            if (auto gone = gone_target_of(member)) list.targets.push_back(std::move(*gone));
        }
    return list;
}

}  // namespace lockgw
