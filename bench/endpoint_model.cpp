#include "endpoint_model.hpp"

#include <algorithm>
#include <utility>

namespace cometspoke::bench {
namespace {

constexpr Time kRoundTripTime{500};  // within one data centre; a refusal takes no longer

std::size_t second_of(Time now) { return static_cast<std::size_t>(now / Time(1'000'000)); }

}  // namespace

ModelEndpoints::ModelEndpoints(std::vector<EndpointModel> models) : models_(std::move(models)) {}

bool ModelEndpoints::is_down(EndpointId endpoint, Time now) const {
    const EndpointModel& model = models_.at(endpoint);
    return now >= model.down_from && now < model.down_until;
}

CallResult ModelEndpoints::call(EndpointId endpoint, Time now, Time timeout) {
    const EndpointModel& model = models_.at(endpoint);
    const std::size_t second = second_of(now);
    if (seconds_.size() <= second) seconds_.resize(second + 1);
    SecondCounts& counts = seconds_[second];
    EndpointWindow& window = window_of(endpoint, second);
    ++counts.calls;
    ++window.calls;
    counts.most_at_one = std::max<std::uint64_t>(counts.most_at_one, window.calls);
    if (is_down(endpoint, now)) {
        ++counts.to_down;
        return down_result(model, timeout);
    }
    if (model.limit_per_s > 0 && window.served + 1 > model.limit_per_s) {
        ++counts.turned_away;
        return {Outcome::Rejected, kRoundTripTime, LoadReport{0.0, model.limit_per_s}};
    }
    ++window.served;
    if (model.service_time >= timeout) return {Outcome::TimedOut, timeout, std::nullopt};
    ++counts.served;
    CallResult result{Outcome::Delivered, model.service_time, std::nullopt};
    if (model.limit_per_s > 0)
        result.report = LoadReport{1.0 - window.served / model.limit_per_s, model.limit_per_s};
    return result;
}

ModelEndpoints::EndpointWindow& ModelEndpoints::window_of(EndpointId endpoint, std::size_t second) {
    EndpointWindow& window = windows_[endpoint];
    if (window.second != second) window = EndpointWindow{second, 0, 0};
    return window;
}

CallResult ModelEndpoints::down_result(const EndpointModel& model, Time timeout) const {
    if (model.down_mode == DownMode::NoResponse) return {Outcome::TimedOut, timeout, std::nullopt};
    return {Outcome::ConnectFailed, kRoundTripTime, std::nullopt};
}

}  // namespace cometspoke::bench
