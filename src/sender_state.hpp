/// The state that the decision module (sender.cpp) keeps of limits, endpoints, destinations, messages and
/// calls.
///
/// These structs hold data and decide nothing. A time of kLongAgo was never set. The fields that another
/// process of the same sender takes over are listed in learned_state_fields.hpp. Only sender.cpp includes
/// this header: the unnamed namespace keeps the structs private to it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "cometspoke/sender.hpp"
#include "counted_values.hpp"
#include "time_math.hpp"

namespace cometspoke {
namespace {

/// Unhealthy: silent or failing, and only probed. Recovering: it takes calls again, at a rate that rises
/// slowly.
enum class Health { Healthy, Unhealthy, Recovering };

/// The own limit of this sender, shared by all endpoints of a destination, or of one endpoint where
/// KindSettings::limits_per_endpoint is set.
struct RateLimiter {
    Time retry_after_until{kLongAgo};  ///< end of the longest retry-after received
    Time limit_tag{kLongAgo};          ///< mClock tag L
    double known_limit_per_s = 0.0;    ///< calls a second from all senders, listed or reported; 0: none known
    double share = 0.0;          ///< own share in fair shares; 0: no refusal yet, so it is the whole limit
    int refusals = 0;            ///< times that the share was lowered since the last success
    double share_ceiling = 1.0;  ///< the share rises fast up to here, just below where it was refused
    Time share_changed_at{kLongAgo};
    double share_before_refusals = 0.0;    ///< as of the last success
    double ceiling_before_refusals = 1.0;  ///< as of the last success
};

struct Endpoint {
    DestinationId destination = 0;
    std::optional<std::size_t> zone{};  ///< empty if it is not known
    std::size_t kind = 0;
    Condition condition = Condition::Removed;
    RateLimiter own_limiter;             ///< used where KindSettings::limits_per_endpoint is set
    int in_flight = 0;                   ///< calls
    std::vector<Time> idle_connections;  ///< when each of them closes
    Time last_sent_at{kLongAgo};
    Time last_outcome_at{kLongAgo};  ///< of the outcomes that count for health
    bool frequently_used = false;    ///< the last call came soon after the one before it
    Health health = Health::Healthy;
    bool failure_seen = false;   ///< since it was marked unhealthy
    double failure_share = 0.0;  ///< weighted share of the calls that fail
    int refusals_in_row = 0;
    Time last_success_at{kLongAgo}, last_refusal_at{kLongAgo}, connection_lost_at{kLongAgo},
        connect_refused_at{kLongAgo};
    Time unhealthy_since{kLongAgo};
    double informed_share = 1.0;  ///< share of the senders that know of the outage
    Time recovering_since{0};     ///< first success after an outage, or the end of its retry-after
    Time recovery_tag{kLongAgo};  ///< mClock tag L of the recovery budget, used while it is not healthy
};

struct Destination {
    RateLimiter shared_limiter;
    std::set<EndpointId> endpoints;           ///< those that are listed
    std::size_t endpoint_count = 0;           ///< with those that are no longer listed but not yet released
    std::map<std::uint64_t, MessageId> held;  ///< by arrival; a message with an open attempt stays in place
    CountedValues<Time> target_latencies;     ///< of the held messages
    std::size_t safe_probes = 0;              ///< held messages that can probe an endpoint at little risk
    double weight = 1.0;                      ///< w of mClock: the listed rate, if there is one
    Time reservation_tag{kLongAgo};           ///< mClock tag R
    Time share_tag{kLongAgo};                 ///< mClock tag P, while no message is held
    int in_flight = 0;                        ///< calls
    double typical_latency_s = 0.0;           ///< moving average; 0: not known
    double arrival_rate_per_s = 0;            ///< own messages a second, as of the last one
    Time last_arrival_at{kLongAgo};
    double success_rate_per_s = 0;  ///< own successes a second, as of the last one
    /// The highest success rate in about kLearnedStateLifetime: the rate during an outage says nothing about
    /// what the destination can take.
    double peak_success_rate_per_s = 0;
    Time first_success_at{kLongAgo}, last_success_at{kLongAgo};
};

struct Message {
    std::shared_ptr<const ClassSettings> class_settings;  ///< as they were when the message was accepted
    DestinationId destination = 0;
    std::uint64_t arrival_number = 0;
    std::optional<std::uint64_t> key;
    Time accepted_at{0}, deadline{0};
    Time not_before{kLongAgo};  ///< end of the pause after a failed attempt
    bool over_quota = false;
    std::uint32_t attempts = 0;
    int open_attempts = 0;
    std::optional<Time> ambiguous_since;           ///< sending of the first attempt that may have run
    std::optional<EndpointId> ambiguous_endpoint;  ///< where that attempt went, if known
};

struct Call {
    EndpointId endpoint = 0;
    Time sent_at{0};
    std::size_t open_attempts = 0;
    bool outcome_counted = false;  ///< an outcome of it has counted for the health and limits of its endpoint
    bool overtaken = false;        ///< a call sent later to the same endpoint was answered first
};

struct Attempt {
    std::uint64_t call_id = 0;
    std::optional<std::uint64_t> key;
    bool cancelled = false;
};

/// A message that is to be sent next, and where it goes.
struct Selection {
    DestinationId destination = 0;
    MessageId message = 0;
    EndpointId endpoint = 0;
};

}  // namespace
}  // namespace cometspoke
