/// The operators' sizes as Settings, lists, endpoint models and messages.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cometspoke/sender.hpp"
#include "endpoint_model.hpp"

namespace cometspoke::bench {

constexpr std::size_t kForwarders = 730;
constexpr std::size_t kDestinations = 310'000;
constexpr double kMessagesPerSecond = 104.0;  // of one forwarder: 76,000 a second over kForwarders
constexpr double kDownShare = 0.043;          // of the destinations, at any time
constexpr double kListedRate = 5.0;           // calls a second, where rates are listed
constexpr Time kUsualDeadline{20'000'000};

enum class EndpointsEach { One, Two, OneOrTwo };

struct WorkloadOptions {
    std::size_t destinations = 1000;
    EndpointsEach endpoints_each = EndpointsEach::OneOrTwo;
    std::size_t forwarders = kForwarders;  ///< as the Sender is told
    std::size_t most_held = 1'000'000;
    bool listed_rates = false;  ///< each destination lists kListedRate, and each endpoint holds to it
    double down_share = 0.0;
    Time down_from{0};
    Time down_until = kNever;
};

/// Settings as an operator would choose them: 64 slots, one retryable class.
Settings make_settings(const WorkloadOptions& options);

/// The endpoints of a destination.
std::vector<EndpointId> endpoints_of(const WorkloadOptions& options, std::size_t destination);

/// The whole list.
ListEvent make_list(const WorkloadOptions& options);

/// The models by endpoint id. Down destinations refuse connections or are silent, by turns.
std::vector<EndpointModel> make_endpoints(const WorkloadOptions& options);

/// The destinations that are down for a time: `share` of them, spread evenly over the ids. Where the share is
/// under a half the last destination is not among them.
std::vector<DestinationId> down_destinations(std::size_t destinations, double share);

/// A message of the one class, to be given up after `left`.
MessageEvent make_message(MessageId message, DestinationId destination, Time left = kUsualDeadline);

}  // namespace cometspoke::bench
