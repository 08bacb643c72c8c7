/// Logs one structured line for each step of a message: its id, attempt, endpoint and the reason, but neither
/// its body nor its key. The rate is bounded and a write never blocks: lines that the reader does not take in
/// time are dropped and counted.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string_view>

#include "cometspoke/sender.hpp"

namespace spdlog {
class logger;
}

namespace lockgw {

enum class MessageStep {
    Accepted,
    Refused,
    AttemptStarted,
    AttemptEnded,
    Ended,
    NoticeConfirmed,
    Recovered,
    AttemptInherited  ///< the attempt is in flight on a connection of the previous process
};

class EventLog {
public:
    EventLog();
    ~EventLog();

    /// `reason` says why the message was refused or ended, or how the attempt ended. `endpoint` is a name or
    /// empty.
    void message(MessageStep step, cometspoke::MessageId id, std::string_view reason = {},
        std::string_view endpoint = {}, std::uint32_t attempt = 0);

private:
    bool take_line_allowance();

    std::unique_ptr<spdlog::logger> logger_;
    std::chrono::steady_clock::time_point refilled_at_{};
    double available_lines_;
};

}  // namespace lockgw
