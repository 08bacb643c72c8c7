/// Modelled endpoints on a virtual clock: a service time, a limit with refusal, a time of being down.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cometspoke/sender.hpp"

namespace cometspoke::bench {

/// Later than any moment of a run.
constexpr Time kNever{4'000'000'000'000'000'000};

/// What a call to an endpoint that is down meets.
enum class DownMode {
    RefusesConnection,  ///< ConnectFailed at once
    Silent              ///< no answer until the time-out
};

struct EndpointModel {
    Time service_time{50'000};
    double limit_per_s = 0.0;  ///< calls served in a whole second, the rest is turned away; 0: no limit
    Time down_from = kNever;
    Time down_until = kNever;
    DownMode down_mode = DownMode::RefusesConnection;
};

/// How a call will end.
struct Reply {
    Outcome outcome = Outcome::Delivered;
    Time after{0};  ///< from the start of the call
    std::optional<LoadReport> report;
};

/// Calls that began in one second, over all endpoints.
struct SecondCounts {
    std::uint64_t calls = 0;
    std::uint64_t served = 0;
    std::uint64_t turned_away = 0;
    std::uint64_t to_down = 0;
    std::uint64_t most_at_one = 0;  ///< calls that the busiest endpoint saw
};

/// All endpoints of a run; endpoint ids are indices into the models.
class EndpointFarm {
public:
    explicit EndpointFarm(std::vector<EndpointModel> models);

    /// Begins a call. `now` never goes back by a second or more.
    Reply call(EndpointId endpoint, Time now, Time time_out);
    bool is_down(EndpointId endpoint, Time now) const;
    /// One entry for each second of the virtual clock, from second 0.
    const std::vector<SecondCounts>& seconds() const { return seconds_; }

private:
    struct Window {
        std::size_t second = 0;
        std::uint32_t calls = 0;
        std::uint32_t served = 0;
    };
    Window& window_of(EndpointId endpoint, std::size_t second);
    Reply down_reply(const EndpointModel& model, Time time_out) const;

    std::vector<EndpointModel> models_;
    std::unordered_map<EndpointId, Window> windows_;
    std::vector<SecondCounts> seconds_;
};

}  // namespace cometspoke::bench
