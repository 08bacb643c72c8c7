/// Measures how many messages a fleet of forwarders delivers and how much load it puts on the endpoints, by
/// the number of forwarders.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "fleet_model.hpp"
#include "json_line_reporter.hpp"

namespace cometspoke::bench {
namespace {

/// The offered load. With ByForwarder each forwarder has the planned message rate of one forwarder. With
/// ByDestination the fleet has the planned rate of each destination, so that each destination of a
/// scaled-down list sees the traffic that it would see in the full list.
enum class Offer : std::int64_t { ByForwarder = 0, ByDestination = 1 };

constexpr double kDestinationMessagesPerSecond = kMessagesPerSecond * kForwarders / kDestinations;

WallTime max_case_time = FleetOptions{}.bound;

FleetOptions options_for(const benchmark::State& state) {
    FleetOptions options;
    options.bound = max_case_time;
    options.forwarders = static_cast<std::size_t>(state.range(0));
    options.workload.forwarders = options.forwarders;
    options.workload.destinations = static_cast<std::size_t>(state.range(1));
    options.workload.endpoints_each = EndpointsEach::One;
    options.workload.most_held = 100'000;
    if (static_cast<Offer>(state.range(2)) == Offer::ByDestination)
        options.messages_per_s = kDestinationMessagesPerSecond *
                                 static_cast<double>(options.workload.destinations) /
                                 static_cast<double>(options.forwarders);
    return options;
}

double per_second(std::uint64_t count, Time duration) {
    return static_cast<double>(count) * 1e6 / static_cast<double>(std::max<Time::rep>(1, duration.count()));
}

void report_endpoints(benchmark::State& state, const FleetReport& report) {
    SecondCounts total;
    for (const SecondCounts& second : report.seconds) {
        total.turned_away += second.turned_away;
        total.to_down += second.to_down;
        total.most_at_one = std::max(total.most_at_one, second.most_at_one);
    }
    state.counters["turned_away"] = static_cast<double>(total.turned_away);
    state.counters["to_down"] = static_cast<double>(total.to_down);
    state.counters["to_down_per_s"] = per_second(total.to_down, report.ran);
    state.counters["most_at_one_in_1s"] = static_cast<double>(total.most_at_one);
    const auto whole_seconds = static_cast<std::size_t>(report.ran / Time(1'000'000));
    for (std::size_t i = 0; i < std::min(whole_seconds, report.seconds.size()); ++i) {
        const std::string second = std::to_string(i + 1);
        state.counters["to_down_in_second_" + second] = static_cast<double>(report.seconds[i].to_down);
        state.counters["most_at_one_in_second_" + second] =
            static_cast<double>(report.seconds[i].most_at_one);
    }
}

void report_messages(benchmark::State& state, const FleetReport& report) {
    const MessageCounts& messages = report.messages;
    const auto offered = static_cast<double>(std::max<std::uint64_t>(1, messages.offered));
    state.counters["offered"] = static_cast<double>(messages.offered);
    state.counters["sent"] = static_cast<double>(messages.sent);
    state.counters["served"] = static_cast<double>(messages.served);
    state.counters["served_share"] = static_cast<double>(messages.served) / offered;
    state.counters["sent_share"] = static_cast<double>(messages.sent) / offered;
    state.counters["attempts"] = static_cast<double>(messages.attempts);
    state.counters["refused"] = static_cast<double>(messages.refused);
    state.counters["failed"] = static_cast<double>(messages.failed);
    state.counters["held"] = static_cast<double>(report.held);
}

void run(benchmark::State& state, const FleetOptions& options) {
    for (auto _ : state) {
        try {
            const FleetReport report = run_fleet(options);
            state.SetIterationTime(report.turns.total.count());
            report_messages(state, report);
            report_endpoints(state, report);
            state.counters["ran_s"] = static_cast<double>(report.ran.count()) / 1e6;
            state.counters["heap_mb"] = static_cast<double>(report.heap_bytes) / 1e6;
            state.counters["worst_turn_ms"] = report.turns.worst.count() * 1e3;
            state.counters["core_share_each"] =
                report.turns.total.count() * 1e6 /
                static_cast<double>(std::max<Time::rep>(1, report.ran.count())) /
                static_cast<double>(options.forwarders);
            if (report.ran < options.span) state.counters["over_s"] = options.bound.count();
            if (!report.adds_up) state.SkipWithError("messages or calls do not add up");
        } catch (const FleetTooLarge& failure) {
            state.SkipWithError(failure.what());
        }
    }
}

/// 4.3% of the destinations are down for the whole run. Arguments: forwarders, destinations, Offer.
void fleet_down(benchmark::State& state) {
    FleetOptions options = options_for(state);
    options.workload.down_share = kDownShare;
    run(state, options);
}

/// 4.3% of the destinations are down from 1 s to 5 s; the run continues for 7 s to cover their recovery.
void fleet_back(benchmark::State& state) {
    FleetOptions options = options_for(state);
    options.workload.down_share = kDownShare;
    options.workload.down_from = Time(1'000'000);
    options.workload.down_until = Time(5'000'000);
    options.span = Time(12'000'000);
    run(state, options);
}

/// All endpoints are healthy; each destination lists a limit of 5 calls a second, and its endpoint rejects
/// calls above it.
void fleet_listed(benchmark::State& state) {
    FleetOptions options = options_for(state);
    options.workload.listed_rates = true;
    run(state, options);
}

/// As fleet_listed, but only one forwarder of the fleet runs: measures how much its own share of the limits
/// lets it send.
void fleet_listed_alone(benchmark::State& state) {
    FleetOptions options = options_for(state);
    options.workload.listed_rates = true;
    options.forwarders = 1;
    run(state, options);
}

void register_case(const char* name, void (*function)(benchmark::State&),
    const std::vector<std::vector<std::int64_t>>& values) {
    benchmark::RegisterBenchmark(name, function)
        ->ArgNames({"forwarders", "destinations", "offer"})
        ->ArgsProduct(values)
        ->Iterations(1)
        ->UseManualTime()
        ->Unit(benchmark::kMillisecond);
}

void register_cases(const CaseSizes& sizes) {
    if (sizes.bound_s) max_case_time = WallTime(*sizes.bound_s);
    const bool small = sizes.sizes == Sizes::Small;
    const std::vector<std::int64_t> forwarders =
        small ? std::vector<std::int64_t>{1, 3} : std::vector<std::int64_t>{3, 50, 350, 730};
    const std::int64_t destinations = sizes.destinations.value_or(small ? 100 : 10'000);
    const std::int64_t few_destinations = sizes.destinations.value_or(small ? 50 : 1'000);
    register_case("fleet_down", fleet_down, {forwarders, {destinations}, {0, 1}});
    register_case("fleet_back", fleet_back, {forwarders, {few_destinations}, {1}});
    register_case("fleet_listed", fleet_listed, {forwarders, {destinations}, {0, 1}});
    register_case("fleet_listed_alone", fleet_listed_alone, {forwarders, {destinations}, {0}});
}

}  // namespace
}  // namespace cometspoke::bench

int main(int count, char** arguments) {
    return cometspoke::bench::run_cases(count, arguments, cometspoke::bench::register_cases);
}
