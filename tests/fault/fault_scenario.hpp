/// A run that exercises everything the forwarder does: start, accepting messages, calls and their outcomes,
/// notices, a change of the endpoint list, a configuration reload, a crash during calls, a restart and an
/// orderly shutdown.
#pragma once

#include <functional>

#include "fault_world.hpp"

namespace lockgw {

enum class Phase { Start, Retries, Notice, ListChange, Reload, Crash, Restart, Shutdown, Count };

/// Calls `on_phase` before each phase. Returns the violations; empty if all rules held. A run that cannot
/// continue adds the step that failed and the log of the program.
inline std::vector<std::string> run_scenario(
    FaultWorld& world, const std::function<void(Phase)>& on_phase = [](Phase) {}) {
    constexpr auto ample_time = 15'000ms;
    constexpr auto slack = 2'000ms;  // on top of the protocol's limits, for a busy machine
    std::vector<std::string> violations;
    const auto failed = [&](const std::string& what) {
        violations = world.checker.breaches(slack);
        violations.push_back(what + "\n" + world.node.log());
        return violations;
    };

    on_phase(Phase::Start);
    if (!world.start()) return failed("the first process does not become ready");

    on_phase(Phase::Retries);
    const auto plan = [&](std::deque<PlannedEndpoint::Response> responses) {
        return [&world, responses](const std::string& id) { world.first.plan(id, responses); };
    };
    if (world.enqueue_message("keyed", ample_time, 7, plan({{200}})).empty() ||
        world.enqueue_message("safe", ample_time, 7, plan({{500}, {200}})).empty() ||
        world.enqueue_message("unsafe", ample_time, 7, plan({{429, 150ms}, {200}})).empty())
        return failed("a message is not accepted");
    if (!world.wait_for([&] { return world.checker.all_ended(); }))
        return failed("retried messages do not end");

    on_phase(Phase::Notice);
    if (world.enqueue_message("safe", 100ms, 99).empty()) return failed("a message is not accepted");
    if (!world.wait_for([&] { return world.checker.all_ended(); }))
        return failed("no notice for an expired message");

    on_phase(Phase::ListChange);
    world.agent.publish(
        list(2, true, {member("s-1", world.first.address(), 7), member("s-2", world.second.address(), 8)}));
    if (world.enqueue_message("safe", ample_time, 8).empty())
        return failed("no message is accepted for the new destination");
    if (!world.wait_for([&] { return world.checker.all_ended(); }))
        return failed("no call to the new endpoint");

    on_phase(Phase::Reload);
    world.node.reload(world.node.config().dump());
    const auto restarts = world.restarts();  // a new process reads the file when it starts
    const auto reloaded = [&] {
        return world.restarts() > restarts ||
               world.node.log().find("configuration read anew") != std::string::npos;
    };
    if (!world.wait_for(reloaded)) return failed("the configuration is not reloaded");

    on_phase(Phase::Crash);
    world.second.hold();
    if (world.enqueue_message("unsafe", ample_time, 8).empty()) return failed("a message is not accepted");
    const auto called_or_ended = [&] { return world.second.holds(1) || world.checker.all_ended(); };
    if (!world.wait_for(called_or_ended)) return failed("no call to the held endpoint");
    if (world.enqueue_message("safe", ample_time, 8).empty()) return failed("a message is not accepted");
    world.kill();
    world.second.drop_held();

    on_phase(Phase::Restart);
    if (!world.start()) return failed("the second process does not become ready");
    if (!world.wait_for([&] { return world.checker.all_ended(); }))
        return failed("accepted messages do not end after the restart");

    on_phase(Phase::Shutdown);
    int status = world.terminate();
    if (world.restart_if_killed()) {
        if (!world.wait_for([&] { return world.pings() && world.checker.all_ended(); }))
            return failed("accepted messages do not end after the restart");
        status = world.terminate();
    }
    if (status != 0) return failed("the shutdown was not orderly: " + std::to_string(status));
    return world.checker.breaches(slack);
}

}  // namespace lockgw
