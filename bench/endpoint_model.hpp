/// Modelled endpoints on a virtual clock: a service time, a rate limit with rejections and an outage.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cometspoke/sender.hpp"

namespace cometspoke::bench {

/// Later than any time that a run reaches.
constexpr Time kNever{4'000'000'000'000'000'000};

/// How a call to a down endpoint fails.
enum class DownMode {
    RefuseConnection,  ///< ConnectFailed immediately
    NoResponse         ///< no response until the timeout
};

struct EndpointModel {
    Time service_time{50'000};
    double limit_per_s = 0.0;  ///< calls served per whole second, the others are rejected; 0: no limit
    Time down_from = kNever;
    Time down_until = kNever;
    DownMode down_mode = DownMode::RefuseConnection;
};

/// The outcome of a call and the time it takes.
struct CallResult {
    Outcome outcome = Outcome::Delivered;
    Time duration{0};  ///< from the start to the end of the call
    std::optional<LoadReport> report;
};

/// Counts of the calls that started in one second, over all endpoints.
struct SecondCounts {
    std::uint64_t calls = 0;
    std::uint64_t served = 0;
    std::uint64_t turned_away = 0;
    std::uint64_t to_down = 0;
    std::uint64_t most_at_one = 0;  ///< maximum number of calls received by one endpoint
};

/// All endpoints of a run; an endpoint id is the index of its model.
class ModelEndpoints {
public:
    explicit ModelEndpoints(std::vector<EndpointModel> models);

    /// Starts a call. `now` never decreases by a second or more.
    CallResult call(EndpointId endpoint, Time now, Time timeout);
    bool is_down(EndpointId endpoint, Time now) const;
    /// One entry per second of the virtual clock, starting at second 0.
    const std::vector<SecondCounts>& seconds() const { return seconds_; }

private:
    struct EndpointWindow {
        std::size_t second = 0;
        std::uint32_t calls = 0;
        std::uint32_t served = 0;
    };
    EndpointWindow& window_of(EndpointId endpoint, std::size_t second);
    CallResult down_result(const EndpointModel& model, Time timeout) const;

    std::vector<EndpointModel> models_;
    std::unordered_map<EndpointId, EndpointWindow> windows_;
    std::vector<SecondCounts> seconds_;
};

}  // namespace cometspoke::bench
