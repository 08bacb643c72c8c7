/// The operators' sizes as Settings, lists, endpoint models and messages.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cometspoke/sender.hpp"
#include "endpoint_model.hpp"

namespace cometspoke::bench {

constexpr double kMessagesPerSecond = 104.0;  // of one forwarder: 76,000 a second over 730
constexpr double kDownShare = 0.043;          // of the endpoints, at any time
constexpr std::size_t kForwarders = 730;
constexpr double kListedRate = 5.0;  // calls a second, where rates are listed

struct WorkloadOptions {
    std::size_t destinations = 1000;
    std::size_t endpoints_each = 1;
    std::size_t forwarders = kForwarders;
    std::size_t most_held = 1'000'000;
    bool listed_rates = false;
    double down_share = 0.0;
};

/// Settings as an operator would choose them: 64 slots, one retryable class.
Settings make_settings(const WorkloadOptions& options);

/// The whole list. The endpoints of destination d are d * endpoints_each and those after it.
ListEvent make_list(const WorkloadOptions& options);

/// One model for each listed endpoint. Those of down destinations refuse connections or are silent, by turns.
std::vector<EndpointModel> make_endpoints(const WorkloadOptions& options);

/// Whether a destination is among the share that is down: spread evenly over the ids.
bool is_down(const WorkloadOptions& options, std::size_t destination);

/// The destinations that are down.
std::vector<DestinationId> down_destinations(const WorkloadOptions& options);

/// A message of the one class, to be given up after `left`.
MessageEvent make_message(MessageId message, DestinationId destination, Time left = Time(20'000'000));

}  // namespace cometspoke::bench
