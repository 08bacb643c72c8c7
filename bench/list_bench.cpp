/// What a list of targets costs: its bytes, its reading, its place in memory, and the longest turn of the
/// event loop of a whole forwarder that is told it.
#include <benchmark/benchmark.h>
#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>

#include "net/endpoint_directory.hpp"
#include "net/endpoint_list.hpp"
#include "net/forwarder.hpp"

namespace lockgw {
namespace {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr auto kBound = 60s;         // of one case in the event loop
constexpr int kRefusals = 2;         // after so many lists that were not taken a case ends
constexpr std::size_t kPerCell = 1;  // targets of a destination

std::string member_text(std::size_t number) {
    char text[256];
    const int length = std::snprintf(text, sizeof text,
        R"({"id":"s-%08zx","host_port":"10.%zu.%zu.%zu:6379","locality":"a","flavor":"shop","cell":%zu,)"
        R"("phase":"in_service","size":1.0,"up_since_ms":0})",
        number, number >> 16 & 255, number >> 8 & 255, number & 255, number / kPerCell);
    return {text, static_cast<std::size_t>(length)};
}
std::string list_text(std::size_t targets, int revision, bool complete) {
    std::string text = "{\"revision\":" + std::to_string(revision) +
                       ",\"complete\":" + (complete ? "true" : "false") + ",\"members\":[";
    for (std::size_t number = 0; number < targets; ++number)
        text.append(number > 0 ? "," : "").append(member_text(number));
    return text + "]}";
}

std::size_t heap_bytes() {
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}
double seconds_since(Clock::time_point begun) {
    return std::chrono::duration<double>(Clock::now() - begun).count();
}

/// The body of a whole list as one JSON value and as entries, in one call.
void parse(benchmark::State& state) {
    const auto targets = static_cast<std::size_t>(state.range(0));
    const std::string text = list_text(targets, 1, true);
    for (auto _ : state) {
        malloc_trim(0);
        const std::size_t heap_before = heap_bytes();
        const auto begun = Clock::now();
        Json body = Json::parse(text);
        const double parsed = seconds_since(begun);
        state.counters["json_heap_bytes_an_entry"] =
            static_cast<double>(heap_bytes() - heap_before) / static_cast<double>(targets);
        try {
            const EndpointList list = parse_endpoint_list(body, targets);
            state.counters["entries"] = static_cast<double>(list.endpoints.size());
        } catch (const std::exception& refused) {
            state.SetLabel(refused.what());
        }
        const double all = seconds_since(begun);
        state.SetIterationTime(all);
        state.counters["parsed_ms"] = parsed * 1e3;
        state.counters["us_an_entry"] = all * 1e6 / static_cast<double>(targets);
        state.counters["bytes"] = static_cast<double>(text.size());
        state.counters["bytes_of_one_change"] = static_cast<double>(list_text(1, 1, false).size());
    }
}

/// A whole list told to the directory for the first time, and once more.
void directory(benchmark::State& state) {
    const auto targets = static_cast<std::size_t>(state.range(0));
    EndpointList list;
    list.complete = true;
    for (std::size_t number = 0; number < targets; ++number) {
        EndpointRecord& target = list.endpoints.emplace_back();
        char name[24];
        std::snprintf(name, sizeof name, "s-%08zx", number);
        target.id = name;
        target.destination = static_cast<std::int64_t>(number / kPerCell);
        target.condition = cometspoke::Condition::Ready;
    }
    for (auto _ : state) {
        malloc_trim(0);
        const std::size_t heap_before = heap_bytes();
        EndpointDirectory directory;
        const auto begun = Clock::now();
        try {
            directory.apply(list, begun);
            const double first = seconds_since(begun);
            state.counters["heap_bytes_an_entry"] =
                static_cast<double>(heap_bytes() - heap_before) / static_cast<double>(targets);
            const auto again = Clock::now();
            directory.apply(list, again);
            state.counters["first_ms"] = first * 1e3;
            state.counters["repeated_ms"] = seconds_since(again) * 1e3;
        } catch (const std::exception& refused) {
            state.SetLabel(refused.what());
        }
        state.SetIterationTime(seconds_since(begun));
    }
}

/// Answers each call for the list at once with the whole list, until a call says that it has been taken.
class Agent {
public:
    explicit Agent(std::size_t targets)
        : whole_(answer_of(list_text(targets, kRevision, true))),
          acceptor_(io_, {asio::ip::address_v4::loopback(), 0}),
          thread_([this] { serve(); }) {}
    ~Agent() {
        stopping_ = true;
        boost::system::error_code ignored;
        Tcp::socket last(io_);
        last.connect(acceptor_.local_endpoint(), ignored);  // wakes the accept
        thread_.join();
    }
    std::string address() const { return text_of(acceptor_.local_endpoint()); }
    /// How often the list that it last told has been taken: another answer to that call is the same list.
    int taken() const { return taken_; }
    int told() const { return told_; }

private:
    static constexpr int kRevision = 5;

    static std::string answer_of(const std::string& body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    void serve() {
        while (!stopping_) {
            boost::system::error_code failed;
            Tcp::socket socket(io_);
            acceptor_.accept(socket, failed);
            while (!failed && !stopping_) answer_next(socket, failed);
        }
    }
    void answer_next(Tcp::socket& socket, boost::system::error_code& failed) {
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", failed);
        if (failed) return;
        if (request.find("from=" + std::to_string(kRevision)) != std::string::npos) {
            if (++taken_ == 2) return;  // the second time it stands for a repeated list
        }
        ++told_;
        asio::write(socket, asio::buffer(whole_), failed);
    }

    asio::io_context io_;
    std::string whole_;
    Tcp::acceptor acceptor_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> taken_ = 0, told_ = 0;
    std::thread thread_;
};

Json make_config(const std::string& agent) {
    Json kind{{"name", "safe"}, {"effect", "retryable"}, {"aim_ms", 4000}, {"hard_limit_ms", 60000},
        {"window_ms", 4000}, {"worth", 1}};
    return Json{{"name", "n0"}, {"listen", "127.0.0.1:0"}, {"discovery", agent}, {"seed", "8c1f30d27a5be964"},
        {"limits", {{"cores", 1.0}, {"memory_mb", 256}, {"sockets", 256}, {"disk_mb", 64}}},
        {"settings", {{"classes", {kind}}, {"tenants", {{{"name", "acme"}}}}, {"kinds", {"shop"}},
                         {"localities", {"a"}}, {"family_info", {{"slots", 8}}}, {"n_instances", 1},
                         {"limits", {{"most_held", 40}, {"max_attempts", 12}, {"cancel", true},
                                        {"conn_idle_ms", 10000}, {"connect_timeout_ms", 1000}}},
                         {"contract", {{"fall_ms", 2000}, {"warm_within_ms", 11000}, {"fall_multiple", 2.5},
                                          {"cold_from", 0.16}}}}}};
}

/// Processor time of this thread: a turn that waits costs nothing.
double thread_seconds() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// The longest turn of a forwarder's event loop, by its processor time, from its start until it has taken the
/// list and the same list once more.
void event_loop(benchmark::State& state) {
    const auto targets = static_cast<std::size_t>(state.range(0));
    for (auto _ : state) {
        std::ostringstream log;
        auto* const err = std::cerr.rdbuf(log.rdbuf());
        std::string name = (std::filesystem::temp_directory_path() / "list_bench-XXXXXX").string();
        if (mkdtemp(name.data()) == nullptr) return state.SkipWithError("no temporary folder");
        malloc_trim(0);
        Agent agent(targets);
        const std::size_t heap_before = heap_bytes();
        {
            asio::io_context io(1);
            Config config = read_config(make_config(agent.address()));
            config.state = name;
            Forwarder forwarder(io, std::move(config));
            forwarder.start();
            const auto begun = Clock::now();
            double longest = 0.0, all = 0.0, longest_first = 0.0;
            std::size_t heap_most = 0;
            std::size_t turns = 0;
            while (agent.taken() < 2 && (agent.taken() > 0 || agent.told() <= kRefusals) &&
                   Clock::now() - begun < kBound) {
                const double before = thread_seconds();
                io.run_one_for(100ms);
                const double took = thread_seconds() - before;
                longest = std::max(longest, took);
                if (agent.taken() == 0) longest_first = longest;
                all += took;
                if (++turns % 64 == 0 || took > 0.005) heap_most = std::max(heap_most, heap_bytes());
            }
            state.SetIterationTime(seconds_since(begun));
            state.counters["taken"] = agent.taken();
            state.counters["longest_turn_ms"] = longest * 1e3;
            state.counters["longest_turn_first_ms"] = longest_first * 1e3;
            state.counters["processor_ms"] = all * 1e3;
            const auto count = static_cast<double>(targets);
            state.counters["heap_bytes_an_entry"] = static_cast<double>(heap_bytes() - heap_before) / count;
            state.counters["most_heap_mb"] =
                static_cast<double>(heap_most - std::min(heap_most, heap_before)) / 1e6;
        }
        std::cerr.rdbuf(err);
        const std::string text = log.str();
        if (const auto at = text.find("discovery: "); at != std::string::npos)
            state.SetLabel(text.substr(at, text.find('\n', at) - at));
        std::error_code ignored;
        std::filesystem::remove_all(name, ignored);
    }
}

void sizes(benchmark::internal::Benchmark* bench) {
    for (const std::int64_t targets : {1'000, 10'000, 100'000, 310'000}) bench->Arg(targets);
    bench->Iterations(1)->UseManualTime()->Unit(benchmark::kMillisecond);
}

BENCHMARK(parse)->Apply(sizes);
BENCHMARK(directory)->Apply(sizes);
BENCHMARK(event_loop)->Apply(sizes);
BENCHMARK(event_loop)->Arg(620'000)->Iterations(1)->UseManualTime()->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace lockgw

BENCHMARK_MAIN();
