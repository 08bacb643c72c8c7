// Each system call of a whole run fails once, in separate runs, with each transient error that its manual
// page lists. Other runs kill the process at a system call or step the wall clock before a phase. All rules
// must hold in every run.
#include "fault_sweep.hpp"

#include "fault_scenario.hpp"

namespace lockgw {
namespace {

const SweepCase kCases[] = {
    {"AcceptAborted", Call::Accept, ECONNABORTED},
    {"AcceptProtocolError", Call::Accept, EPROTO},
    {"AcceptInterrupted", Call::Accept, EINTR},
    {"AcceptNoDescriptor", Call::Accept, EMFILE},
    {"AcceptNoFile", Call::Accept, ENFILE},
    {"AcceptNoBuffers", Call::Accept, ENOBUFS},
    {"AcceptNoMemory", Call::Accept, ENOMEM},
    {"ConnectNoPort", Call::Connect, EADDRNOTAVAIL},
    {"ConnectNoRoute", Call::Connect, ENETUNREACH},
    {"ConnectInterrupted", Call::Connect, EINTR},
    {"ConnectTimedOut", Call::Connect, ETIMEDOUT},
    {"ConnectHostUnreachable", Call::Connect, EHOSTUNREACH},
    {"ConnectRefused", Call::Connect, ECONNREFUSED},
    {"SocketNoFile", Call::Socket, ENFILE},
    {"SocketNoDescriptor", Call::Socket, EMFILE},
    {"SocketNoBuffers", Call::Socket, ENOBUFS},
    {"SocketNoMemory", Call::Socket, ENOMEM},
    {"BindInUse", Call::Bind, EADDRINUSE},
    {"BindNoMemory", Call::Bind, ENOMEM},
    {"ListenInUse", Call::Listen, EADDRINUSE},
    {"ReceiveInterrupted", Call::Receive, EINTR},
    {"ReceiveNoMemory", Call::Receive, ENOMEM},
    {"ReceiveShort", Call::Receive, fault::kShortTransfer},
    {"ReceiveReset", Call::Receive, ECONNRESET, true},
    {"ReceiveTimedOut", Call::Receive, ETIMEDOUT, true},
    {"ReceiveHostUnreachable", Call::Receive, EHOSTUNREACH, true},
    {"SendInterrupted", Call::Send, EINTR},
    {"SendNoBuffers", Call::Send, ENOBUFS},
    {"SendNoMemory", Call::Send, ENOMEM},
    {"SendShort", Call::Send, fault::kShortTransfer},
    {"SendReset", Call::Send, ECONNRESET, true},
    {"SendBrokenPipe", Call::Send, EPIPE, true},
    {"WaitInterrupted", Call::Wait, EINTR},
    {"WatchNoMemory", Call::WatchControl, ENOMEM},
    {"WatchNoSpace", Call::WatchControl, ENOSPC},
    {"OpenInterrupted", Call::Open, EINTR},
    {"OpenNoFile", Call::Open, ENFILE},
    {"OpenNoDescriptor", Call::Open, EMFILE},
    {"OpenNoMemory", Call::Open, ENOMEM},
    {"OpenInputOutput", Call::Open, EIO},
    {"ReadInterrupted", Call::Read, EINTR},
    {"ReadInputOutput", Call::Read, EIO},
    {"ReadShort", Call::Read, fault::kShortTransfer},
    {"WriteNoSpace", Call::Write, ENOSPC},
    {"WriteInputOutput", Call::Write, EIO},
    {"WriteInterrupted", Call::Write, EINTR},
    {"WriteShort", Call::Write, fault::kShortTransfer},
    {"TruncateInputOutput", Call::Truncate, EIO},
    {"TruncateInterrupted", Call::Truncate, EINTR},
    {"RenameNoSpace", Call::Rename, ENOSPC},
    {"RenameInputOutput", Call::Rename, EIO},
    {"LockInterrupted", Call::Lock, EINTR},
    {"LockNoLocks", Call::Lock, ENOLCK},
};

RunResult run_with_failing_call(const SweepCase& sweep_case, int number) {
    FaultWorld world;
    if (sweep_case.breaks_connections) world.checker.allow_broken_clients();
    const bool kills = sweep_case.error == fault::kKilled || sweep_case.error == fault::kTornAndKilled;
    if (kills) world.expect_kills();
    world.faults.arm(
        0, {sweep_case.call, sweep_case.error, number - 1, 1, fault::Peer::Any, sweep_case.detail});
    RunResult result;
    result.violations = run_scenario(world);
    result.reached = world.faults.hits(0) > 0;
    return result;
}

class FaultSweep : public ::testing::TestWithParam<SweepCase> {};

// Guards against a transient failure of a single system call that makes the program break a rule, at any
// point of the run.
TEST_P(FaultSweep, AllRulesHoldWhicheverCallFails) { sweep(GetParam(), run_with_failing_call); }

// The process is killed before a system call of each kind and restarted.
const SweepCase kKills[] = {
    {"Accept", Call::Accept, fault::kKilled},
    {"Connect", Call::Connect, fault::kKilled},
    {"Socket", Call::Socket, fault::kKilled},
    {"Bind", Call::Bind, fault::kKilled},
    {"Listen", Call::Listen, fault::kKilled},
    {"Receive", Call::Receive, fault::kKilled},
    {"Send", Call::Send, fault::kKilled},
    {"Wait", Call::Wait, fault::kKilled},
    {"WatchControl", Call::WatchControl, fault::kKilled},
    {"Open", Call::Open, fault::kKilled},
    {"Read", Call::Read, fault::kKilled},
    {"Write", Call::Write, fault::kKilled},
    {"Truncate", Call::Truncate, fault::kKilled},
    {"Rename", Call::Rename, fault::kKilled},
    {"Lock", Call::Lock, fault::kKilled},
};

// The process is killed while it writes a journal record, which leaves a partial record: within and after its
// length, after its checksum, after its type, within its content, and after the whole record.
const SweepCase kTornWrites[] = {
    {"After1Byte", Call::Write, fault::kTornAndKilled, false, 1},
    {"After4Bytes", Call::Write, fault::kTornAndKilled, false, 4},
    {"After8Bytes", Call::Write, fault::kTornAndKilled, false, 8},
    {"After9Bytes", Call::Write, fault::kTornAndKilled, false, 9},
    {"After17Bytes", Call::Write, fault::kTornAndKilled, false, 17},
    {"After40Bytes", Call::Write, fault::kTornAndKilled, false, 40},
    {"AfterAll", Call::Write, fault::kTornAndKilled, false, 1'000'000},
};

INSTANTIATE_TEST_SUITE_P(
    Kills, FaultSweep, ::testing::ValuesIn(kKills), [](const auto& info) { return info.param.name; });
INSTANTIATE_TEST_SUITE_P(TornWrites, FaultSweep, ::testing::ValuesIn(kTornWrites),
    [](const auto& info) { return info.param.name; });
INSTANTIATE_TEST_SUITE_P(
    Calls, FaultSweep, ::testing::ValuesIn(kCases), [](const auto& info) { return info.param.name; });

struct ClockCase {
    const char* name;
    std::chrono::seconds step;
};
void PrintTo(const ClockCase& clock_case, std::ostream* out) { *out << clock_case.name; }

class ClockStep : public ::testing::TestWithParam<ClockCase> {};

// Guards against deadlines, time windows and delays that shift when the wall clock of the machine is set.
TEST_P(ClockStep, ChangesNothingInAnyPhase) {
    for (int phase = 0; phase < static_cast<int>(Phase::Count); ++phase) {
        FaultWorld world;
        const auto violations = run_scenario(world, [&](Phase entered) {
            if (static_cast<int>(entered) != phase) return;
            world.faults->wall_clock_offset_us = std::chrono::microseconds(GetParam().step).count();
        });
        for (const std::string& violation : violations)
            ADD_FAILURE() << "phase " << phase << ": " << violation;
    }
}

INSTANTIATE_TEST_SUITE_P(Steps, ClockStep,
    ::testing::Values(ClockCase{"HourForward", 3600s}, ClockCase{"HourBack", -3600s},
        ClockCase{"SecondsForward", 5s}, ClockCase{"SecondsBack", -5s}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace lockgw
