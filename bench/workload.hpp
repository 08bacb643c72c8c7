/// Settings, lists, endpoint models and messages at the sizes that operators run.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cometspoke/sender.hpp"
#include "endpoint_model.hpp"

namespace cometspoke::bench {

constexpr std::size_t kForwarders = 730;
constexpr std::size_t kDestinations = 310'000;
constexpr double kMessagesPerSecond = 104.0;   // per forwarder: 76,000 per second over kForwarders
constexpr double kDownShare = 0.043;           // share of the destinations that is down at any time
constexpr double kListedCallsPerSecond = 5.0;  // rate limit per destination, if rates are listed
constexpr Time kDefaultDeadline{20'000'000};

enum class EndpointsEach { One, Two, OneOrTwo };

struct WorkloadOptions {
    std::size_t destinations = 1000;
    EndpointsEach endpoints_each = EndpointsEach::OneOrTwo;
    std::size_t forwarders = kForwarders;  ///< fleet size in the Settings of the Sender
    std::size_t most_held = 1'000'000;
    /// Each destination lists kListedCallsPerSecond, and each endpoint enforces it.
    bool listed_rates = false;
    double down_share = 0.0;
    Time down_from{0};
    Time down_until = kNever;
};

/// Settings as an operator would choose them: 64 slots and one retryable class.
Settings make_settings(const WorkloadOptions& options);

/// The endpoint ids of a destination.
std::vector<EndpointId> endpoints_of(const WorkloadOptions& options, std::size_t destination);

/// The full list of all endpoints.
ListEvent make_list(const WorkloadOptions& options);

/// The models, indexed by endpoint id. Down destinations alternately refuse connections and do not respond.
std::vector<EndpointModel> make_endpoints(const WorkloadOptions& options);

/// The destinations that have an outage: `share` of them, spread evenly over the ids. If the share is below a
/// half, the last destination is not among them.
std::vector<DestinationId> down_destinations(std::size_t destinations, double share);

/// A message of the only class, whose deadline is `time_left` from now.
MessageEvent make_message(MessageId message, DestinationId destination, Time time_left = kDefaultDeadline);

}  // namespace cometspoke::bench
