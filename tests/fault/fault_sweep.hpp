/// Repeats a run with a different occurrence of one system call failing each time.
#pragma once

#include "fault_fixture.hpp"

namespace lockgw {

using fault::Call;

constexpr int kParallelRuns = 4;          // each run has its own process
constexpr int kMaxCallsPerRun = 400;      // a run with more calls of one kind retries a call endlessly
constexpr int kMaxConsecutiveCalls = 24;  // occurrences tried one by one; after these only every `kStride`th
constexpr int kStride = 7;

struct SweepCase {
    const char* name;
    Call call;
    std::int32_t error;
    bool breaks_connections = false;  // a client whose connection breaks may get no reply
    std::int64_t detail = 0;          // for kTornAndKilled: number of bytes that are written
};

inline void PrintTo(const SweepCase& sweep_case, std::ostream* out) { *out << sweep_case.name; }

struct RunResult {
    bool reached = false;
    std::vector<std::string> violations;
};

/// `run(sweep_case, number)` performs a run in which the `number`th call fails. The sweep ends after the
/// first batch in which a run did not reach its call.
template <class Run>
void sweep(const SweepCase& sweep_case, Run run) {
    int number = 1;
    const auto next_number = [&] { return number < kMaxConsecutiveCalls ? number++ : (number += kStride); };
    for (bool reached = true; reached && number <= kMaxCallsPerRun;) {
        std::vector<std::pair<int, std::future<RunResult>>> runs;
        for (int i = 0; i < kParallelRuns; ++i) {
            const int call = next_number();
            runs.emplace_back(call,
                std::async(std::launch::async, [&sweep_case, &run, call] { return run(sweep_case, call); }));
        }
        for (auto& [call, future_result] : runs) {
            const RunResult result = future_result.get();
            reached = reached && result.reached;
            for (const std::string& violation : result.violations)
                ADD_FAILURE() << sweep_case.name << ", call " << call << ": " << violation;
        }
    }
    EXPECT_LE(number, kMaxCallsPerRun);
}

}  // namespace lockgw
