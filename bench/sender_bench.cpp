/// What one Sender costs at the operators' sizes, on a virtual clock with modelled endpoints.
///
/// Each case runs once. Its "time" is the total of the measured calls; the figures are its counters. A case
/// that reaches kBound ends early with the counter over_s, and its figures are those of the part that ran.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "heap_meter.hpp"
#include "hollow_forwarder.hpp"
#include "workload.hpp"

namespace cometspoke::bench {
namespace {

constexpr WallTime kBound{10.0};           // of the measured part of one case
constexpr Time kWholeDay{86'400'000'000};  // a told wait or deadline beyond the end of any case
constexpr Time kSteadySpan{10'000'000};    // virtual time over which steady turns are measured
constexpr std::size_t kTakenOn = 20'000;
constexpr std::size_t kBatch = 100;           // messages a turn, where clients bring them
constexpr Time kBatchGap{10'000};             // and between such turns
constexpr std::size_t kMostSingles = 200;     // repeats of a measurement of one event
constexpr std::size_t kRoomForMore = 50'000;  // most_held lies above the held messages by this and a half

/// Where held messages go. Their destinations have told a wait of a whole day.
enum class HeldAt : std::int64_t { One = 0, DownShare = 1, Spread = 2 };
enum class Limits : std::int64_t { None = 0, Listed = 1 };

bool any_case_failed = false;

/// One forwarder with its list, its endpoints and the virtual clock.
class Setup {
public:
    explicit Setup(const WorkloadOptions& options)
        : options_(options),
          farm_(make_endpoints(options)),
          forwarder_(make_settings(options), 1, farm_),
          random_(1) {}

    HollowForwarder& forwarder() { return forwarder_; }
    Time now() const { return now_; }
    void advance(Time span) { now_ += span; }

    void turn_with(Event event) {
        forwarder_.add(std::move(event));
        forwarder_.turn(now_);
    }
    void list() { turn_with(make_list(options_)); }

    /// Holds `count` messages whose destinations are closed for the whole run.
    void hold(std::size_t count, HeldAt where) {
        const std::vector<DestinationId> closed = closed_destinations(count, where);
        for (const DestinationId destination : closed) close(destination);
        for (std::size_t i = 0; i < count; ++i)
            forwarder_.add(make_message(next_message_++, closed[i % closed.size()], kWholeDay));
        forwarder_.turn(now_);
    }
    void add_message(DestinationId destination, Time left = Time(20'000'000)) {
        forwarder_.add(make_message(next_message_++, destination, left));
    }
    DestinationId any_destination() {
        const auto last = static_cast<DestinationId>(options_.destinations) - 1;
        return std::uniform_int_distribution<DestinationId>(0, last)(random_);
    }

    /// Runs outcomes and timers that are due before `end`, then stands there.
    void run_until(Time end) {
        while (forwarder_.next_due() < end) {
            now_ = std::max(now_, forwarder_.next_due());
            forwarder_.turn(now_);
            if (forwarder_.costs().total > kBound) return;
        }
        now_ = std::max(now_, end);
    }

    /// Offers kMessagesPerSecond to all destinations alike over the span of virtual time.
    void run_steady(Time span) {
        const Time gap(static_cast<Time::rep>(1e6 / kMessagesPerSecond));
        for (const Time end = now_ + span; now_ < end;) {
            run_until(now_ + gap);
            if (forwarder_.costs().total > kBound) return;
            add_message(any_destination());
            forwarder_.turn(now_);
        }
    }

    /// Reports the turns since forget_costs() and checks that the messages add up.
    void finish(benchmark::State& state, Time span = Time(0)) {
        const TurnCosts& costs = forwarder_.costs();
        state.SetIterationTime(costs.total.count());
        state.counters["turns"] = static_cast<double>(costs.turns);
        state.counters["mean_turn_ms"] =
            costs.total.count() * 1e3 / static_cast<double>(std::max<std::uint64_t>(1, costs.turns));
        state.counters["worst_turn_ms"] = costs.worst.count() * 1e3;
        state.counters["held_after"] = static_cast<double>(forwarder_.held());
        if (span > Time(0))
            state.counters["core_share"] = costs.total.count() * 1e6 / static_cast<double>(span.count());
        if (costs.total > kBound) state.counters["over_s"] = kBound.count();
        if (forwarder_.adds_up()) return;
        any_case_failed = true;
        state.SkipWithError("messages do not add up");
    }

private:
    std::vector<DestinationId> closed_destinations(std::size_t count, HeldAt where) const {
        if (where == HeldAt::One) return {0};
        if (where == HeldAt::DownShare) {
            WorkloadOptions down = options_;
            down.down_share = kDownShare;
            return down_destinations(down);
        }
        std::vector<DestinationId> all(std::min(count, options_.destinations));
        for (std::size_t i = 0; i < all.size(); ++i) all[i] = static_cast<DestinationId>(i);
        return all;
    }
    void close(DestinationId destination) {
        for (std::size_t i = 0; i < options_.endpoints_each; ++i) {
            const std::size_t endpoint = static_cast<std::size_t>(destination) * options_.endpoints_each + i;
            forwarder_.add(WaitTold{static_cast<EndpointId>(endpoint), kWholeDay});
        }
    }

    WorkloadOptions options_;
    EndpointFarm farm_;
    HollowForwarder forwarder_;
    std::mt19937_64 random_;
    MessageId next_message_ = 1;
    Time now_{1'000'000};
};

WorkloadOptions options_for(std::int64_t destinations, std::size_t held = 0) {
    WorkloadOptions options;
    options.destinations = static_cast<std::size_t>(destinations);
    options.most_held = 2 * (held + kRoomForMore);
    return options;
}

// ---- the list ----

/// Observing the whole list, and the heap it takes. Arguments: destinations, endpoints each.
void list_whole(benchmark::State& state) {
    WorkloadOptions options = options_for(state.range(0));
    options.endpoints_each = static_cast<std::size_t>(state.range(1));
    for (auto _ : state) {
        Setup setup(options);
        setup.forwarder().add(make_list(options));
        const std::size_t before = heap_in_use();
        setup.forwarder().turn(setup.now());
        // the list itself has gone by now
        const std::size_t list_bytes = options.destinations * options.endpoints_each * sizeof(ListEntry);
        state.counters["heap_bytes"] =
            static_cast<double>(heap_in_use() + list_bytes) - static_cast<double>(before);
        setup.finish(state);
    }
}

/// The same whole list again. Argument: destinations.
void list_repeated(benchmark::State& state) {
    for (auto _ : state) {
        Setup setup(options_for(state.range(0)));
        setup.list();
        setup.forwarder().forget_costs();
        setup.advance(Time(10'000'000));
        setup.list();
        setup.finish(state);
    }
}

/// A list of changes. Arguments: destinations, entries that change.
void list_change(benchmark::State& state) {
    const WorkloadOptions options = options_for(state.range(0));
    for (auto _ : state) {
        Setup setup(options);
        setup.list();
        setup.forwarder().forget_costs();
        ListEvent change = make_list(options);
        change.kind = ListKind::Changes;
        change.entries.resize(std::min(options.destinations, static_cast<std::size_t>(state.range(1))));
        for (ListEntry& entry : change.entries) entry.condition = Condition::Draining;
        setup.advance(Time(10'000));  // not the turn that tidies up
        setup.turn_with(change);
        setup.finish(state);
    }
}

// ---- turns ----

/// Turns at 104 messages a second with 4.3% of the destinations down. Arguments: destinations, Limits, held
/// messages, HeldAt.
void steady(benchmark::State& state) {
    const auto held = static_cast<std::size_t>(state.range(2));
    WorkloadOptions options = options_for(state.range(0), held);
    options.listed_rates = state.range(1) == static_cast<std::int64_t>(Limits::Listed);
    options.down_share = kDownShare;
    for (auto _ : state) {
        Setup setup(options);
        setup.list();
        if (held > 0) setup.hold(held, static_cast<HeldAt>(state.range(3)));
        setup.forwarder().forget_costs();
        const Time start = setup.now();
        setup.run_steady(kSteadySpan);
        setup.finish(state, setup.now() - start);
        const MessageCounts& counts = setup.forwarder().counts();
        state.counters["offered"] = static_cast<double>(counts.offered - held);
        state.counters["sent"] = static_cast<double>(counts.sent);
        state.counters["served"] = static_cast<double>(counts.served);
    }
}

// ---- held messages ----

/// Heap of held messages and the cost of one more. Arguments: destinations, held messages, HeldAt.
void one_more(benchmark::State& state) {
    const auto held = static_cast<std::size_t>(state.range(1));
    for (auto _ : state) {
        Setup setup(options_for(state.range(0), held));
        setup.list();
        const std::size_t before = heap_in_use();
        setup.hold(held, static_cast<HeldAt>(state.range(2)));
        state.counters["hold_ms"] = setup.forwarder().costs().worst.count() * 1e3;
        state.counters["heap_bytes_with_bench"] = static_cast<double>(heap_in_use() - before);
        setup.forwarder().forget_costs();
        for (std::size_t i = 0; i < kMostSingles && setup.forwarder().costs().total < kBound; ++i) {
            setup.advance(Time(1000));
            setup.add_message(0, kWholeDay);
            setup.forwarder().turn(setup.now());
        }
        setup.finish(state);
    }
}

/// A timer with messages held. Arguments: destinations, held messages, HeldAt.
void timer_sweep(benchmark::State& state) {
    const auto held = static_cast<std::size_t>(state.range(1));
    for (auto _ : state) {
        Setup setup(options_for(state.range(0), held));
        setup.list();
        setup.hold(held, static_cast<HeldAt>(state.range(2)));
        setup.forwarder().forget_costs();
        for (std::size_t i = 0; i < kMostSingles && setup.forwarder().costs().total < kBound; ++i) {
            setup.advance(Time(100'000));
            setup.turn_with(TimerFired{});
        }
        setup.finish(state);
    }
}

/// Taking on 20,000 messages in turns of 100 over 2 s of virtual time. Arguments: destinations, whether all
/// are down.
void take_on(benchmark::State& state) {
    WorkloadOptions options = options_for(state.range(0), kTakenOn);
    options.down_share = state.range(1) != 0 ? 1.0 : 0.0;
    for (auto _ : state) {
        Setup setup(options);
        setup.list();
        setup.forwarder().forget_costs();
        const Time start = setup.now();
        for (std::size_t i = 0; i < kTakenOn / kBatch && setup.forwarder().costs().total < kBound; ++i) {
            for (std::size_t j = 0; j < kBatch; ++j) setup.add_message(setup.any_destination());
            setup.forwarder().turn(setup.now());
            setup.run_until(setup.now() + kBatchGap);
        }
        setup.finish(state, setup.now() - start);
        state.counters["taken_on"] = static_cast<double>(setup.forwarder().counts().offered);
    }
}

/// Taking on 20,000 messages in one turn, as after a restart. Arguments: destinations, whether all are down.
void take_on_at_once(benchmark::State& state) {
    WorkloadOptions options = options_for(state.range(0), kTakenOn);
    options.down_share = state.range(1) != 0 ? 1.0 : 0.0;
    for (auto _ : state) {
        Setup setup(options);
        setup.list();
        setup.forwarder().forget_costs();
        for (std::size_t i = 0; i < kTakenOn; ++i) setup.add_message(setup.any_destination());
        setup.forwarder().turn(setup.now());
        setup.finish(state);
    }
}

// ---- the cases ----

const std::vector<std::int64_t> kDestinations{1'000, 10'000, 100'000, 310'000};
const std::vector<std::int64_t> kHeld{1'000, 10'000, 100'000, 1'000'000};
const std::vector<std::int64_t> kHeldAt{0, 1, 2};

void register_case(const char* name, void (*function)(benchmark::State&),
    const std::vector<std::string>& arguments, const std::vector<std::vector<std::int64_t>>& values) {
    benchmark::RegisterBenchmark(name, function)
        ->ArgNames(arguments)
        ->ArgsProduct(values)
        ->Iterations(1)
        ->UseManualTime()
        ->Unit(benchmark::kMillisecond);
}

void register_cases() {
    register_case("list_whole", list_whole, {"destinations", "endpoints"}, {kDestinations, {1, 2}});
    register_case("list_repeated", list_repeated, {"destinations"}, {kDestinations});
    register_case("list_change", list_change, {"destinations", "entries"}, {kDestinations, {1, 10'000}});
    register_case(
        "steady", steady, {"destinations", "limits", "held", "at"}, {kDestinations, {0, 1}, {0}, {0}});
    register_case(
        "steady", steady, {"destinations", "limits", "held", "at"}, {{310'000}, {0}, kHeld, kHeldAt});
    register_case("one_more", one_more, {"destinations", "held", "at"}, {{310'000}, kHeld, kHeldAt});
    register_case("timer_sweep", timer_sweep, {"destinations", "held", "at"}, {{310'000}, kHeld, kHeldAt});
    register_case("take_on", take_on, {"destinations", "down"}, {kDestinations, {0, 1}});
    register_case("take_on_at_once", take_on_at_once, {"destinations", "down"}, {kDestinations, {0, 1}});
}

}  // namespace
}  // namespace cometspoke::bench

int main(int count, char** arguments) {
    benchmark::Initialize(&count, arguments);
    if (benchmark::ReportUnrecognizedArguments(count, arguments)) return 1;
    cometspoke::bench::register_cases();
    benchmark::RunSpecifiedBenchmarks();
    return cometspoke::bench::any_case_failed ? 1 : 0;
}
