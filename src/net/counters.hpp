/// Counters, by cause, of the faults and rare events that the program handled, for the operators.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace lockgw {

enum class Counter : std::size_t {
    AcceptRetries,         ///< accepts that failed and were retried
    ReadRetries,           ///< socket reads that were interrupted or whose error was checked by another read
    WriteRetries,          ///< the same for socket writes
    ConnectRetries,        ///< connects to endpoints that were retried after a local failure
    AgentRetries,          ///< requests to discovery that were sent again
    NoticeFailures,        ///< requests with notices that were not answered with status 204
    JournalWriteFailures,  ///< records or compactions that could not be written to the file
    JournalEndsDelayed,    ///< ended messages whose notice waited until the end was recorded
    LateDeliveries,        ///< deliveries so close to the deadline that the platform gets a notice as well
    MessagesRecovered,     ///< unfinished messages of an earlier process
    ClockSteps,            ///< steps of the wall clock by a second or more
    StaleConnections,  ///< kept connections that were closed, or carried more than a response, before reuse
    LogLinesDropped,   ///< lines above the log's rate, or not taken by its reader
    Count
};

/// The counters of this process. They are not thread-safe.
class Counters {
public:
    void add(Counter counter, std::uint64_t count = 1) {
        counts_[static_cast<std::size_t>(counter)] += count;
    }
    std::uint64_t value(Counter counter) const { return counts_[static_cast<std::size_t>(counter)]; }
    /// One line "name value" per counter, in the Prometheus text format.
    std::string text() const;

private:
    std::array<std::uint64_t, static_cast<std::size_t>(Counter::Count)> counts_{};
};

Counters& counters();

}  // namespace lockgw
