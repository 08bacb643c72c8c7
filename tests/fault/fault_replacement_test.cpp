// Each system call of two processes fails once, in separate runs, while one process takes over from the other
// without an interruption of service.
#include "fault_sweep.hpp"
#include "fault_world.hpp"

namespace lockgw {
namespace {

const SweepCase kCases[] = {
    {"AcceptNoFile", Call::Accept, ENFILE},
    {"AcceptAborted", Call::Accept, ECONNABORTED},
    {"ConnectNoPort", Call::Connect, EADDRNOTAVAIL},
    {"ConnectInterrupted", Call::Connect, EINTR},
    {"SocketNoFile", Call::Socket, ENFILE},
    {"SocketNoMemory", Call::Socket, ENOMEM},
    {"BindInUse", Call::Bind, EADDRINUSE},
    {"ListenInUse", Call::Listen, EADDRINUSE},
    {"ReceiveInterrupted", Call::Receive, EINTR},
    {"ReceiveNoMemory", Call::Receive, ENOMEM},
    {"ReceiveShort", Call::Receive, fault::kShortTransfer},
    {"SendInterrupted", Call::Send, EINTR},
    {"SendNoBuffers", Call::Send, ENOBUFS},
    {"SendShort", Call::Send, fault::kShortTransfer},
    {"WaitInterrupted", Call::Wait, EINTR},
    {"WatchNoMemory", Call::WatchControl, ENOMEM},
    {"OpenNoFile", Call::Open, ENFILE},
    {"OpenInputOutput", Call::Open, EIO},
    {"ReadInputOutput", Call::Read, EIO},
    {"WriteNoSpace", Call::Write, ENOSPC},
    {"WriteShort", Call::Write, fault::kShortTransfer},
    {"TruncateInputOutput", Call::Truncate, EIO},
    {"RenameNoSpace", Call::Rename, ENOSPC},
    {"LockInterrupted", Call::Lock, EINTR},
    {"LockNoLocks", Call::Lock, ENOLCK},
};

/// Replaces a process that has pending calls, then shuts both processes down. Returns the violations; empty
/// if all rules held.
std::vector<std::string> run_replacement(FaultWorld& world, const SharedFaultControl::Fault& fault) {
    constexpr auto ample_time = 15'000ms;
    constexpr auto slack = 2'000ms;  // on top of the protocol's limits, for a busy machine
    const Tcp::endpoint first_management = Node::other_address(), second_management = Node::other_address();
    const auto failed = [&](const std::string& what) {
        auto violations = world.checker.breaches(slack);
        violations.push_back(what + "\n" + world.node.log());
        return violations;
    };
    world.node.open_inherited_listener();
    world.node.config()["management"] = text_of(first_management);
    world.agent.publish(list(2, true, {member("s-1", world.first.address(), 7)}));
    if (!world.start()) return failed("the first process does not become ready");
    world.first.hold();
    for (const char* kind : {"safe", "unsafe"})
        if (world.enqueue_message(kind, ample_time).empty()) return failed("a message is not accepted");
    if (!world.wait_until([&] { return world.first.holds(2); }))
        return failed("the endpoint does not get both calls");

    world.faults.arm(0, fault);
    world.node.start_successor(second_management);
    if (!wait_until_ready(second_management)) return failed("the second process does not become ready");
    if (world.enqueue_message("keyed", ample_time).empty()) return failed("a message is not accepted");
    world.first.drop_held();
    if (!world.wait_until([&] { return world.checker.all_ended(); })) return failed("messages do not end");

    ::kill(world.node.previous_pid(), SIGTERM);
    if (const int status = world.node.wait_for_previous(); status != 0)
        return failed("the shutdown of the first process was not orderly: " + std::to_string(status));
    if (const int status = world.terminate(); status != 0)
        return failed("the shutdown of the second process was not orderly: " + std::to_string(status));
    return world.checker.breaches(slack);
}

RunResult replace_with_failing_call(const SweepCase& sweep_case, int number) {
    FaultWorld world;
    RunResult result;
    result.violations = run_replacement(world, {sweep_case.call, sweep_case.error, number - 1});
    result.reached = world.faults.hits(0) > 0;
    return result;
}

class ReplacementSweep : public ::testing::TestWithParam<SweepCase> {};

// Guards against a transient failure of a single system call that makes the replacement fail or break a rule.
TEST_P(ReplacementSweep, AllRulesHoldWhicheverCallFails) { sweep(GetParam(), replace_with_failing_call); }

INSTANTIATE_TEST_SUITE_P(
    Calls, ReplacementSweep, ::testing::ValuesIn(kCases), [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace lockgw
