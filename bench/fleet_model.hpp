/// A fleet in one process: many hollow forwarders, each with a real Sender, on one virtual clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <stdexcept>
#include <vector>

#include "endpoint_model.hpp"
#include "hollow_forwarder.hpp"
#include "workload.hpp"

namespace cometspoke::bench {

struct FleetOptions {
    WorkloadOptions workload;
    std::size_t forwarders = 1;                   ///< that run
    double messages_per_s = kMessagesPerSecond;   ///< offered to each, at random moments
    Time span{5'000'000};                         ///< virtual time
    WallTime bound{40.0};                         ///< the run ends early after so long
    std::size_t most_heap_bytes = 8'000'000'000;  ///< FleetTooLarge instead of more
};

/// The fleet would take more heap than allowed.
class FleetTooLarge : public std::runtime_error {
    using runtime_error::runtime_error;
};

struct FleetReport {
    MessageCounts messages;
    std::size_t held = 0;
    TurnCosts turns;
    std::vector<SecondCounts> seconds;  ///< one for each second of the span
    Time ran{0};                        ///< virtual time, less than the span where the bound was hit
    std::size_t heap_bytes = 0;         ///< of all forwarders, at the end
    bool adds_up = false;  ///< messages end once or are held; attempts are calls at the endpoints
};

/// Runs a fleet from its first list on. Destinations of messages are drawn evenly.
FleetReport run_fleet(const FleetOptions& options);

}  // namespace cometspoke::bench
