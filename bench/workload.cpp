#include "workload.hpp"

#include <cmath>

namespace cometspoke::bench {
namespace {

// A destination's endpoint ids start at its id times this.
constexpr std::size_t kMaxEndpointsPerDestination = 2;

std::size_t endpoint_count(EndpointsEach each, std::size_t destination) {
    switch (each) {
        case EndpointsEach::One:
            return 1;
        case EndpointsEach::Two:
            return 2;
        case EndpointsEach::OneOrTwo:
            return 1 + destination % 2;
    }
    return 1;
}

}  // namespace

Settings make_settings(const WorkloadOptions& options) {
    ClassSettings retryable;
    retryable.target_latency = Time(2'000'000);
    retryable.deadline = kDefaultDeadline;
    Settings settings;
    settings.classes = {retryable};
    settings.kinds.resize(1);
    settings.instance_count = options.forwarders;
    settings.max_calls = 64;
    settings.max_held_messages = options.most_held;
    settings.max_attempts = 8;
    settings.can_cancel = true;
    settings.listed_rates = options.listed_rates;
    settings.connection_idle_limit = Time(10'000'000);
    settings.overload_window = Time(2'000'000);
    settings.warm_up_time = Time(10'000'000);
    settings.ambiguous_settle_time = Time(300'000);
    settings.overload_multiple = 2.0;
    settings.cold_capacity_share = 0.2;
    return settings;
}

std::vector<EndpointId> endpoints_of(const WorkloadOptions& options, std::size_t destination) {
    std::vector<EndpointId> endpoints;
    for (std::size_t i = 0; i < endpoint_count(options.endpoints_each, destination); ++i)
        endpoints.push_back(static_cast<EndpointId>(destination * kMaxEndpointsPerDestination + i));
    return endpoints;
}

ListEvent make_list(const WorkloadOptions& options) {
    ListEvent list;
    for (std::size_t destination = 0; destination < options.destinations; ++destination)
        for (const EndpointId endpoint : endpoints_of(options, destination)) {
            ListEntry entry;
            entry.endpoint = endpoint;
            entry.destination = static_cast<DestinationId>(destination);
            entry.agreed_rate_per_s = options.listed_rates ? kListedCallsPerSecond : 0.0;
            list.entries.push_back(entry);
        }
    return list;
}

std::vector<EndpointModel> make_endpoints(const WorkloadOptions& options) {
    EndpointModel default_model;
    default_model.limit_per_s = options.listed_rates ? kListedCallsPerSecond : 0.0;
    std::vector<EndpointModel> models(options.destinations * kMaxEndpointsPerDestination, default_model);
    bool silent = false;
    for (const DestinationId destination : down_destinations(options.destinations, options.down_share)) {
        for (const EndpointId endpoint : endpoints_of(options, static_cast<std::size_t>(destination))) {
            EndpointModel& model = models[endpoint];
            model.down_from = options.down_from;
            model.down_until = options.down_until;
            model.down_mode = silent ? DownMode::NoResponse : DownMode::RefuseConnection;
        }
        silent = !silent;
    }
    return models;
}

std::vector<DestinationId> down_destinations(std::size_t destinations, double share) {
    std::vector<DestinationId> down;
    for (std::size_t i = 0; i < destinations; ++i) {
        const double before = std::floor(static_cast<double>(i) * share + 0.5);
        const double after = std::floor(static_cast<double>(i + 1) * share + 0.5);
        if (after > before) down.push_back(static_cast<DestinationId>(i));
    }
    return down;
}

MessageEvent make_message(MessageId message, DestinationId destination, Time time_left) {
    MessageEvent event;
    event.message = message;
    event.destination = destination;
    event.time_left = time_left;
    return event;
}

}  // namespace cometspoke::bench
