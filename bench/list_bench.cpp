/// Measures the cost of an endpoint list: its size in bytes, the time to parse it, its memory, and the
/// longest event-loop iteration of a whole forwarder that receives it from discovery.
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

constexpr auto kMaxEventLoopTime = 60s;  // of one case of event_loop()
constexpr int kMaxRejectedLists = 2;  // a case ends once more lists than this were sent and none was applied
constexpr std::size_t kEndpointsPerDestination = 1;

std::string member_json(std::size_t number) {
    char text[256];
    const int length = std::snprintf(text, sizeof text,
        R"({"id":"s-%08zx","host_port":"10.%zu.%zu.%zu:6379","locality":"a","flavor":"shop","cell":%zu,)"
        R"("phase":"in_service","size":1.0,"up_since_ms":0})",
        number, number >> 16 & 255, number >> 8 & 255, number & 255, number / kEndpointsPerDestination);
    return {text, static_cast<std::size_t>(length)};
}
std::string list_json(std::size_t endpoint_count, int revision, bool complete) {
    std::string text = "{\"revision\":" + std::to_string(revision) +
                       ",\"complete\":" + (complete ? "true" : "false") + ",\"members\":[";
    for (std::size_t number = 0; number < endpoint_count; ++number)
        text.append(number > 0 ? "," : "").append(member_json(number));
    return text + "]}";
}

std::size_t heap_bytes() {
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}
double seconds_since(Clock::time_point started) {
    return std::chrono::duration<double>(Clock::now() - started).count();
}

/// Parses the body of a complete list into a JSON value and then into entries, both in one measured call.
void parse(benchmark::State& state) {
    const auto endpoint_count = static_cast<std::size_t>(state.range(0));
    const std::string text = list_json(endpoint_count, 1, true);
    for (auto _ : state) {
        malloc_trim(0);
        const std::size_t heap_before = heap_bytes();
        const auto started = Clock::now();
        Json body = Json::parse(text);
        const double parse_s = seconds_since(started);
        state.counters["json_heap_bytes_an_entry"] =
            static_cast<double>(heap_bytes() - heap_before) / static_cast<double>(endpoint_count);
        try {
            const EndpointList list = parse_endpoint_list(body, endpoint_count);
            state.counters["entries"] = static_cast<double>(list.endpoints.size());
        } catch (const std::exception& error) {
            state.SetLabel(error.what());
        }
        const double total_s = seconds_since(started);
        state.SetIterationTime(total_s);
        state.counters["parsed_ms"] = parse_s * 1e3;
        state.counters["us_an_entry"] = total_s * 1e6 / static_cast<double>(endpoint_count);
        state.counters["bytes"] = static_cast<double>(text.size());
        state.counters["bytes_of_one_change"] = static_cast<double>(list_json(1, 1, false).size());
    }
}

/// Applies a complete list to the directory for the first time and then a second time.
void directory(benchmark::State& state) {
    const auto endpoint_count = static_cast<std::size_t>(state.range(0));
    EndpointList list;
    list.complete = true;
    for (std::size_t number = 0; number < endpoint_count; ++number) {
        EndpointRecord& endpoint = list.endpoints.emplace_back();
        char name[24];
        std::snprintf(name, sizeof name, "s-%08zx", number);
        endpoint.id = name;
        endpoint.destination = static_cast<std::int64_t>(number / kEndpointsPerDestination);
        endpoint.condition = cometspoke::Condition::Ready;
    }
    for (auto _ : state) {
        malloc_trim(0);
        const std::size_t heap_before = heap_bytes();
        EndpointDirectory directory;
        const auto started = Clock::now();
        try {
            directory.apply(list, started);
            const double first_apply_s = seconds_since(started);
            state.counters["heap_bytes_an_entry"] =
                static_cast<double>(heap_bytes() - heap_before) / static_cast<double>(endpoint_count);
            const auto repeat_started = Clock::now();
            directory.apply(list, repeat_started);
            state.counters["first_ms"] = first_apply_s * 1e3;
            state.counters["repeated_ms"] = seconds_since(repeat_started) * 1e3;
        } catch (const std::exception& error) {
            state.SetLabel(error.what());
        }
        state.SetIterationTime(seconds_since(started));
    }
}

/// A discovery server that replies to each request at once with the complete list, until a request shows for
/// the second time that the forwarder has applied it.
class DiscoveryServer {
public:
    explicit DiscoveryServer(std::size_t endpoint_count)
        : response_(http_response(list_json(endpoint_count, kRevision, true))),
          acceptor_(io_, {asio::ip::address_v4::loopback(), 0}),
          thread_([this] { serve(); }) {}
    ~DiscoveryServer() {
        stopping_ = true;
        boost::system::error_code ignored;
        Tcp::socket waker(io_);
        waker.connect(acceptor_.local_endpoint(), ignored);  // unblocks accept()
        thread_.join();
    }
    std::string address() const { return text_of(acceptor_.local_endpoint()); }
    /// Number of requests that name the list's revision, which shows that the forwarder has applied the list.
    /// The reply to the first of them is the same list again.
    int applied_count() const { return applied_count_; }
    int sent_count() const { return sent_count_; }

private:
    static constexpr int kRevision = 5;

    static std::string http_response(const std::string& body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    void serve() {
        while (!stopping_) {
            boost::system::error_code error;
            Tcp::socket socket(io_);
            acceptor_.accept(socket, error);
            while (!error && !stopping_) serve_request(socket, error);
        }
    }
    void serve_request(Tcp::socket& socket, boost::system::error_code& error) {
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
        if (error) return;
        if (request.find("from=" + std::to_string(kRevision)) != std::string::npos) {
            if (++applied_count_ == 2) return;  // the repeated list was applied
        }
        ++sent_count_;
        asio::write(socket, asio::buffer(response_), error);
    }

    asio::io_context io_;
    std::string response_;
    Tcp::acceptor acceptor_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> applied_count_ = 0, sent_count_ = 0;
    std::thread thread_;
};

Json make_config(const std::string& discovery) {
    Json class_settings{{"name", "safe"}, {"effect", "retryable"}, {"aim_ms", 4000}, {"hard_limit_ms", 60000},
        {"window_ms", 4000}, {"worth", 1}};
    return Json{{"name", "n0"}, {"listen", "127.0.0.1:0"}, {"discovery", discovery},
        {"seed", "8c1f30d27a5be964"},
        {"limits", {{"cores", 1.0}, {"memory_mb", 256}, {"sockets", 256}, {"disk_mb", 64}}},
        {"settings", {{"classes", {class_settings}}, {"tenants", {{{"name", "acme"}}}}, {"kinds", {"shop"}},
                         {"localities", {"a"}}, {"family_info", {{"slots", 8}}}, {"n_instances", 1},
                         {"limits", {{"most_held", 40}, {"max_attempts", 12}, {"cancel", true},
                                        {"conn_idle_ms", 10000}, {"connect_timeout_ms", 1000}}},
                         {"contract", {{"fall_ms", 2000}, {"warm_within_ms", 11000}, {"fall_multiple", 2.5},
                                          {"cold_from", 0.16}}}}}};
}

/// Processor time of this thread. An iteration of the event loop that only waits costs almost nothing.
double thread_seconds() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// The longest iteration of a forwarder's event loop in processor time, from the forwarder's start until it
/// has applied the list and then the same list again.
void event_loop(benchmark::State& state) {
    const auto endpoint_count = static_cast<std::size_t>(state.range(0));
    for (auto _ : state) {
        std::ostringstream log;
        auto* const saved_cerr = std::cerr.rdbuf(log.rdbuf());
        std::string name = (std::filesystem::temp_directory_path() / "list_bench-XXXXXX").string();
        if (mkdtemp(name.data()) == nullptr) return state.SkipWithError("cannot create a temporary folder");
        malloc_trim(0);
        DiscoveryServer discovery(endpoint_count);
        const std::size_t heap_before = heap_bytes();
        {
            asio::io_context io(1);
            Config config = read_config(make_config(discovery.address()));
            config.state = name;
            Forwarder forwarder(io, std::move(config));
            forwarder.start();
            const auto started = Clock::now();
            double longest_s = 0.0, total_s = 0.0, longest_before_applied_s = 0.0;
            std::size_t max_heap = 0;
            std::size_t iterations = 0;
            while (discovery.applied_count() < 2 &&
                   (discovery.applied_count() > 0 || discovery.sent_count() <= kMaxRejectedLists) &&
                   Clock::now() - started < kMaxEventLoopTime) {
                const double iteration_started_s = thread_seconds();
                io.run_one_for(100ms);
                const double iteration_s = thread_seconds() - iteration_started_s;
                longest_s = std::max(longest_s, iteration_s);
                if (discovery.applied_count() == 0) longest_before_applied_s = longest_s;
                total_s += iteration_s;
                if (++iterations % 64 == 0 || iteration_s > 0.005)
                    max_heap = std::max(max_heap, heap_bytes());
            }
            state.SetIterationTime(seconds_since(started));
            state.counters["taken"] = discovery.applied_count();
            state.counters["longest_turn_ms"] = longest_s * 1e3;
            state.counters["longest_turn_first_ms"] = longest_before_applied_s * 1e3;
            state.counters["processor_ms"] = total_s * 1e3;
            const auto count = static_cast<double>(endpoint_count);
            state.counters["heap_bytes_an_entry"] = static_cast<double>(heap_bytes() - heap_before) / count;
            state.counters["most_heap_mb"] =
                static_cast<double>(max_heap - std::min(max_heap, heap_before)) / 1e6;
        }
        std::cerr.rdbuf(saved_cerr);
        const std::string text = log.str();
        if (const auto at = text.find("discovery: "); at != std::string::npos)
            state.SetLabel(text.substr(at, text.find('\n', at) - at));
        std::error_code ignored;
        std::filesystem::remove_all(name, ignored);
    }
}

void sizes(benchmark::internal::Benchmark* bench) {
    for (const std::int64_t endpoint_count : {1'000, 10'000, 100'000, 310'000}) bench->Arg(endpoint_count);
    bench->Iterations(1)->UseManualTime()->Unit(benchmark::kMillisecond);
}

BENCHMARK(parse)->Apply(sizes);
BENCHMARK(directory)->Apply(sizes);
BENCHMARK(event_loop)->Apply(sizes);
BENCHMARK(event_loop)->Arg(620'000)->Iterations(1)->UseManualTime()->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace lockgw

BENCHMARK_MAIN();
