/// Which targets there are: their numbers for the module, and which destinations the list has named.
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

    /// The target's number, a new one where it has none. Numbers are never used twice: an outcome of a target
    /// that has gone must not count for another.
    cometspoke::EndpointId id_of(const std::string& name);
    std::optional<cometspoke::EndpointId> find(const std::string& name) const;
    const std::string* name_of(cometspoke::EndpointId number) const;
    void forget(cometspoke::EndpointId number);
    /// Some list has named it, also where it has gone or was passed over.
    bool ever_listed(const std::string& name) const;
    void remember(const std::string& name);
    const std::set<std::string>& former_names() const { return former_; }

    /// Takes what discovery tells; returns the numbers of those that are no longer listed.
    std::set<cometspoke::EndpointId> apply(const EndpointList& told, Clock::time_point now);
    /// How many are listed.
    std::size_t size() const { return listed_; }
    /// As it is listed; none where it is not.
    std::optional<EndpointRecord> record_of(const std::string& name) const;
    /// All that are listed.
    std::vector<EndpointRecord> records() const;

    /// A list begins to arrive that has not been told yet.
    void begin_comparison() { ++comparison_; }
    /// Whether an entry of that list says what is listed already.
    bool compare(const EndpointRecord& target);
    /// Targets that are listed and that it has not named, looked for among `count` numbers from `from` on, as
    /// gone. `from` moves on, and is none once all numbers have been looked at.
    std::vector<EndpointRecord> missing(std::optional<cometspoke::EndpointId>& from, std::size_t count) const;

    /// Whether a message for it makes sense: it has targets, or had some not long ago.
    bool has_destination(std::int64_t destination, Clock::time_point now) const;
    /// No list has named any target so far.
    bool empty() const { return targets_.empty() && deserted_.empty(); }

private:
    /// Short: there may be hundreds of thousands.
    struct Entry {
        std::string name;
        std::optional<std::int64_t> destination{};  // while it is listed
        Tcp::endpoint address{};
        const std::string* zone = nullptr;  // one of texts_
        const std::string* kind = nullptr;
        double rate = 0.0;
        cometspoke::Condition condition = cometspoke::Condition::Removed;
        std::uint32_t named_in = 0;  // the last comparison that named it
    };

    void list(Entry& entry, const EndpointRecord& target);
    void unlist(Entry& entry, Clock::time_point now);
    void leave(std::int64_t destination, Clock::time_point now);
    void forget_deserted(Clock::time_point now);
    static EndpointRecord record_of(const Entry& entry);

    std::map<std::string_view, cometspoke::EndpointId> numbers_;  // by the names in entries_
    std::map<cometspoke::EndpointId, Entry> entries_;
    std::set<std::string> texts_;   // of zones and kinds: the few that the settings name
    std::set<std::string> former_;  // named by some list, and without a number now
    cometspoke::EndpointId next_ = 0;
    std::size_t listed_ = 0;
    std::uint32_t comparison_ = 0;
    std::map<std::int64_t, std::size_t> targets_;         // by destination, of those that have any
    std::map<std::int64_t, Clock::time_point> deserted_;  // when a destination's last target went
    std::deque<std::pair<Clock::time_point, std::int64_t>> deserted_order_;  // the same, oldest first
};

}  // namespace lockgw
