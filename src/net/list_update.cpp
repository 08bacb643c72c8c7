#include "list_update.hpp"

#include <boost/asio/post.hpp>
#include <utility>

namespace lockgw {

using cometspoke::Condition;

namespace {

constexpr std::size_t kDiscarded = 4096;  // entries freed in one turn

}  // namespace

ListUpdate::ListUpdate(EndpointDirectory& directory) : directory_(directory) {
    directory_.begin_comparison();
}

void ListUpdate::take(EndpointRecord target) {
    const bool same = directory_.compare(target);
    leaving_.erase(target.id);
    staying_.erase(target.id);
    if (same) return;
    Changed& changed = target.condition == Condition::Ready ? staying_ : leaving_;
    std::string id = target.id;
    changed.emplace(std::move(id), std::move(target));
}

void ListUpdate::finish(bool complete) {
    if (complete) missing_from_ = 0;
}

std::optional<EndpointList> ListUpdate::next() {
    EndpointList slice;
    if (!leaving_.empty()) {
        move_some(leaving_, slice);
    } else if (missing_from_) {
        slice.endpoints = directory_.missing(missing_from_, kSlice);
    } else if (!staying_.empty()) {
        move_some(staying_, slice);
    } else {
        return std::nullopt;
    }
    slice.has_more_batches = !leaving_.empty() || missing_from_ || !staying_.empty();
    return slice;
}

void ListUpdate::move_some(Changed& from, EndpointList& slice) {
    while (!from.empty() && slice.endpoints.size() < kSlice)
        slice.endpoints.push_back(std::move(from.extract(from.begin()).mapped()));
}

bool ListUpdate::discard_some() {
    for (std::size_t count = 0; count < kDiscarded && !leaving_.empty(); ++count)
        leaving_.erase(leaving_.begin());
    for (std::size_t count = 0; count < kDiscarded && !staying_.empty(); ++count)
        staying_.erase(staying_.begin());
    return !leaving_.empty() || !staying_.empty();
}

void ListUpdate::discard(boost::asio::io_context& io, std::shared_ptr<ListUpdate> update) {
    if (update && update->discard_some()) boost::asio::post(io, [&io, update] { discard(io, update); });
}

}  // namespace lockgw
