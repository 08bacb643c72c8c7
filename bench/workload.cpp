#include "workload.hpp"

#include <cmath>

namespace cometspoke::bench {

Settings make_settings(const WorkloadOptions& options) {
    ClassSettings retryable;
    retryable.aim = Time(2'000'000);
    retryable.deadline = Time(20'000'000);
    Settings settings;
    settings.classes = {retryable};
    settings.kinds.resize(1);
    settings.n_instances = options.forwarders;
    settings.slots = 64;
    settings.most_held = options.most_held;
    settings.max_attempts = 8;
    settings.cancel = true;
    settings.listed_rates = options.listed_rates;
    settings.conn_idle = Time(10'000'000);
    settings.fall = Time(2'000'000);
    settings.warm_within = Time(10'000'000);
    settings.settle_after_doubt = Time(300'000);
    settings.fall_multiple = 2.0;
    settings.cold_from = 0.2;
    return settings;
}

ListEvent make_list(const WorkloadOptions& options) {
    ListEvent list;
    list.entries.reserve(options.destinations * options.endpoints_each);
    for (std::size_t i = 0; i < options.destinations * options.endpoints_each; ++i) {
        ListEntry entry;
        entry.endpoint = static_cast<EndpointId>(i);
        entry.destination = static_cast<DestinationId>(i / options.endpoints_each);
        entry.rate = options.listed_rates ? kListedRate : 0.0;
        list.entries.push_back(entry);
    }
    return list;
}

std::vector<EndpointModel> make_endpoints(const WorkloadOptions& options) {
    std::vector<EndpointModel> models(options.destinations * options.endpoints_each);
    std::size_t down = 0;
    for (std::size_t i = 0; i < models.size(); ++i) {
        if (options.listed_rates) models[i].limit_per_s = kListedRate;
        if (!is_down(options, i / options.endpoints_each)) continue;
        models[i].down_from = Time(0);
        models[i].down_mode = ++down % 2 == 0 ? DownMode::Silent : DownMode::RefusesConnection;
    }
    return models;
}

bool is_down(const WorkloadOptions& options, std::size_t destination) {
    const double before = std::floor(static_cast<double>(destination) * options.down_share);
    return std::floor(static_cast<double>(destination + 1) * options.down_share) > before;
}

std::vector<DestinationId> down_destinations(const WorkloadOptions& options) {
    std::vector<DestinationId> down;
    for (std::size_t i = 0; i < options.destinations; ++i)
        if (is_down(options, i)) down.push_back(static_cast<DestinationId>(i));
    return down;
}

MessageEvent make_message(MessageId message, DestinationId destination, Time left) {
    MessageEvent event;
    event.message = message;
    event.destination = destination;
    event.left = left;
    return event;
}

}  // namespace cometspoke::bench
