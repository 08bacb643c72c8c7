/// A fleet in one process: many model forwarders, each with a real Sender, on one virtual clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <stdexcept>
#include <vector>

#include "endpoint_model.hpp"
#include "model_forwarder.hpp"
#include "workload.hpp"

namespace cometspoke::bench {

struct FleetOptions {
    WorkloadOptions workload;
    std::size_t forwarders = 1;                  ///< number of simulated forwarders
    double messages_per_s = kMessagesPerSecond;  ///< offered to each forwarder, at random times
    Time span{5'000'000};                        ///< duration of the run in virtual time
    WallTime bound{40.0};                        ///< wall-clock time after which the run ends early
    std::size_t max_heap_bytes = 8'000'000'000;  ///< above it the run throws FleetTooLarge
};

/// The fleet would use more heap than FleetOptions::max_heap_bytes.
class FleetTooLarge : public std::runtime_error {
    using runtime_error::runtime_error;
};

struct FleetReport {
    MessageCounts messages;
    std::size_t held = 0;
    IterationCosts turns;
    std::vector<SecondCounts> seconds;  ///< one entry per second of the span
    Time ran{0};                 ///< virtual time that was run; below the span if the bound was reached
    std::size_t heap_bytes = 0;  ///< used by all forwarders at the end
    bool adds_up = false;  ///< each message has ended once or is held; attempts equal calls at the endpoints
};

/// Runs a fleet, starting with its first list. Message destinations are drawn uniformly.
FleetReport run_fleet(const FleetOptions& options);

}  // namespace cometspoke::bench
