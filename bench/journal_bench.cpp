/// Measures the cost of the journal: bytes and time of each record, replay, memory of an entry, and the
/// longest call.
///
/// The files are created in $TMPDIR. Memory is the allocated heap that mallinfo2() reports.
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

constexpr std::size_t kAmpleSpaceBytes =
    std::size_t(16) << 30;               // enough that no call is refused or compacts for lack of space
constexpr std::size_t kBodyBytes = 200;  // of a message, as in the example of the protocol
constexpr MessageId kFirstMessage = 0x7f3a'9c21'0000'0000;
const PersistentTime kNow{std::chrono::seconds(1'700'000'000)};

class BenchFolder {
public:
    BenchFolder() {
        std::string name = (std::filesystem::temp_directory_path() / "journal_bench-XXXXXX").string();
        if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("cannot create a temporary folder");
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

/// Fails the benchmark when a record was not written, because the time of a failed call means nothing.
void expect_written(bool written) {
    if (!written) throw std::runtime_error("a record was not written to the journal");
}

void accept_messages(Journal& journal, std::size_t count) {
    for (std::size_t number = 0; number < count; ++number)
        expect_written(journal.accept(make_message(number)));
}

std::size_t heap_bytes() {
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

double milliseconds_of(Clock::duration duration) {
    return std::chrono::duration<double, std::milli>(duration).count();
}

enum class Step : std::int64_t { Accept, StartAttempt, MarkAttemptWritten, EndAttempt, Delivered };

void write_record(Journal& journal, Step step, std::size_t number) {
    const MessageId id = kFirstMessage + number;
    switch (step) {
        case Step::Accept:
            expect_written(journal.accept(make_message(number)));
            break;
        case Step::StartAttempt:
            expect_written(journal.start_attempt(id, "s-5be2a07c", kNow));
            break;
        case Step::MarkAttemptWritten:
            expect_written(journal.mark_attempt_written(id));
            break;
        case Step::EndAttempt:
            expect_written(journal.end_attempt(id, true));
            break;
        case Step::Delivered:
            expect_written(journal.delivered(id));
            break;
    }
}

/// Time and bytes of one record type, after the records of all earlier steps were written for all messages.
void append_record(benchmark::State& state) {
    const auto step = static_cast<Step>(state.range(0));
    constexpr std::size_t messages = 100'000;
    for (auto _ : state) {
        BenchFolder folder;
        Journal journal(folder.path(), kAmpleSpaceBytes);
        for (std::int64_t before = 0; before < state.range(0); ++before)
            for (std::size_t number = 0; number < messages; ++number)
                write_record(journal, static_cast<Step>(before), number);
        const std::size_t size_before = folder.journal_bytes();
        const auto started = Clock::now();
        write_record(journal, step, 0);
        const auto first_ended = Clock::now();
        const std::size_t size_after = folder.journal_bytes();
        const auto rest_started = Clock::now();
        for (std::size_t number = 1; number < messages; ++number) write_record(journal, step, number);
        const double seconds =
            std::chrono::duration<double>(first_ended - started + (Clock::now() - rest_started)).count();
        state.SetIterationTime(seconds);
        state.counters["us_a_record"] = seconds * 1e6 / messages;
        state.counters["bytes_a_record"] = static_cast<double>(size_after - size_before);
    }
}

/// Opens a journal that holds the given number of messages. Every start reads the journal and compacts it.
void replay(benchmark::State& state) {
    const auto messages = static_cast<std::size_t>(state.range(0));
    BenchFolder folder;
    {
        Journal journal(folder.path(), kAmpleSpaceBytes);
        accept_messages(journal, messages);
    }
    for (auto _ : state) {
        malloc_trim(0);
        const std::size_t heap_before = heap_bytes();
        const auto started = Clock::now();
        const Journal journal(folder.path(), kAmpleSpaceBytes);
        const double seconds = std::chrono::duration<double>(Clock::now() - started).count();
        if (journal.entries().size() != messages)
            return state.SkipWithError("messages are missing after the replay");
        state.SetIterationTime(seconds);
        const auto count = static_cast<double>(messages);
        state.counters["us_a_message"] = seconds * 1e6 / count;
        state.counters["heap_bytes_a_message"] = static_cast<double>(heap_bytes() - heap_before) / count;
        state.counters["file_bytes_a_message"] = static_cast<double>(folder.journal_bytes()) / count;
    }
}

/// The longest single call while the given number of messages is attempted repeatedly in a journal whose
/// space they nearly fill.
void longest_call(benchmark::State& state) {
    const auto messages = static_cast<std::size_t>(state.range(0));
    constexpr std::size_t message_space_bytes = 2000;  // 0.4 of it is slightly more than one message needs
    for (auto _ : state) {
        BenchFolder folder;
        Journal journal(folder.path(), messages * message_space_bytes);
        accept_messages(journal, messages);
        if (journal.entries().size() != messages)
            return state.SkipWithError("the journal's space is too small for the messages");
        Clock::duration longest_duration{}, total_duration{};
        std::size_t calls = 0, compactions = 0;
        for (std::size_t size = folder.journal_bytes(); compactions < 2; ++calls) {
            const std::size_t number = calls / 2 % messages;
            const auto started = Clock::now();
            write_record(journal, calls % 2 == 0 ? Step::StartAttempt : Step::EndAttempt, number);
            const auto call_duration = Clock::now() - started;
            total_duration += call_duration;
            longest_duration = std::max(longest_duration, call_duration);
            const std::size_t size_now = folder.journal_bytes();
            compactions += size_now < size;
            size = size_now;
        }
        state.SetIterationTime(std::chrono::duration<double>(total_duration).count());
        state.counters["longest_call_ms"] = milliseconds_of(longest_duration);
        state.counters["calls"] = static_cast<double>(calls);
    }
}

void sizes(benchmark::internal::Benchmark* bench) {
    bench->Arg(10'000)->Arg(100'000)->Arg(1'000'000)->Iterations(1)->UseManualTime()->Unit(
        benchmark::kMillisecond);
}

BENCHMARK(append_record)->DenseRange(0, 4)->Iterations(3)->UseManualTime()->Unit(benchmark::kMillisecond);
BENCHMARK(replay)->Apply(sizes);
// At most 100,000 messages: writing the records that fill the space for a million takes over a minute.
BENCHMARK(longest_call)
    ->Arg(10'000)
    ->Arg(100'000)
    ->Iterations(1)
    ->UseManualTime()
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace lockgw

BENCHMARK_MAIN();
