#include "counters.hpp"

namespace lockgw {
namespace {

constexpr std::array<const char*, static_cast<std::size_t>(Counter::Count)> kMetricNames{
    "accept_retries_total", "read_retries_total", "write_retries_total", "connect_retries_total",
    "agent_retries_total", "notice_failures_total", "journal_write_failures_total",
    "journal_ends_delayed_total", "late_deliveries_total", "messages_recovered_total", "clock_steps_total",
    "stale_connections_total", "log_lines_dropped_total"};

}  // namespace

std::string Counters::text() const {
    std::string lines;
    for (std::size_t i = 0; i < counts_.size(); ++i)
        lines += std::string("forwarder_") + kMetricNames[i] + " " + std::to_string(counts_[i]) + "\n";
    return lines;
}

Counters& counters() {
    static Counters process_counters;
    return process_counters;
}

}  // namespace lockgw
