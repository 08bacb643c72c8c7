/// What the journal costs: bytes and time of each record, replay, memory of an entry, and the longest call.
///
/// The files lie in $TMPDIR. Memory is what malloc has given out, by mallinfo2().
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

#include "net/journal.hpp"

namespace lockgw {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kAmpleRoom = std::size_t(16) << 30;  // bytes; no call is refused or compacts for room
constexpr std::size_t kBodyBytes = 200;                    // of a message, as in the protocol's example
constexpr MessageId kFirstMessage = 0x7f3a'9c21'0000'0000;
const PersistentTime kNow{std::chrono::seconds(1'700'000'000)};

class BenchFolder {
public:
    BenchFolder() {
        std::string name = (std::filesystem::temp_directory_path() / "journal_bench-XXXXXX").string();
        if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("no temporary folder");
        path_ = name;
    }
    ~BenchFolder() {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    const std::filesystem::path& path() const { return path_; }
    std::size_t journal_bytes() const { return std::filesystem::file_size(path_ / "journal"); }

private:
    std::filesystem::path path_;
};

Message make_message(std::size_t number) {
    Message message;
    message.id = kFirstMessage + number;
    message.message_class = "notice";
    message.tenant = "acme";
    message.key = "5c0f6e1a2b3d4c59";
    message.destination = static_cast<std::int64_t>(number % 310'000);
    message.deadline = kNow + std::chrono::seconds(8);
    message.body = std::string(kBodyBytes, 'b');
    message.class_settings.emplace();
    return message;
}

/// A figure of calls that did not do their work would mean nothing.
void expect_kept(bool kept) {
    if (!kept) throw std::runtime_error("a record was not kept");
}

void hold(Journal& journal, std::size_t count) {
    for (std::size_t number = 0; number < count; ++number) expect_kept(journal.accept(make_message(number)));
}

std::size_t heap_bytes() {
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

double milliseconds_of(Clock::duration span) {
    return std::chrono::duration<double, std::milli>(span).count();
}

enum class Step : std::int64_t { TakeOn, BeginAttempt, WriteAttempt, EndAttempt, Delivered };

void take_step(Journal& journal, Step step, std::size_t number) {
    const MessageId id = kFirstMessage + number;
    switch (step) {
        case Step::TakeOn:
            expect_kept(journal.accept(make_message(number)));
            break;
        case Step::BeginAttempt:
            expect_kept(journal.start_attempt(id, "s-5be2a07c", kNow));
            break;
        case Step::WriteAttempt:
            expect_kept(journal.mark_attempt_written(id));
            break;
        case Step::EndAttempt:
            expect_kept(journal.end_attempt(id, true));
            break;
        case Step::Delivered:
            expect_kept(journal.delivered(id));
            break;
    }
}

/// Time and bytes of one kind of record, where the steps before it have been taken for all messages.
void append_record(benchmark::State& state) {
    const auto step = static_cast<Step>(state.range(0));
    constexpr std::size_t messages = 100'000;
    for (auto _ : state) {
        BenchFolder folder;
        Journal journal(folder.path(), kAmpleRoom);
        for (std::int64_t before = 0; before < state.range(0); ++before)
            for (std::size_t number = 0; number < messages; ++number)
                take_step(journal, static_cast<Step>(before), number);
        const std::size_t size_before = folder.journal_bytes();
        const auto begun = Clock::now();
        take_step(journal, step, 0);
        const auto first = Clock::now();
        const std::size_t size_after = folder.journal_bytes();
        const auto rest = Clock::now();
        for (std::size_t number = 1; number < messages; ++number) take_step(journal, step, number);
        const double seconds = std::chrono::duration<double>(first - begun + (Clock::now() - rest)).count();
        state.SetIterationTime(seconds);
        state.counters["us_a_record"] = seconds * 1e6 / messages;
        state.counters["bytes_a_record"] = static_cast<double>(size_after - size_before);
    }
}

/// A start that finds so many messages: read back and compacted, as every start does.
void replay(benchmark::State& state) {
    const auto messages = static_cast<std::size_t>(state.range(0));
    BenchFolder folder;
    {
        Journal journal(folder.path(), kAmpleRoom);
        hold(journal, messages);
    }
    for (auto _ : state) {
        malloc_trim(0);
        const std::size_t heap_before = heap_bytes();
        const auto begun = Clock::now();
        const Journal journal(folder.path(), kAmpleRoom);
        const double seconds = std::chrono::duration<double>(Clock::now() - begun).count();
        if (journal.entries().size() != messages) return state.SkipWithError("messages are missing");
        state.SetIterationTime(seconds);
        const auto count = static_cast<double>(messages);
        state.counters["us_a_message"] = seconds * 1e6 / count;
        state.counters["heap_bytes_a_message"] = static_cast<double>(heap_bytes() - heap_before) / count;
        state.counters["file_bytes_a_message"] = static_cast<double>(folder.journal_bytes()) / count;
    }
}

/// The longest single call while so many messages are tried again and again in a room that they nearly fill.
void longest_call(benchmark::State& state) {
    const auto messages = static_cast<std::size_t>(state.range(0));
    constexpr std::size_t room_a_message = 2000;  // a little over what 0.4 of it must hold
    for (auto _ : state) {
        BenchFolder folder;
        Journal journal(folder.path(), messages * room_a_message);
        hold(journal, messages);
        if (journal.entries().size() != messages) return state.SkipWithError("the room is too small");
        Clock::duration longest{}, all{};
        std::size_t calls = 0, compactions = 0;
        for (std::size_t size = folder.journal_bytes(); compactions < 2; ++calls) {
            const std::size_t number = calls / 2 % messages;
            const auto begun = Clock::now();
            take_step(journal, calls % 2 == 0 ? Step::BeginAttempt : Step::EndAttempt, number);
            const auto took = Clock::now() - begun;
            all += took;
            longest = std::max(longest, took);
            const std::size_t size_now = folder.journal_bytes();
            compactions += size_now < size;
            size = size_now;
        }
        state.SetIterationTime(std::chrono::duration<double>(all).count());
        state.counters["longest_call_ms"] = milliseconds_of(longest);
        state.counters["calls"] = static_cast<double>(calls);
    }
}

void sizes(benchmark::internal::Benchmark* bench) {
    bench->Arg(10'000)->Arg(100'000)->Arg(1'000'000)->Iterations(1)->UseManualTime()->Unit(
        benchmark::kMillisecond);
}

BENCHMARK(append_record)->DenseRange(0, 4)->Iterations(3)->UseManualTime()->Unit(benchmark::kMillisecond);
BENCHMARK(replay)->Apply(sizes);
// No more than 100,000: the records that fill a room for a million take over a minute.
BENCHMARK(longest_call)
    ->Arg(10'000)
    ->Arg(100'000)
    ->Iterations(1)
    ->UseManualTime()
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace lockgw

BENCHMARK_MAIN();
