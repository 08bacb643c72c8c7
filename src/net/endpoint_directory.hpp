/// The known endpoints with their ids for the decision module, and the destinations that lists have named.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "endpoint_list.hpp"

namespace lockgw {

class EndpointDirectory {
public:
    using Clock = std::chrono::steady_clock;

    /// Returns the endpoint's id and assigns a new one if it has none. Ids are never reused: an outcome of a
    /// removed endpoint must not count for another one.
    cometspoke::EndpointId id_of(const std::string& name);
    std::optional<cometspoke::EndpointId> find(const std::string& name) const;
    const std::string* name_of(cometspoke::EndpointId id) const;
    void forget(cometspoke::EndpointId id);
    /// Whether any list has named it, even if it was removed since or its entry was skipped.
    bool ever_listed(const std::string& name) const;
    void remember(const std::string& name);
    const std::set<std::string>& former_names() const { return former_names_; }

    /// Applies a list from discovery. Returns the ids of the endpoints that are no longer listed.
    std::set<cometspoke::EndpointId> apply(const EndpointList& update, Clock::time_point now);
    /// The number of listed endpoints.
    std::size_t size() const { return listed_count_; }
    /// The listed record of an endpoint, or nothing if it is not listed.
    std::optional<EndpointRecord> record_of(const std::string& name) const;
    /// The records of all listed endpoints.
    std::vector<EndpointRecord> records() const;
    /// The record of an endpoint as it was last listed, with the condition Removed if it is not listed any
    /// more, or nothing if its place is not known: an endpoint may be known by its name alone.
    std::optional<EndpointRecord> last_record_of(const std::string& name) const;
    /// The last records of all endpoints that are not listed any more and not forgotten yet.
    std::vector<EndpointRecord> removed_records() const;
    /// Adds an endpoint that is not listed any more, as it was last listed.
    void add_removed(const EndpointRecord& endpoint);

    /// Starts a comparison with a list that is arriving and has not been applied yet.
    void begin_comparison() { ++comparison_; }
    /// Whether an entry of that list equals what is listed already. Marks the endpoint as named by the list.
    bool compare(const EndpointRecord& endpoint);
    /// Examines `count` ids from `from` on and returns the listed endpoints that the arriving list has not
    /// named, with the condition Removed. `from` advances, and is empty once all ids have been examined.
    std::vector<EndpointRecord> missing(std::optional<cometspoke::EndpointId>& from, std::size_t count) const;

    /// Whether messages for the destination are valid: it has endpoints, or had some a short time ago.
    bool has_destination(std::int64_t destination, Clock::time_point now) const;
    /// True until a list names an endpoint.
    bool empty() const { return endpoint_counts_.empty() && empty_since_.empty(); }

private:
    /// Kept small because there may be hundreds of thousands.
    struct Entry {
        std::string name;
        std::int64_t destination = 0;
        bool listed = false;
        Tcp::endpoint address{};
        const std::string* zone = nullptr;  // points into zone_and_kind_names_; null: its place is not known
        const std::string* kind = nullptr;
        double rate = 0.0;
        cometspoke::Condition condition = cometspoke::Condition::Removed;
        std::uint32_t last_comparison = 0;  // the last comparison whose list named it
    };

    void set_place(Entry& entry, const EndpointRecord& endpoint);
    void set_listed(Entry& entry, const EndpointRecord& endpoint);
    void set_unlisted(Entry& entry, Clock::time_point now);
    void remove_from_destination(std::int64_t destination, Clock::time_point now);
    void forget_empty_destinations(Clock::time_point now);
    static EndpointRecord record_of(const Entry& entry);

    std::map<std::string_view, cometspoke::EndpointId> ids_;  // the keys refer to the names in entries_
    std::map<cometspoke::EndpointId, Entry> entries_;
    std::set<std::string> zone_and_kind_names_;  // the few zones and kinds that the settings name
    std::set<std::string> former_names_;         // named by some list, but without an id now
    cometspoke::EndpointId next_id_ = 0;
    std::size_t listed_count_ = 0;
    std::uint32_t comparison_ = 0;
    /// The number of listed endpoints of each destination that has any.
    std::map<std::int64_t, std::size_t> endpoint_counts_;
    /// When the last endpoint of a destination was removed.
    std::map<std::int64_t, Clock::time_point> empty_since_;
    /// The same times, oldest first.
    std::deque<std::pair<Clock::time_point, std::int64_t>> empty_destinations_by_age_;
};

}  // namespace lockgw
