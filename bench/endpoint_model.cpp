#include "endpoint_model.hpp"

#include <algorithm>
#include <utility>

namespace cometspoke::bench {
namespace {

constexpr Time kRoundTrip{500};  // within one data centre: a refusal takes no longer

std::size_t second_of(Time now) { return static_cast<std::size_t>(now / Time(1'000'000)); }

}  // namespace

EndpointFarm::EndpointFarm(std::vector<EndpointModel> models) : models_(std::move(models)) {}

bool EndpointFarm::is_down(EndpointId endpoint, Time now) const {
    const EndpointModel& model = models_.at(endpoint);
    return now >= model.down_from && now < model.down_until;
}

Reply EndpointFarm::call(EndpointId endpoint, Time now, Time time_out) {
    const EndpointModel& model = models_.at(endpoint);
    const std::size_t second = second_of(now);
    if (seconds_.size() <= second) seconds_.resize(second + 1);
    SecondCounts& counts = seconds_[second];
    Window& window = window_of(endpoint, second);
    ++counts.calls;
    ++window.calls;
    counts.most_at_one = std::max<std::uint64_t>(counts.most_at_one, window.calls);
    if (is_down(endpoint, now)) {
        ++counts.to_down;
        return down_reply(model, time_out);
    }
    if (model.limit_per_s > 0 && window.served + 1 > model.limit_per_s) {
        ++counts.turned_away;
        return {Outcome::Rejected, kRoundTrip, LoadReport{0.0, model.limit_per_s}};
    }
    ++window.served;
    if (model.service_time >= time_out) return {Outcome::TimedOut, time_out, std::nullopt};
    ++counts.served;
    Reply reply{Outcome::Delivered, model.service_time, std::nullopt};
    if (model.limit_per_s > 0)
        reply.report = LoadReport{1.0 - window.served / model.limit_per_s, model.limit_per_s};
    return reply;
}

EndpointFarm::Window& EndpointFarm::window_of(EndpointId endpoint, std::size_t second) {
    Window& window = windows_[endpoint];
    if (window.second != second) window = Window{second, 0, 0};
    return window;
}

Reply EndpointFarm::down_reply(const EndpointModel& model, Time time_out) const {
    if (model.down_mode == DownMode::Silent) return {Outcome::TimedOut, time_out, std::nullopt};
    return {Outcome::ConnectFailed, kRoundTrip, std::nullopt};
}

}  // namespace cometspoke::bench
