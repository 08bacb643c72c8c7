// What is known of an attempt after its process was killed, replaced, or has taken the folder back: when it
// began, whether its call was written, and the retry-after of its response.
#include "handover_fixture.hpp"

namespace lockgw {
namespace {

class AttemptRecordTest : public HandoverTest {
protected:
    AttemptRecordTest() { node.config()["settings"]["family_info"]["slots"] = 4; }

    void restart() {
        node.kill();
        node.wait();
        node.start_ready();
    }
    /// Confirms notices until the one for `message` arrives.
    void await_notice(const std::string& message) {
        const auto give_up_at = Clock::now() + kDeadline;
        while (Clock::now() < give_up_at) {
            const Exchange report = next_discovery_request("/reports");
            report.respond(204);
            for (const Json& notice : notices(report))
                if (notice["ref"] == message) return;
        }
        FAIL() << "no notice for " << message;
    }
    /// Returns the next request for the whole list, which a process that takes over makes. Requests for
    /// changes are skipped: those of processes that have ended may still be in the queue.
    Exchange next_whole_list_request() {
        Exchange request = next_discovery_request("/v1/servers");
        while (request.request.target() != "/v1/servers") request = next_discovery_request("/v1/servers");
        return request;
    }
    /// Lets this time pass in the forwarder: a message that cannot be sent ends after it.
    void let_time_pass(std::chrono::milliseconds duration) {
        Client client = node.client();
        const int time_left = static_cast<int>(duration.count());
        ASSERT_EQ(enqueue(client, "00000000000000f0", "safe", time_left, "B", 99), "+OK");
        await_notice("00000000000000f0");
    }
};

// Failure: a keyed message that was in flight at a kill was sent again after its deduplication window, once
// the process had been replaced: the new process counted the window from the replacement.
TEST_F(AttemptRecordTest, CountsTheWindowFromTheFirstCallAcrossAKillAndAReplacement) {
    constexpr auto kWindow = 2500ms, kMaxLateness = 50ms;
    node.config()["settings"]["classes"][1]["window_ms"] = kWindow.count();
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "keyed"), "+OK");
    const Exchange unanswered = endpoint_stub.next();
    const auto called_at = Clock::now();
    ASSERT_EQ(operate(old_management, "POST", "/endpoints/disable?who=s-1"), 200);
    restart();
    let_time_pass(800ms);
    start_replacement();
    stop_predecessor();
    await_notice(id);
    EXPECT_LE(Clock::now() - called_at, kWindow + kMaxLateness) << node.log();
    ASSERT_EQ(operate(new_management, "POST", "/endpoints/enable?who=s-1"), 200);
    EXPECT_TRUE(endpoint_stub.none_within(300ms));
}

// Failure: a message that must not be repeated was never sent after a kill and a replacement, although the
// killed process had still been connecting for it.
TEST_F(AttemptRecordTest, SendsAMessageWhoseProcessWasKilledWhileConnecting) {
    const FullListener unreachable;
    node.config()["known"] = list(1, true, {member("s-1", text_of(unreachable.address()), 7)});
    node.config()["settings"]["limits"]["connect_timeout_ms"] = 30000;
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    ASSERT_TRUE(node.logs("message=" + id + " step=begun"));
    node.config()["known"] = list(1, true, {member("s-2", endpoint_stub.address(), 99)});
    restart();
    start_replacement();
    stop_predecessor();
    send_endpoint_list(next_whole_list_request(), list(2, true, {member("s-2", endpoint_stub.address(), 7)}));
    EXPECT_EQ(message_id(endpoint_stub.next()), id);
}

// Failure: the same where the old process is killed while it connects and another one takes over.
TEST_F(AttemptRecordTest, SendsAMessageWhosePredecessorWasKilledWhileConnecting) {
    const FullListener unreachable;
    node.config()["known"] = list(1, true, {member("s-1", text_of(unreachable.address()), 7)});
    node.config()["settings"]["limits"]["connect_timeout_ms"] = 30000;
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    ASSERT_TRUE(node.logs("message=" + id + " step=begun"));
    start_replacement();
    ::kill(node.previous_pid(), SIGKILL);
    node.wait_for_previous();
    ASSERT_TRUE(node.logs("the process before has ended"));
    send_endpoint_list(next_whole_list_request(), list(2, true, {member("s-2", endpoint_stub.address(), 7)}));
    EXPECT_EQ(message_id(endpoint_stub.next()), id);
}

/// A call is in flight on a connection of the process that is replaced, and its endpoint tells it to wait.
class RetryAfterHandoverTest : public AttemptRecordTest {
protected:
    RetryAfterHandoverTest() {
        node.config()["settings"]["kinds"] = {"shop"};
        node.config()["settings"]["family_info"]["routes_apart"] = {true};
    }
    Exchange replace_with_call_in_flight() {
        node.start_ready();
        Client client = node.client();
        EXPECT_EQ(enqueue(client, id), "+OK");
        Exchange in_flight = endpoint_stub.next();
        start_replacement();
        return in_flight;
    }
    /// Returns once both processes have handled what has reached the old one before: the old one relays the
    /// call to the new one, behind everything else that it sends to it.
    void let_processes_settle() { ASSERT_EQ(operate(old_management, "POST", "/undrain"), 200); }

    static constexpr auto kRetryAfter = 3s;
};

// Failure: a retry-after that reached the old process before the end of its response was not known to the new
// one, which sent another message to the endpoint.
TEST_F(RetryAfterHandoverTest, BindsTheNewProcessBeforeTheResponseIsComplete) {
    const Exchange in_flight = replace_with_call_in_flight();
    const auto refused_at = Clock::now();
    in_flight.write("HTTP/1.1 429 X\r\nContent-Length: 5\r\nRetry-After: 3\r\n\r\n");
    endpoint_stub.settle();
    let_processes_settle();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, second), "+OK");
    endpoint_stub.next();
    EXPECT_GE(Clock::now() - refused_at, kRetryAfter);
}

// Failure: the old process had read a retry-after on its own connection, took the folder back from a new one
// that was killed, and sent within that time.
TEST_F(RetryAfterHandoverTest, BindsTheOldProcessThatTakesBack) {
    const Exchange in_flight = replace_with_call_in_flight();
    const auto refused_at = Clock::now();
    in_flight.respond(429, "Retry-After: 3\r\n");
    endpoint_stub.settle();
    let_processes_settle();
    node.kill();
    node.wait();
    node.return_to_previous();
    EXPECT_EQ(message_id(endpoint_stub.next()), id);
    EXPECT_GE(Clock::now() - refused_at, kRetryAfter);
}

// Failure: the same with a retry-after that the new process had read.
TEST_F(RetryAfterHandoverTest, OfTheNewProcessBindsTheOldOneThatTakesBack) {
    const Exchange in_flight = replace_with_call_in_flight();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, second), "+OK");
    const Exchange call = endpoint_stub.next();
    EXPECT_EQ(message_id(call), second);
    const auto refused_at = Clock::now();
    call.respond(429, "Retry-After: 3\r\n");
    ASSERT_TRUE(node.logs("message=" + second + " step=outcome"));
    node.kill();
    node.wait();
    node.return_to_previous();
    EXPECT_EQ(message_id(endpoint_stub.next()), second);
    EXPECT_GE(Clock::now() - refused_at, kRetryAfter);
}

// Failure: an id that came again after its first deadline, with a new one, ran a second time. Its client had
// left.
TEST_F(AttemptRecordTest, DoesNotRunAnIdAgainThatComesAfterItsDeadline) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe", 500), "+OK");
    endpoint_stub.next().respond(200);
    let_time_pass(600ms);
    Client later = node.client();
    EXPECT_EQ(enqueue(later, id, "unsafe"), "+OK");
    EXPECT_TRUE(endpoint_stub.none_within(200ms));
}

// Failure: the same at the new process of a replacement.
TEST_F(AttemptRecordTest, DoesNotRunAnIdAgainThatComesToTheNewProcessAfterItsDeadline) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe", 500), "+OK");
    endpoint_stub.next().respond(200);
    start_replacement();
    let_time_pass(600ms);
    stop_predecessor();
    Client later = node.client();
    EXPECT_EQ(enqueue(later, id, "unsafe"), "+OK");
    EXPECT_TRUE(endpoint_stub.none_within(200ms));
}

}  // namespace
}  // namespace lockgw
