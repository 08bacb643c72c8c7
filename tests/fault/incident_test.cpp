// The incident of 2026-12-03 (docs/incidents): the forwarder considered messages delivered that the platform
// had given up.
#include "fault_fixture.hpp"

namespace lockgw {
namespace {

using IncidentTest = FaultNodeTest;

// Guards against a message that never ends: its request was read late, so the response to its call came
// before the deadline by the forwarder's clock and after the deadline by the platform's clock.
TEST_F(IncidentTest, AResponseJustBeforeTheDeadlineIsFollowedByANotice) {
    constexpr int left_ms = 300;  // less than the time that a request may wait before it is read
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe", left_ms), "+OK");
    endpoint_stub.next().respond(200);
    EXPECT_EQ(first_notice(), (Json{{"ref", id}, {"result", "dead"}}));
}

// The same, with a request that is read late because accept fails temporarily.
TEST_F(IncidentTest, AFailedAcceptDoesNotExtendTheDeadline) {
    constexpr int left_ms = 350;
    constexpr int failures = 5;  // each delays the request by the pause that follows a failed accept
    node.start_ready();
    faults.arm(0, {fault::Call::Accept, ENFILE, 0, failures});
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe", left_ms), "+OK");
    EXPECT_EQ(faults.hits(0), failures);
    endpoint_stub.next().respond(200);
    EXPECT_EQ(first_notice(), (Json{{"ref", id}, {"result", "dead"}}));
}

// Guards against clients that stay in the listen queue behind a connection that was aborted there.
TEST_F(IncidentTest, AnAbortedConnectionDoesNotDelayOtherClients) {
    node.start_ready();
    faults.arm(0, {fault::Call::Accept, ECONNABORTED});
    Client client = node.client();
    EXPECT_EQ(client.ask({"PING"}), "+PONG");
    EXPECT_EQ(faults.hits(0), 1);
}

}  // namespace
}  // namespace lockgw
