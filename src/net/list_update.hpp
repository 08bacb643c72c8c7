/// What a long list changes in what is known, found while it arrives and told in slices.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "endpoint_directory.hpp"
#include "endpoint_list.hpp"

namespace lockgw {

/// Until finish() nothing has changed, and the whole can be dropped. Until the last slice is told the
/// directory must hear of no other list.
class ListUpdate {
public:
    /// Entries of a slice: what follows from one must take a few milliseconds at most.
    static constexpr std::size_t kSlice = 512;

    explicit ListUpdate(EndpointDirectory& directory);

    /// An entry; a later one of the same target takes its place.
    void take(EndpointRecord target);
    /// It has all arrived. `complete`: what it does not name has gone.
    void finish(bool complete);
    /// What to tell next, drains and what has gone first; none once all has been told. At most kSlice
    /// entries, and perhaps none.
    std::optional<EndpointList> next();

    /// Frees it over several turns of the loop: a list of hundreds of thousands takes a while.
    static void discard(boost::asio::io_context& io, std::shared_ptr<ListUpdate> update);

private:
    using Changed = std::map<std::string, EndpointRecord>;

    static void move_some(Changed& from, EndpointList& slice);
    bool discard_some();

    EndpointDirectory& directory_;
    Changed leaving_;  ///< drains, and entries that say that a target has gone
    Changed staying_;
    std::optional<cometspoke::EndpointId> missing_from_;  ///< numbers from there on may have gone unnamed
};

}  // namespace lockgw
