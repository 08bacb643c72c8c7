/// Determines the changes that a long list makes while it arrives, and returns them in batches.
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

/// The directory does not change until finish(), so an unfinished update can be dropped. No other list may be
/// applied to the directory until the last batch has been.
class ListUpdate {
public:
    /// Applying one batch must take a few milliseconds at most.
    static constexpr std::size_t kMaxBatchEntries = 512;

    explicit ListUpdate(EndpointDirectory& directory);

    /// Adds an entry. It replaces an earlier one of the same endpoint.
    void take(EndpointRecord endpoint);
    /// Ends the list. If it is `complete`, endpoints that it does not name are removed.
    void finish(bool complete);
    /// Returns the next batch, or nothing after the last one. Draining and removed endpoints come first. A
    /// batch has at most kMaxBatchEntries entries and may be empty.
    std::optional<EndpointList> next();

    /// Frees an update over several event-loop iterations: hundreds of thousands of entries take a while.
    static void discard(boost::asio::io_context& io, std::shared_ptr<ListUpdate> update);

private:
    using Changes = std::map<std::string, EndpointRecord>;

    static void move_batch(Changes& from, EndpointList& batch);
    bool free_some();

    EndpointDirectory& directory_;
    Changes withdrawn_;  ///< endpoints that drain or were removed
    Changes available_;
    /// The ids from here on are not checked yet for endpoints that the list does not name.
    std::optional<cometspoke::EndpointId> next_unchecked_id_;
};

}  // namespace lockgw
