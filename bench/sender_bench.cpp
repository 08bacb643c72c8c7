/// Measures the cost of one Sender at the sizes that operators run, on a virtual clock with modelled
/// endpoints.
///
/// Each case runs once and reports its results as counters. A case whose measured event-loop iterations take
/// longer in total than a time bound ends early with the counter over_s, and its counters cover the part that
/// ran. A single iteration is never interrupted: bench/run therefore bounds the whole process.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "heap_meter.hpp"
#include "json_line_reporter.hpp"
#include "model_forwarder.hpp"
#include "workload.hpp"

namespace cometspoke::bench {
namespace {

constexpr Time kClockStart{1'000'000};            // start of the virtual clock
constexpr Time kOneDay{86'400'000'000};           // a retry-after or deadline beyond the end of any case
constexpr Time kSteadyDuration{10'000'000};       // virtual time over which steady load is measured
constexpr Time kAcceptDuration{2'000'000};        // virtual time in which messages are accepted
constexpr Time kCleanupDuration{1'200'000};       // endpoints that are no longer listed are removed within it
constexpr std::size_t kSingleEventRepeats = 200;  // repetitions of the measurement of one event
// max_held_messages exceeds the held messages by at least this.
constexpr std::size_t kMinSpareMessages = 50'000;
constexpr std::size_t kAcceptedMessages = 20'000;
constexpr std::size_t kAcceptedMessagesSmall = 200;

/// The destinations of held messages. Each has sent a retry-after of one day.
enum class HeldAt : std::int64_t { OneDestination = 0, DownDestinations = 1, ManyDestinations = 2 };

WallTime time_bound{3.0};
std::size_t accepted_messages = kAcceptedMessages;

/// One forwarder with its list, its endpoints and the virtual clock.
class Setup {
public:
    explicit Setup(const WorkloadOptions& options)
        : options_(options),
          endpoints_(make_endpoints(options)),
          forwarder_(make_settings(options), 1, endpoints_),
          random_(1) {}

    ModelForwarder& forwarder() { return forwarder_; }
    Time now() const { return now_; }
    void advance(Time duration) { now_ += duration; }

    /// Runs an iteration with one more event and returns its cost.
    WallTime run_iteration_with(Event event) {
        forwarder_.add(std::move(event));
        return run_iteration();
    }
    WallTime run_iteration() {
        const WallTime before = forwarder_.costs().total;
        forwarder_.run_iteration(now_);
        return forwarder_.costs().total - before;
    }
    void observe_list() { run_iteration_with(make_list(options_)); }

    /// Adds `count` messages that stay held, since their destinations are closed for the whole run.
    void hold_messages(std::size_t count, HeldAt placement) {
        const std::vector<DestinationId> closed = closed_destinations(count, placement);
        for (const DestinationId destination : closed) close_destination(destination);
        for (std::size_t i = 0; i < count; ++i) add_message(closed[i % closed.size()], kOneDay);
        run_iteration();
    }
    void add_message(DestinationId destination, Time time_left = kDefaultDeadline) {
        forwarder_.add(make_message(next_message_++, destination, time_left));
    }
    DestinationId draw_destination() {
        return std::uniform_int_distribution<DestinationId>(0, healthy_destination())(random_);
    }
    /// A destination that hold_messages() never closes and that is not among the down ones.
    DestinationId healthy_destination() const {
        return static_cast<DestinationId>(options_.destinations) - 1;
    }
    /// A destination that hold_messages() always closes.
    DestinationId closed_destination(HeldAt placement) const {
        return closed_destinations(1, placement).front();
    }

    bool over_time_bound() const { return forwarder_.costs().total > time_bound; }

    /// Processes the outcomes and timers that are due before `end`, then sets the clock to `end`.
    void run_until(Time end) {
        while (forwarder_.next_due() < end) {
            if (check_time_bound()) return;
            now_ = std::max(now_, forwarder_.next_due());
            run_iteration();
        }
        now_ = std::max(now_, end);
    }
    /// Offers kMessagesPerSecond, spread uniformly over all destinations, for `duration` of virtual time.
    void run_steady(Time duration) {
        const Time gap(static_cast<Time::rep>(1e6 / kMessagesPerSecond));
        for (const Time end = now_ + duration; now_ < end;) {
            run_until(now_ + gap);
            if (check_time_bound()) return;
            add_message(draw_destination());
            run_iteration();
        }
    }
    /// Returns whether the time bound is reached, and records it for the report.
    bool check_time_bound() {
        time_bound_reached_ = time_bound_reached_ || over_time_bound();
        return time_bound_reached_;
    }

    /// Reports the iterations since reset_costs() and checks that the message counts add up.
    void finish(benchmark::State& state, Time duration = Time(0)) {
        const IterationCosts& costs = forwarder_.costs();
        const auto iterations = static_cast<double>(std::max<std::uint64_t>(1, costs.iterations));
        state.SetIterationTime(costs.total.count());
        state.counters["turns"] = iterations;
        state.counters["total_s"] = costs.total.count();
        state.counters["mean_turn_ms"] = costs.total.count() * 1e3 / iterations;
        state.counters["worst_turn_ms"] = costs.worst.count() * 1e3;
        state.counters["held_after"] = static_cast<double>(forwarder_.held());
        if (duration > Time(0))
            state.counters["core_share"] = costs.total.count() * 1e6 / static_cast<double>(duration.count());
        if (time_bound_reached_) state.counters["over_s"] = time_bound.count();
        if (!forwarder_.adds_up()) state.SkipWithError("messages do not add up");
    }

private:
    std::vector<DestinationId> closed_destinations(std::size_t count, HeldAt placement) const {
        if (placement == HeldAt::OneDestination) return {0};
        if (placement == HeldAt::DownDestinations)
            return down_destinations(options_.destinations, kDownShare);
        std::vector<DestinationId> destinations(std::min(count, options_.destinations - 1));
        for (std::size_t i = 0; i < destinations.size(); ++i) destinations[i] = static_cast<DestinationId>(i);
        return destinations;
    }
    void close_destination(DestinationId destination) {
        for (const EndpointId endpoint : endpoints_of(options_, static_cast<std::size_t>(destination)))
            forwarder_.add(RetryAfterEvent{endpoint, kOneDay});
    }

    WorkloadOptions options_;
    ModelEndpoints endpoints_;
    ModelForwarder forwarder_;
    std::mt19937_64 random_;
    MessageId next_message_ = 1;
    Time now_ = kClockStart;
    bool time_bound_reached_ = false;
};

WorkloadOptions options_for(std::int64_t destinations, std::size_t held = 0) {
    WorkloadOptions options;
    options.destinations = static_cast<std::size_t>(destinations);
    options.most_held = 2 * (held + kMinSpareMessages);
    return options;
}

// ---- the list ----

/// Observes the full list and measures the heap it uses. Arguments: destinations, endpoints of each.
void list_whole(benchmark::State& state) {
    WorkloadOptions options = options_for(state.range(0));
    options.endpoints_each = state.range(1) == 1 ? EndpointsEach::One : EndpointsEach::Two;
    for (auto _ : state) {
        const Event list = make_list(options);
        const std::size_t before = heap_in_use();
        Sender sender(make_settings(options), 1);
        const auto start = std::chrono::steady_clock::now();
        sender.observe(list, kClockStart);
        const WallTime observed = std::chrono::steady_clock::now() - start;
        benchmark::DoNotOptimize(sender.decide(kClockStart));
        const WallTime decided = std::chrono::steady_clock::now() - start;
        const auto heap = static_cast<double>(heap_in_use() - before);
        state.SetIterationTime(decided.count());
        state.counters["observe_ms"] = observed.count() * 1e3;
        state.counters["mean_turn_ms"] = decided.count() * 1e3;
        state.counters["heap_mb"] = heap / 1e6;
        state.counters["bytes_a_destination"] = heap / static_cast<double>(options.destinations);
    }
}

/// Observes the same full list a second time. Argument: destinations.
void list_repeated(benchmark::State& state) {
    for (auto _ : state) {
        Setup setup(options_for(state.range(0)));
        setup.observe_list();
        setup.advance(Time(10'000'000));
        setup.forwarder().reset_costs();
        setup.observe_list();
        setup.finish(state);
    }
}

/// Observes a list of changes, in which half of the endpoints drain and half are removed, and runs the later
/// iterations in which the removed ones are cleaned up. Arguments: destinations, changed entries.
void list_change(benchmark::State& state) {
    const WorkloadOptions options = options_for(state.range(0));
    for (auto _ : state) {
        Setup setup(options);
        setup.observe_list();
        ListEvent change = make_list(options);
        change.kind = ListUpdateKind::Delta;
        change.entries.resize(std::min(options.destinations, static_cast<std::size_t>(state.range(1))));
        for (ListEntry& entry : change.entries)
            entry.condition = entry.endpoint % 4 < 2 ? Condition::Removed : Condition::Draining;
        setup.advance(Time(10'000));
        setup.forwarder().reset_costs();
        const WallTime cost = setup.run_iteration_with(change);
        for (const Time end = setup.now() + kCleanupDuration; setup.now() < end;) {
            setup.advance(Time(100'000));
            setup.run_iteration_with(TimerFired{});
        }
        setup.finish(state);
        state.counters["change_ms"] = cost.count() * 1e3;
    }
}

// ---- steady load ----

void run_steady(benchmark::State& state, const WorkloadOptions& options, std::size_t held, HeldAt placement) {
    for (auto _ : state) {
        Setup setup(options);
        setup.observe_list();
        if (held > 0) setup.hold_messages(held, placement);
        setup.forwarder().reset_costs();
        const Time start = setup.now();
        setup.run_steady(kSteadyDuration);
        setup.finish(state, setup.now() - start);
        const MessageCounts& counts = setup.forwarder().counts();
        state.counters["offered"] = static_cast<double>(counts.offered - held);
        state.counters["sent"] = static_cast<double>(counts.sent);
        state.counters["served"] = static_cast<double>(counts.served);
    }
}

/// Steady load of 104 messages per second with 4.3% of the destinations down. Arguments: destinations,
/// whether rates are listed.
void steady(benchmark::State& state) {
    WorkloadOptions options = options_for(state.range(0));
    options.listed_rates = state.range(1) != 0;
    options.down_share = kDownShare;
    run_steady(state, options, 0, HeldAt::OneDestination);
}

/// The same load without listed rates, while messages are held. Arguments: destinations, held messages,
/// HeldAt.
void steady_held(benchmark::State& state) {
    const auto held = static_cast<std::size_t>(state.range(1));
    WorkloadOptions options = options_for(state.range(0), held);
    options.down_share = kDownShare;
    run_steady(state, options, held, static_cast<HeldAt>(state.range(2)));
}

// ---- held messages ----

/// Measures the heap of held messages without the bench's own data. Arguments: destinations, held messages,
/// HeldAt.
void held_heap(benchmark::State& state) {
    const auto held = static_cast<std::size_t>(state.range(1));
    const WorkloadOptions options = options_for(state.range(0), held);
    const auto destinations = static_cast<DestinationId>(options.destinations);
    const DestinationId spread =
        static_cast<HeldAt>(state.range(2)) == HeldAt::OneDestination ? 1 : destinations;
    for (auto _ : state) {
        Sender sender(make_settings(options), 1);
        sender.observe(make_list(options), kClockStart);
        for (std::size_t i = 0; i < options.destinations; ++i)
            for (const EndpointId endpoint : endpoints_of(options, i))
                sender.observe(RetryAfterEvent{endpoint, kOneDay}, kClockStart);
        sender.decide(kClockStart);
        const std::size_t before = heap_in_use();
        for (std::size_t i = 0; i < held; ++i)
            sender.observe(make_message(i + 1, static_cast<DestinationId>(i) % spread, kOneDay), kClockStart);
        benchmark::DoNotOptimize(sender.decide(kClockStart));
        const auto heap = static_cast<double>(heap_in_use() - before);
        state.SetIterationTime(0.0);
        state.counters["heap_mb"] = heap / 1e6;
        state.counters["bytes_a_message"] = heap / static_cast<double>(held);
    }
}

/// The cost of one more message, alternately to a closed destination and to a healthy one. Arguments:
/// destinations, held messages, HeldAt.
void one_more(benchmark::State& state) {
    const auto held = static_cast<std::size_t>(state.range(1));
    const auto placement = static_cast<HeldAt>(state.range(2));
    for (auto _ : state) {
        Setup setup(options_for(state.range(0), held));
        setup.observe_list();
        setup.hold_messages(held, placement);
        setup.forwarder().reset_costs();
        WallTime to_closed{0}, to_healthy{0};
        double pairs = 0;
        for (; pairs < static_cast<double>(kSingleEventRepeats) && !setup.check_time_bound(); ++pairs) {
            setup.run_until(setup.now() + Time(1000));
            setup.add_message(setup.closed_destination(placement), kOneDay);
            to_closed += setup.run_iteration();
            setup.run_until(setup.now() + Time(1000));
            setup.add_message(setup.healthy_destination());
            to_healthy += setup.run_iteration();
        }
        setup.finish(state);
        state.counters["to_closed_ms"] = to_closed.count() * 1e3 / pairs;
        state.counters["to_well_ms"] = to_healthy.count() * 1e3 / pairs;
    }
}

/// The cost of a timer while messages are held. Arguments: destinations, held messages, HeldAt.
void timer_sweep(benchmark::State& state) {
    const auto held = static_cast<std::size_t>(state.range(1));
    for (auto _ : state) {
        Setup setup(options_for(state.range(0), held));
        setup.observe_list();
        setup.hold_messages(held, static_cast<HeldAt>(state.range(2)));
        setup.forwarder().reset_costs();
        for (std::size_t i = 0; i < kSingleEventRepeats && !setup.check_time_bound(); ++i) {
            setup.advance(Time(100'000));
            setup.run_iteration_with(TimerFired{});
        }
        setup.finish(state);
    }
}

/// Accepts 20,000 messages over 2 s of virtual time while their outcomes are processed. All messages in one
/// iteration is the case after a restart. Arguments: destinations, whether all are down, messages per
/// iteration.
void take_on(benchmark::State& state) {
    WorkloadOptions options = options_for(state.range(0), accepted_messages);
    options.down_share = state.range(1) != 0 ? 1.0 : 0.0;
    const std::size_t per_iteration = std::min(accepted_messages, static_cast<std::size_t>(state.range(2)));
    const auto iterations = static_cast<Time::rep>(accepted_messages / per_iteration);
    for (auto _ : state) {
        Setup setup(options);
        setup.observe_list();
        setup.forwarder().reset_costs();
        for (Time::rep i = 0; i < iterations && !setup.check_time_bound(); ++i) {
            for (std::size_t j = 0; j < per_iteration; ++j) setup.add_message(setup.draw_destination());
            setup.run_iteration();
            if (i + 1 < iterations) setup.run_until(setup.now() + kAcceptDuration / iterations);
        }
        setup.finish(state);
        state.counters["taken_on"] = static_cast<double>(setup.forwarder().counts().offered);
    }
}

// ---- the cases ----

using Values = std::vector<std::int64_t>;

void register_case(const char* name, void (*function)(benchmark::State&),
    const std::vector<std::string>& arguments, const std::vector<Values>& values) {
    benchmark::RegisterBenchmark(name, function)
        ->ArgNames(arguments)
        ->ArgsProduct(values)
        ->Iterations(1)
        ->UseManualTime()
        ->Unit(benchmark::kMillisecond);
}

void register_cases(const CaseSizes& sizes) {
    const bool small = sizes.sizes == Sizes::Small;
    if (small) accepted_messages = kAcceptedMessagesSmall;
    if (sizes.bound_s) time_bound = WallTime(*sizes.bound_s);
    Values destinations = small ? Values{50, 500} : Values{1'000, 10'000, 100'000, kDestinations};
    if (sizes.destinations) destinations = {*sizes.destinations};
    const Values max_destinations{destinations.back()};
    const Values few_destinations{small ? 50 : 1'000};
    const Values held = small ? Values{10, 100} : Values{1'000, 10'000, 100'000, 1'000'000};
    const Values held_at{0, 1, 2}, yes_or_no{0, 1};
    register_case("list_whole", list_whole, {"destinations", "endpoints"}, {destinations, {1, 2}});
    register_case("list_repeated", list_repeated, {"destinations"}, {destinations});
    register_case("list_change", list_change, {"destinations", "entries"}, {destinations, {1, 10'000}});
    register_case("steady", steady, {"destinations", "rates"}, {destinations, yes_or_no});
    register_case(
        "steady_held", steady_held, {"destinations", "held", "at"}, {max_destinations, held, held_at});
    register_case("held_heap", held_heap, {"destinations", "held", "at"}, {few_destinations, held, {0, 2}});
    register_case("one_more", one_more, {"destinations", "held", "at"}, {max_destinations, held, held_at});
    register_case(
        "timer_sweep", timer_sweep, {"destinations", "held", "at"}, {max_destinations, held, held_at});
    register_case("take_on", take_on, {"destinations", "down", "in_turn"},
        {destinations, yes_or_no, {1, 100, static_cast<std::int64_t>(accepted_messages)}});
}

}  // namespace
}  // namespace cometspoke::bench

int main(int count, char** arguments) {
    return cometspoke::bench::run_cases(count, arguments, cometspoke::bench::register_cases);
}
