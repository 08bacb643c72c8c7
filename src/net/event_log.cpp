#include "event_log.hpp"

#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <algorithm>
#include <array>

#include "counters.hpp"

namespace lockgw {
namespace {

constexpr double kMaxLinesPerSecond = 500.0;
constexpr double kMaxBurstLines = 1000.0;

/// Writes a line to standard error, and drops it if the write might block.
class StandardErrorSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
protected:
    void sink_it_(const spdlog::details::log_msg& message) override {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        pollfd entry{STDERR_FILENO, POLLOUT, 0};
        const bool writable = ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
        if (!writable || ::write(STDERR_FILENO, line.data(), line.size()) < 0)
            counters().add(Counter::LogLinesDropped);
    }
    void flush_() override {}
};

constexpr std::array kStepNames{
    "taken_on", "refused", "begun", "outcome", "ended", "told", "recovered", "inherited"};

}  // namespace

EventLog::EventLog()
    : logger_(std::make_unique<spdlog::logger>("forwarder", std::make_shared<StandardErrorSink>())),
      available_lines_(kMaxBurstLines) {
    logger_->set_pattern("%l %v");
}
EventLog::~EventLog() = default;

void EventLog::message(MessageStep step, cometspoke::MessageId id, std::string_view reason,
    std::string_view endpoint, std::uint32_t attempt) {
    if (!take_line_allowance()) return counters().add(Counter::LogLinesDropped);
    logger_->info("message={:016x} step={} attempt={} endpoint={} reason={}", id,
        kStepNames[static_cast<std::size_t>(step)], attempt, endpoint.empty() ? "-" : endpoint,
        reason.empty() ? "-" : reason);
}

bool EventLog::take_line_allowance() {
    const auto now = std::chrono::steady_clock::now();
    const double seconds = std::chrono::duration<double>(now - refilled_at_).count();
    refilled_at_ = now;
    available_lines_ = std::min(kMaxBurstLines, available_lines_ + seconds * kMaxLinesPerSecond);
    if (available_lines_ < 1.0) return false;
    available_lines_ -= 1.0;
    return true;
}

}  // namespace lockgw
