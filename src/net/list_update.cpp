#include "list_update.hpp"

#include <boost/asio/post.hpp>
#include <utility>

namespace lockgw {

using cometspoke::Condition;

namespace {

constexpr std::size_t kMaxFreedEntries = 4096;  // of each map, in one event-loop iteration

}  // namespace

ListUpdate::ListUpdate(EndpointDirectory& directory) : directory_(directory) {
    directory_.begin_comparison();
}

void ListUpdate::take(EndpointRecord endpoint) {
    const bool same = directory_.compare(endpoint);
    withdrawn_.erase(endpoint.id);
    available_.erase(endpoint.id);
    if (same) return;
    Changes& changed = endpoint.condition == Condition::Ready ? available_ : withdrawn_;
    std::string id = endpoint.id;
    changed.emplace(std::move(id), std::move(endpoint));
}

void ListUpdate::finish(bool complete) {
    if (complete) next_unchecked_id_ = 0;
}

std::optional<EndpointList> ListUpdate::next() {
    EndpointList batch;
    if (!withdrawn_.empty()) {
        move_batch(withdrawn_, batch);
    } else if (next_unchecked_id_) {
        batch.endpoints = directory_.missing(next_unchecked_id_, kMaxBatchEntries);
    } else if (!available_.empty()) {
        move_batch(available_, batch);
    } else {
        return std::nullopt;
    }
    batch.has_more_batches = !withdrawn_.empty() || next_unchecked_id_ || !available_.empty();
    return batch;
}

void ListUpdate::move_batch(Changes& from, EndpointList& batch) {
    while (!from.empty() && batch.endpoints.size() < kMaxBatchEntries)
        batch.endpoints.push_back(std::move(from.extract(from.begin()).mapped()));
}

bool ListUpdate::free_some() {
    for (std::size_t count = 0; count < kMaxFreedEntries && !withdrawn_.empty(); ++count)
        withdrawn_.erase(withdrawn_.begin());
    for (std::size_t count = 0; count < kMaxFreedEntries && !available_.empty(); ++count)
        available_.erase(available_.begin());
    return !withdrawn_.empty() || !available_.empty();
}

void ListUpdate::discard(boost::asio::io_context& io, std::shared_ptr<ListUpdate> update) {
    if (update && update->free_some()) boost::asio::post(io, [&io, update] { discard(io, update); });
}

}  // namespace lockgw
