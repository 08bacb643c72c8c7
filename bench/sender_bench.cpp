/// What one Sender costs at the operators' sizes, on a virtual clock with modelled endpoints.
///
/// Each case runs once; its figures are its counters. A case whose measured turns take a bound of time
/// together ends early with the counter over_s, and its figures are those of the part that ran. One turn is
/// never cut short: for that bench/run bounds the whole process.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "heap_meter.hpp"
#include "hollow_forwarder.hpp"
#include "json_line_reporter.hpp"
#include "workload.hpp"

namespace cometspoke::bench {
namespace {

constexpr Time kStart{1'000'000};          // of the virtual clock
constexpr Time kWholeDay{86'400'000'000};  // a told wait or deadline beyond the end of any case
constexpr Time kSteadySpan{10'000'000};    // virtual time over which steady turns are measured
constexpr Time kTakeOnSpan{2'000'000};     // in which messages are taken on
constexpr Time kTidySpan{1'200'000};       // what is no longer listed is tidied away within it
constexpr std::size_t kSingles = 200;      // repeats of a measurement of one event
constexpr std::size_t kRoomForMore =
    50'000;  // max_held_messages lies above the held messages by this at least
constexpr std::size_t kTakenOn = 20'000;
constexpr std::size_t kTakenOnSmall = 200;

/// Where held messages go. Their destinations have told a wait of a whole day.
enum class HeldAt : std::int64_t { One = 0, DownShare = 1, Many = 2 };

WallTime bound{3.0};
std::size_t taken_on = kTakenOn;

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

    /// A turn with one event; returns its cost.
    WallTime turn_with(Event event) {
        forwarder_.add(std::move(event));
        return turn();
    }
    WallTime turn() {
        const WallTime before = forwarder_.costs().total;
        forwarder_.turn(now_);
        return forwarder_.costs().total - before;
    }
    void list() { turn_with(make_list(options_)); }

    /// Holds `count` messages whose destinations are closed for the whole run.
    void hold(std::size_t count, HeldAt where) {
        const std::vector<DestinationId> closed = closed_destinations(count, where);
        for (const DestinationId destination : closed) close(destination);
        for (std::size_t i = 0; i < count; ++i) add_message(closed[i % closed.size()], kWholeDay);
        turn();
    }
    void add_message(DestinationId destination, Time left = kUsualDeadline) {
        forwarder_.add(make_message(next_message_++, destination, left));
    }
    DestinationId any_destination() {
        return std::uniform_int_distribution<DestinationId>(0, well_destination())(random_);
    }
    /// hold() never closes this one, nor is it among those that are down.
    DestinationId well_destination() const { return static_cast<DestinationId>(options_.destinations) - 1; }
    /// hold() always closes this one.
    DestinationId closed_destination(HeldAt where) const { return closed_destinations(1, where).front(); }

    bool out_of_time() const { return forwarder_.costs().total > bound; }

    /// Runs outcomes and timers that are due before `end`, then stands there.
    void run_until(Time end) {
        while (forwarder_.next_due() < end) {
            if (cut_short()) return;
            now_ = std::max(now_, forwarder_.next_due());
            turn();
        }
        now_ = std::max(now_, end);
    }
    /// Offers kMessagesPerSecond to all destinations alike over the span of virtual time.
    void run_steady(Time span) {
        const Time gap(static_cast<Time::rep>(1e6 / kMessagesPerSecond));
        for (const Time end = now_ + span; now_ < end;) {
            run_until(now_ + gap);
            if (cut_short()) return;
            add_message(any_destination());
            turn();
        }
    }
    /// Whether the bound is reached, which the report will say.
    bool cut_short() {
        cut_short_ = cut_short_ || out_of_time();
        return cut_short_;
    }

    /// Reports the turns since forget_costs() and checks that the messages add up.
    void finish(benchmark::State& state, Time span = Time(0)) {
        const TurnCosts& costs = forwarder_.costs();
        const auto turns = static_cast<double>(std::max<std::uint64_t>(1, costs.turns));
        state.SetIterationTime(costs.total.count());
        state.counters["turns"] = turns;
        state.counters["total_s"] = costs.total.count();
        state.counters["mean_turn_ms"] = costs.total.count() * 1e3 / turns;
        state.counters["worst_turn_ms"] = costs.worst.count() * 1e3;
        state.counters["held_after"] = static_cast<double>(forwarder_.held());
        if (span > Time(0))
            state.counters["core_share"] = costs.total.count() * 1e6 / static_cast<double>(span.count());
        if (cut_short_) state.counters["over_s"] = bound.count();
        if (!forwarder_.adds_up()) state.SkipWithError("messages do not add up");
    }

private:
    std::vector<DestinationId> closed_destinations(std::size_t count, HeldAt where) const {
        if (where == HeldAt::One) return {0};
        if (where == HeldAt::DownShare) return down_destinations(options_.destinations, kDownShare);
        std::vector<DestinationId> many(std::min(count, options_.destinations - 1));
        for (std::size_t i = 0; i < many.size(); ++i) many[i] = static_cast<DestinationId>(i);
        return many;
    }
    void close(DestinationId destination) {
        for (const EndpointId endpoint : endpoints_of(options_, static_cast<std::size_t>(destination)))
            forwarder_.add(RetryAfterEvent{endpoint, kWholeDay});
    }

    WorkloadOptions options_;
    EndpointFarm farm_;
    HollowForwarder forwarder_;
    std::mt19937_64 random_;
    MessageId next_message_ = 1;
    Time now_ = kStart;
    bool cut_short_ = false;
};

WorkloadOptions options_for(std::int64_t destinations, std::size_t held = 0) {
    WorkloadOptions options;
    options.destinations = static_cast<std::size_t>(destinations);
    options.most_held = 2 * (held + kRoomForMore);
    return options;
}

// ---- the list ----

/// Observing the whole list, and the heap it takes. Arguments: destinations, endpoints of each.
void list_whole(benchmark::State& state) {
    WorkloadOptions options = options_for(state.range(0));
    options.endpoints_each = state.range(1) == 1 ? EndpointsEach::One : EndpointsEach::Two;
    for (auto _ : state) {
        const Event list = make_list(options);
        const std::size_t before = heap_in_use();
        Sender sender(make_settings(options), 1);
        const auto start = std::chrono::steady_clock::now();
        sender.observe(list, kStart);
        const WallTime observed = std::chrono::steady_clock::now() - start;
        benchmark::DoNotOptimize(sender.decide(kStart));
        const WallTime decided = std::chrono::steady_clock::now() - start;
        const auto heap = static_cast<double>(heap_in_use() - before);
        state.SetIterationTime(decided.count());
        state.counters["observe_ms"] = observed.count() * 1e3;
        state.counters["mean_turn_ms"] = decided.count() * 1e3;
        state.counters["heap_mb"] = heap / 1e6;
        state.counters["bytes_a_destination"] = heap / static_cast<double>(options.destinations);
    }
}

/// The same whole list again. Argument: destinations.
void list_repeated(benchmark::State& state) {
    for (auto _ : state) {
        Setup setup(options_for(state.range(0)));
        setup.list();
        setup.advance(Time(10'000'000));
        setup.forwarder().forget_costs();
        setup.list();
        setup.finish(state);
    }
}

/// A list of changes, half of them endpoints that drain and half that are gone, and the turns after it in
/// which what is gone is tidied away. Arguments: destinations, entries that change.
void list_change(benchmark::State& state) {
    const WorkloadOptions options = options_for(state.range(0));
    for (auto _ : state) {
        Setup setup(options);
        setup.list();
        ListEvent change = make_list(options);
        change.kind = ListUpdateKind::Delta;
        change.entries.resize(std::min(options.destinations, static_cast<std::size_t>(state.range(1))));
        for (ListEntry& entry : change.entries)
            entry.condition = entry.endpoint % 4 < 2 ? Condition::Removed : Condition::Draining;
        setup.advance(Time(10'000));
        setup.forwarder().forget_costs();
        const WallTime cost = setup.turn_with(change);
        for (const Time end = setup.now() + kTidySpan; setup.now() < end;) {
            setup.advance(Time(100'000));
            setup.turn_with(TimerFired{});
        }
        setup.finish(state);
        state.counters["change_ms"] = cost.count() * 1e3;
    }
}

// ---- turns ----

void run_steady(benchmark::State& state, const WorkloadOptions& options, std::size_t held, HeldAt where) {
    for (auto _ : state) {
        Setup setup(options);
        setup.list();
        if (held > 0) setup.hold(held, where);
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

/// Turns at 104 messages a second with 4.3% of the destinations down. Arguments: destinations, whether rates
/// are listed.
void steady(benchmark::State& state) {
    WorkloadOptions options = options_for(state.range(0));
    options.listed_rates = state.range(1) != 0;
    options.down_share = kDownShare;
    run_steady(state, options, 0, HeldAt::One);
}

/// The same without listed rates while messages are held. Arguments: destinations, held messages, HeldAt.
void steady_held(benchmark::State& state) {
    const auto held = static_cast<std::size_t>(state.range(1));
    WorkloadOptions options = options_for(state.range(0), held);
    options.down_share = kDownShare;
    run_steady(state, options, held, static_cast<HeldAt>(state.range(2)));
}

// ---- held messages ----

/// Heap of held messages, all the bench's own left out. Arguments: destinations, held messages, HeldAt.
void held_heap(benchmark::State& state) {
    const auto held = static_cast<std::size_t>(state.range(1));
    const WorkloadOptions options = options_for(state.range(0), held);
    const auto destinations = static_cast<DestinationId>(options.destinations);
    const DestinationId spread = static_cast<HeldAt>(state.range(2)) == HeldAt::One ? 1 : destinations;
    for (auto _ : state) {
        Sender sender(make_settings(options), 1);
        sender.observe(make_list(options), kStart);
        for (std::size_t i = 0; i < options.destinations; ++i)
            for (const EndpointId endpoint : endpoints_of(options, i))
                sender.observe(RetryAfterEvent{endpoint, kWholeDay}, kStart);
        sender.decide(kStart);
        const std::size_t before = heap_in_use();
        for (std::size_t i = 0; i < held; ++i)
            sender.observe(make_message(i + 1, static_cast<DestinationId>(i) % spread, kWholeDay), kStart);
        benchmark::DoNotOptimize(sender.decide(kStart));
        const auto heap = static_cast<double>(heap_in_use() - before);
        state.SetIterationTime(0.0);
        state.counters["heap_mb"] = heap / 1e6;
        state.counters["bytes_a_message"] = heap / static_cast<double>(held);
    }
}

/// The cost of one more message, to a closed destination and to a well one by turns. Arguments: destinations,
/// held messages, HeldAt.
void one_more(benchmark::State& state) {
    const auto held = static_cast<std::size_t>(state.range(1));
    const auto where = static_cast<HeldAt>(state.range(2));
    for (auto _ : state) {
        Setup setup(options_for(state.range(0), held));
        setup.list();
        setup.hold(held, where);
        setup.forwarder().forget_costs();
        WallTime to_closed{0}, to_well{0};
        double pairs = 0;
        for (; pairs < static_cast<double>(kSingles) && !setup.cut_short(); ++pairs) {
            setup.run_until(setup.now() + Time(1000));
            setup.add_message(setup.closed_destination(where), kWholeDay);
            to_closed += setup.turn();
            setup.run_until(setup.now() + Time(1000));
            setup.add_message(setup.well_destination());
            to_well += setup.turn();
        }
        setup.finish(state);
        state.counters["to_closed_ms"] = to_closed.count() * 1e3 / pairs;
        state.counters["to_well_ms"] = to_well.count() * 1e3 / pairs;
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
        for (std::size_t i = 0; i < kSingles && !setup.cut_short(); ++i) {
            setup.advance(Time(100'000));
            setup.turn_with(TimerFired{});
        }
        setup.finish(state);
    }
}

/// Taking on 20,000 messages over 2 s of virtual time, their outcomes going on meanwhile; all in one turn is
/// as after a restart. Arguments: destinations, whether all are down, messages in a turn.
void take_on(benchmark::State& state) {
    WorkloadOptions options = options_for(state.range(0), taken_on);
    options.down_share = state.range(1) != 0 ? 1.0 : 0.0;
    const std::size_t in_turn = std::min(taken_on, static_cast<std::size_t>(state.range(2)));
    const auto turns = static_cast<Time::rep>(taken_on / in_turn);
    for (auto _ : state) {
        Setup setup(options);
        setup.list();
        setup.forwarder().forget_costs();
        for (Time::rep i = 0; i < turns && !setup.cut_short(); ++i) {
            for (std::size_t j = 0; j < in_turn; ++j) setup.add_message(setup.any_destination());
            setup.turn();
            if (i + 1 < turns) setup.run_until(setup.now() + kTakeOnSpan / turns);
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
    if (small) taken_on = kTakenOnSmall;
    if (sizes.bound_s) bound = WallTime(*sizes.bound_s);
    Values destinations = small ? Values{50, 500} : Values{1'000, 10'000, 100'000, kDestinations};
    if (sizes.destinations) destinations = {*sizes.destinations};
    const Values most{destinations.back()};
    const Values few{small ? 50 : 1'000};
    const Values held = small ? Values{10, 100} : Values{1'000, 10'000, 100'000, 1'000'000};
    const Values held_at{0, 1, 2}, yes_or_no{0, 1};
    register_case("list_whole", list_whole, {"destinations", "endpoints"}, {destinations, {1, 2}});
    register_case("list_repeated", list_repeated, {"destinations"}, {destinations});
    register_case("list_change", list_change, {"destinations", "entries"}, {destinations, {1, 10'000}});
    register_case("steady", steady, {"destinations", "rates"}, {destinations, yes_or_no});
    register_case("steady_held", steady_held, {"destinations", "held", "at"}, {most, held, held_at});
    register_case("held_heap", held_heap, {"destinations", "held", "at"}, {few, held, {0, 2}});
    register_case("one_more", one_more, {"destinations", "held", "at"}, {most, held, held_at});
    register_case("timer_sweep", timer_sweep, {"destinations", "held", "at"}, {most, held, held_at});
    register_case("take_on", take_on, {"destinations", "down", "in_turn"},
        {destinations, yes_or_no, {1, 100, static_cast<std::int64_t>(taken_on)}});
}

}  // namespace
}  // namespace cometspoke::bench

int main(int count, char** arguments) {
    return cometspoke::bench::run_cases(count, arguments, cometspoke::bench::register_cases);
}
