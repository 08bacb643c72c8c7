/// One structured line for each step of a message: its id, attempt, endpoint and the reason. Never its body
/// or its key. Bounded in rate, and never waited for: a reader that does not read loses lines, and they are
/// counted.
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

enum class MessageStep { Accepted, Refused, AttemptStarted, AttemptEnded, Ended, NoticeConfirmed, Recovered };

class EventLog {
public:
    EventLog();
    ~EventLog();

    /// `reason`: why it was refused or ended, or how the attempt ended. `endpoint`: its name, or empty.
    void message(MessageStep step, cometspoke::MessageId id, std::string_view reason = {},
        std::string_view endpoint = {}, std::uint32_t attempt = 0);

private:
    bool within_rate();

    std::unique_ptr<spdlog::logger> logger_;
    std::chrono::steady_clock::time_point refilled_at_{};
    double lines_left_;
};

}  // namespace lockgw
