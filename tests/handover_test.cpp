// Replaces a running process: two real processes share one folder and one listening socket.
#include "false_claim.hpp"
#include "handover_fixture.hpp"

namespace lockgw {
namespace {

// One call is in flight on a connection of the old process. The new process must count it against the
// endpoint's limit of concurrent calls and must not send its message again.
TEST_F(HandoverTest, HandsOverWaitingMessagesAndCallsInFlight) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    const Exchange in_flight = endpoint_stub.next();
    ASSERT_EQ(enqueue(client, second), "+OK");
    start_replacement();
    EXPECT_EQ(operate(old_management, "GET", "/ready"), 503);
    EXPECT_TRUE(endpoint_stub.none_within(300ms));
    in_flight.respond(200);
    const Exchange next = endpoint_stub.next();
    EXPECT_EQ(message_id(next), second);
    next.respond(200);
    stop_predecessor();
    Client new_client = node.client();
    ASSERT_EQ(enqueue(new_client, third), "+OK");
    EXPECT_EQ(message_id(endpoint_stub.next()), third);
}

// The old process replies to a request that it has begun to read, and the new process decides the reply.
TEST_F(HandoverTest, RepliesToRequestsInProgressAndClosesIdleConnections) {
    node.start_ready();
    Client idle = node.client(), partial = node.client();
    ASSERT_EQ(idle.ask({"PING"}), "+PONG");
    ASSERT_EQ(partial.ask({"PING"}), "+PONG");
    const std::string request = "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$16\r\n" + id +
                                "\r\n$28\r\nc=safe,t=acme,d=30000,dest=7\r\n$1\r\nB\r\n";
    partial.send(request.substr(0, 30));
    std::this_thread::sleep_for(50ms);
    start_replacement();
    EXPECT_TRUE(idle.ended());
    partial.send(request.substr(30));
    EXPECT_EQ(partial.line(), "+OK");
    EXPECT_TRUE(partial.ended());
    EXPECT_EQ(message_id(endpoint_stub.next()), id);
    stop_predecessor();
}

// The configuration file has changed between the two starts. Messages in memory keep their class, and so do
// requests that the old process is still reading.
TEST_F(HandoverTest, KeepsClassesThatTheNewConfigurationLacks) {
    node.start_ready();
    Client client = node.client(), partial = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    const Exchange in_flight = endpoint_stub.next();
    ASSERT_EQ(enqueue(client, second, "keyed"), "+OK");
    const std::string request = "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$16\r\n" + third +
                                "\r\n$28\r\nc=safe,t=acme,d=30000,dest=7\r\n$1\r\nB\r\n";
    partial.send(request.substr(0, 30));
    std::this_thread::sleep_for(50ms);
    auto& classes = node.config()["settings"]["classes"];
    classes[0]["name"] = "strict";
    classes.erase(1);
    node.write_config(node.config().dump());
    start_replacement();
    partial.send(request.substr(30));
    EXPECT_EQ(partial.line(), "+OK");
    in_flight.respond(500);  // the class "safe" may be retried
    std::multiset<std::string> sent_ids;
    for (int i = 0; i < 3; ++i) {
        const Exchange call = endpoint_stub.next();
        sent_ids.insert(message_id(call));
        call.respond(200);
    }
    EXPECT_EQ(sent_ids, (std::multiset<std::string>{id, second, third}));
}

TEST_F(HandoverTest, HandsOverRetryAfterDisabledEndpointsAndADrain) {
    HttpStub other;
    node.config()["settings"]["family_info"]["slots"] = 4;
    node.start_ready();
    send_endpoint_list(next_discovery_request("/v1/servers"),
        list(5, true, {member("s-1", endpoint_stub.address(), 7), member("s-2", other.address(), 8)}));
    next_discovery_request("/v1/servers?from=5");
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    const Exchange call = endpoint_stub.next();
    const auto refused_at = Clock::now();
    call.respond(429, "Retry-After: 2.5\r\n");
    ASSERT_EQ(operate(old_management, "POST", "/endpoints/disable?who=s-2"), 200);
    ASSERT_EQ(enqueue(client, second, "safe", 30000, "B", 8), "+OK");
    ASSERT_EQ(operate(old_management, "POST", "/drain"), 200);
    node.start_successor(new_management);
    ASSERT_TRUE(node.logs("handover: taken over"));
    EXPECT_EQ(operate(new_management, "GET", "/ready"), 503);
    EXPECT_EQ(node.client().ask({"PING"})[0], '-');
    // both management addresses act on the same forwarder
    EXPECT_EQ(operate(old_management, "POST", "/undrain"), 200);
    EXPECT_TRUE(wait_until_ready(new_management));
    EXPECT_EQ(message_id(endpoint_stub.next()), id);
    EXPECT_GE(Clock::now() - refused_at, 2500ms);
    EXPECT_TRUE(other.none_within(100ms));
    EXPECT_EQ(operate(new_management, "POST", "/endpoints/enable?who=s-2"), 200);
    EXPECT_EQ(message_id(other.next()), second);
}

TEST_F(HandoverTest, NewProcessContinuesWhenTheOldOneIsKilled) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    endpoint_stub.next();
    ASSERT_EQ(enqueue(client, second, "unsafe"), "+OK");
    start_replacement();
    ::kill(node.previous_pid(), SIGKILL);
    node.wait_for_previous();
    std::set<std::string> sent_ids;  // the message that was in flight may be retried; no order is guaranteed
    for (int i = 0; i < 2; ++i) {
        const Exchange call = endpoint_stub.next();
        sent_ids.insert(message_id(call));
        call.respond(200);
    }
    EXPECT_EQ(sent_ids, (std::set<std::string>{id, second}));
    EXPECT_TRUE(endpoint_stub.none_within(300ms));
}

TEST_F(HandoverTest, OldProcessContinuesWhenTheNewOneIsKilled) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    const Exchange in_flight = endpoint_stub.next();
    ASSERT_EQ(enqueue(client, second), "+OK");
    start_replacement();
    node.kill();
    node.wait();
    node.return_to_previous();
    ASSERT_TRUE(wait_until_ready(old_management)) << node.log();
    Client new_client = node.client();
    ASSERT_EQ(enqueue(new_client, third), "+OK");
    EXPECT_TRUE(endpoint_stub.none_within(200ms));  // the call in flight still counts against the limit
    in_flight.respond(200);
    for (const std::string& expected : {second, third}) {
        const Exchange call = endpoint_stub.next();
        EXPECT_EQ(message_id(call), expected);
        call.respond(200);
    }
    EXPECT_TRUE(endpoint_stub.none_within(300ms));
}

TEST_F(HandoverTest, SurvivesAClaimantThatStallsOrDisconnects) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    const Exchange in_flight = endpoint_stub.next();
    const FalseClaim silent(node.state());  // sends nothing at all
    std::this_thread::sleep_for(1200ms);
    std::optional<FalseClaim> claim(node.state());
    claim->send({{"step", "claim"}});
    EXPECT_EQ(claim->receive()["step"], "offer");
    in_flight.respond(200);
    Client waiting_client = node.client();  // waits for the process that owns the folder in the end
    claim.reset();
    EXPECT_EQ(enqueue(waiting_client, second), "+OK");
    EXPECT_EQ(message_id(endpoint_stub.next()), second);
    FalseClaim stalled(node.state());
    stalled.send({{"step", "claim"}});
    EXPECT_EQ(stalled.receive()["step"], "offer");
    EXPECT_EQ(enqueue(client, third), "+OK");  // replied to after the claimant has timed out
    EXPECT_TRUE(wait_until_ready(old_management));
}

// Only the timer wakes a process that has nothing but a waiting message. Taking back an offer must restore
// that timer.
TEST_F(HandoverTest, MessagesExpireOnTimeAfterAnOfferIsTakenBack) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "safe", 2500, "B", 99), "+OK");  // no endpoint is in service there
    std::optional<FalseClaim> claim(node.state());
    claim->send({{"step", "claim"}});
    EXPECT_EQ(claim->receive()["step"], "offer");
    claim.reset();
    ASSERT_TRUE(node.logs("taken back"));
    const auto deadline = Clock::now() + 10s;  // repeated discovery requests arrive in between
    std::optional<Exchange> report;
    while (!report || report->request.target() != "/reports") {
        ASSERT_LT(Clock::now(), deadline);
        report = discovery_stub.next();
    }
    EXPECT_EQ(notices(*report)[0]["ref"], id);
}

// SIGHUP reaches the old process, which makes no decisions any more. The new process has read the
// configuration file before the signal, so the old one must notify it.
TEST_F(HandoverTest, NotifiesTheNewProcessOfASighup) {
    node.start_ready();
    FalseClaim claim(node.state());
    claim.send({{"step", "claim"}});
    EXPECT_EQ(claim.receive()["step"], "offer");
    node.reload(node.config().dump());
    ASSERT_TRUE(node.logs("configuration read anew"));
    claim.send({{"step", "ready"}});
    const auto receives_reload = [&claim] {
        for (int i = 0; i < 20; ++i)
            if (claim.receive().contains("reload")) return true;
        return false;
    };
    EXPECT_TRUE(receives_reload());
    node.reload(node.config().dump());
    EXPECT_TRUE(receives_reload());
}

// Failure: a SIGHUP that the old process had handled before the offer, and after the new one had read the
// file, was lost: the new process stayed with the old discovery, and all notices went there.
TEST_F(HandoverTest, TheNewProcessReadsAConfigurationThatCameBeforeTheOffer) {
    HttpStub other_discovery;
    node.start_ready();
    std::optional<FalseClaim> claim(node.state());  // holds up the new process
    node.start_successor(new_management);
    ASSERT_TRUE(node.logs("another process owns the folder"));
    node.config()["discovery"] = other_discovery.address();
    node.write_config(node.config().dump());
    ::kill(node.previous_pid(), SIGHUP);
    ASSERT_TRUE(node.logs("configuration read anew"));
    claim.reset();
    ASSERT_TRUE(wait_until_ready(new_management)) << node.log();
    stop_predecessor();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "safe", 400, "B", 99), "+OK");
    Exchange request = other_discovery.next();
    while (request.request.target() != "/reports") request = other_discovery.next();
    EXPECT_EQ(notices(request)[0]["ref"], id);
}

// Failure: the old process took the folder back with the configuration from before a SIGHUP that the new one
// had handled.
TEST_F(HandoverTest, ReadsAConfigurationOfTheNewProcessAfterTakingBack) {
    HttpStub other_discovery;
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    const Exchange in_flight = endpoint_stub.next();  // keeps the old process
    start_replacement();
    node.config()["discovery"] = other_discovery.address();
    node.reload(node.config().dump());
    ASSERT_TRUE(node.logs("configuration read anew"));
    node.kill();
    node.wait();
    node.return_to_previous();
    ASSERT_TRUE(wait_until_ready(old_management)) << node.log();
    Client new_client = node.client();
    ASSERT_EQ(enqueue(new_client, second, "safe", 400, "B", 99), "+OK");
    Exchange request = other_discovery.next();
    while (request.request.target() != "/reports") request = other_discovery.next();
    EXPECT_EQ(notices(request)[0]["ref"], second);
}

// The list in use comes from the old process and has no revision in the new one. Changes since the revision
// of the configuration file would therefore not yield a complete list.
TEST_F(HandoverTest, NewProcessRequestsTheWholeList) {
    node.start_ready();
    send_endpoint_list(next_discovery_request("/v1/servers?from=1"),
        list(5, true, {member("s-1", endpoint_stub.address(), 7)}));
    next_discovery_request("/v1/servers?from=5");
    start_replacement();
    EXPECT_EQ(next_discovery_request("/v1/servers").request.target(), "/v1/servers");
}

// Two zones and two kinds: the endpoints of the kind "branch" share their limits. The call of a message is in
// flight at an endpoint that leaves the list before the process is replaced.
class InheritedCallTest : public HandoverTest {
protected:
    InheritedCallTest() {
        Json& settings = node.config()["settings"];
        settings["family_info"]["slots"] = 4;
        settings["localities"] = {"a", "b"};
        settings["kinds"] = {"shop", "branch"};
        settings["family_info"]["routes_apart"] = {true, false};
        settings["classes"][1]["dedup_scope"] = "zone";
        settings["classes"][1]["window_ms"] = 40000;
        node.config()["known"] = list(1, true, {member("s-99", other.address(), 99)});
    }
    static Json branch(const std::string& zone, const std::string& name, const HttpStub& stub) {
        Json entry = member(name, stub.address(), 7);
        entry["locality"] = zone;
        entry["flavor"] = "branch";
        return entry;
    }
    /// Returns the call that the new process inherits.
    Exchange replace_with_call_in_flight(const std::string& message_class) {
        node.start_ready();
        send_endpoint_list(
            next_discovery_request("/v1/servers?from=1"), list(5, true, {branch("b", "s-1", endpoint_stub)}));
        Exchange watch = next_discovery_request("/v1/servers?from=5");
        Client client = node.client();
        EXPECT_EQ(enqueue(client, id, message_class), "+OK");
        Exchange in_flight = endpoint_stub.next();
        send_endpoint_list(watch, list(6, true, {branch("a", "s-2", other)}));
        watches.push_back(next_discovery_request("/v1/servers?from=6"));
        start_replacement();
        return in_flight;
    }

    HttpStub other, same_zone;
};

// Failure: after a replacement a deduplicated message was sent to another zone. The endpoint of the inherited
// call had left the list, and the new process put it into the first zone.
TEST_F(InheritedCallTest, KeepsTheZoneOfAnEndpointThatHasLeftTheList) {
    const Exchange in_flight = replace_with_call_in_flight("keyed");
    ::kill(node.previous_pid(), SIGKILL);
    node.wait_for_previous();
    ASSERT_TRUE(node.logs("the process before has ended"));
    Client client = node.client();
    ASSERT_EQ(enqueue(client, second), "+OK");
    const Exchange call = other.next();
    EXPECT_EQ(message_id(call), second);
    call.respond(200);
    EXPECT_TRUE(other.none_within(300ms));
    send_endpoint_list(next_discovery_request("/v1/servers"),
        list(7, true, {branch("a", "s-2", other), branch("b", "s-3", same_zone)}));
    EXPECT_EQ(message_id(same_zone.next()), id);
}

// Failure: a retry-after that came with an inherited call did not bind its destination. The endpoint had left
// the list, and the new process gave it the first kind, whose endpoints have limits of their own.
TEST_F(InheritedCallTest, KeepsTheKindOfAnEndpointThatHasLeftTheList) {
    const Exchange in_flight = replace_with_call_in_flight("safe");
    const auto refused_at = Clock::now();
    in_flight.respond(429, "Retry-After: 1.5\r\n");
    const Exchange call = other.next();
    EXPECT_GE(Clock::now() - refused_at, 1500ms);
    EXPECT_EQ(message_id(call), id);
}

// The class "unsafe" is sequential, and two messages share a call. `id` and `second` have one order key.
class SequentialHandoverTest : public HandoverTest {
protected:
    SequentialHandoverTest() {
        Json& settings = node.config()["settings"];
        settings["classes"][2]["sequential"] = true;
        settings["family_info"]["slots"] = 1;
        settings["family_info"]["per_call"] = {2};
        settings["contract"]["settle_after_doubt_ms"] = std::chrono::milliseconds(kSettleTime).count();
    }
    static std::string ordered_request(
        const std::string& order_key, const std::string& message, std::chrono::milliseconds time_left) {
        const std::string fields = "c=unsafe,t=acme,d=" + std::to_string(time_left.count()) + ",dest=7";
        std::string bytes = "*5\r\n";
        for (const std::string& word :
            {std::string("ENQUEUE"), order_key, message, fields, std::string("BODY")})
            bytes += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
        return bytes;
    }
    /// Ends `id` while its call goes on, since the call also carries `third`. `second` waits for that call.
    Exchange end_first_message_during_its_call() {
        node.start_ready();
        Client client = node.client();
        client.send(ordered_request(blocking, blocking, 30s));  // takes the only slot
        EXPECT_EQ(client.line(), "+OK");
        const Exchange blocking_call = endpoint_stub.next();
        client.send(ordered_request(key, id, 1500ms));
        EXPECT_EQ(client.line(), "+OK");
        client.send(ordered_request(other_key, third, 30s));
        EXPECT_EQ(client.line(), "+OK");
        blocking_call.respond(200);
        Exchange in_flight = endpoint_stub.next();
        node.config()["settings"]["family_info"]["slots"] = 4;
        node.reload(node.config().dump());
        EXPECT_TRUE(node.logs("configuration read anew"));
        EXPECT_EQ(in_flight.request.target(), "/v1/messages:batch");
        list_second_endpoint();
        client.send(ordered_request(key, second, 30s));
        EXPECT_EQ(client.line(), "+OK");
        EXPECT_EQ(notices(next_discovery_request("/reports"))[0]["ref"], id);
        return in_flight;
    }
    /// The first one is probed only seldom after a call without an answer.
    void list_second_endpoint() {
        send_endpoint_list(next_discovery_request("/v1/servers?from=1"),
            list(2, false, {member("s-2", other.address(), 7)}));
        watches.push_back(next_discovery_request("/v1/servers?from=2"));
    }

    HttpStub other;
    static constexpr auto kSettleTime = 1500ms;
    const std::string key = "00000000000000c1", other_key = "00000000000000c2", blocking = "00000000000000b1";
};

// Failure: the process that took over sent a message while a call with an earlier one of its key was still in
// flight. The earlier one had ended, and its attempt was handed over without its key.
TEST_F(SequentialHandoverTest, WaitsForTheCallOfAMessageThatHasEnded) {
    const Exchange in_flight = end_first_message_during_its_call();
    start_replacement();
    EXPECT_TRUE(other.none_within(300ms));
    const auto ended_at = Clock::now();
    ::kill(node.previous_pid(), SIGKILL);
    node.wait_for_previous();
    EXPECT_EQ(message_id(other.next()), second);
    EXPECT_GE(Clock::now() - ended_at, kSettleTime);
}

// Failure: the same in the old process, once it had taken the folder back from a new one that was killed.
TEST_F(SequentialHandoverTest, WaitsForTheCallOfAMessageThatHasEndedAfterTakingBack) {
    const Exchange in_flight = end_first_message_during_its_call();
    start_replacement();
    node.kill();
    node.wait();
    node.return_to_previous();
    ASSERT_TRUE(wait_until_ready(old_management)) << node.log();
    EXPECT_TRUE(other.none_within(kSettleTime + 300ms));
    in_flight.respond(500);
    EXPECT_EQ(message_id(other.next()), second);
}

// Failure: a key that rested after an ambiguous attempt no longer rested in the process that took over.
TEST_F(SequentialHandoverTest, KeepsTheRestOfAKey) {
    node.start_ready();
    Client client = node.client();
    client.send(ordered_request(key, id, 600ms));
    ASSERT_EQ(client.line(), "+OK");
    const Exchange unanswered = endpoint_stub.next();
    list_second_endpoint();
    client.send(ordered_request(key, second, 30s));
    ASSERT_EQ(client.line(), "+OK");
    ASSERT_EQ(notices(next_discovery_request("/reports"))[0]["ref"], id);
    const auto ended_at = Clock::now();
    start_replacement();
    EXPECT_EQ(message_id(other.next()), second);
    EXPECT_GE(Clock::now() - ended_at, kSettleTime - 100ms);  // the notice came shortly after the end
    // The only slot is free: the call whose outcome came after the end of its message is not handed over.
    EXPECT_LT(Clock::now() - ended_at, 8s);
}

// Failure: once the new process was killed, a message was sent right after a call of that process that may
// still run.
TEST_F(SequentialHandoverTest, LetsKeysRestAfterTakingBack) {
    node.start_ready();
    start_replacement();
    Client client = node.client();
    client.send(ordered_request(key, id, 600ms));
    ASSERT_EQ(client.line(), "+OK");
    const Exchange unanswered = endpoint_stub.next();
    while (notices(next_discovery_request("/reports"))[0]["ref"] != id) continue;
    const auto killed_at = Clock::now();
    node.kill();
    node.wait();
    node.return_to_previous();
    ASSERT_TRUE(wait_until_ready(old_management)) << node.log();
    Client new_client = node.client();
    new_client.send(ordered_request(key, second, 30s));
    ASSERT_EQ(new_client.line(), "+OK");
    EXPECT_EQ(message_id(endpoint_stub.next()), second);
    EXPECT_GE(Clock::now() - killed_at, kSettleTime);
}

// Failure: the old process took the folder back from a new one that was killed, and sent to an endpoint of
// which the new one had been told that it drains.
TEST_F(HandoverTest, KnowsOfDrainingEndpointsAfterTakingBack) {
    HttpStub other;
    node.config()["settings"]["family_info"]["slots"] = 4;
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    const Exchange in_flight = endpoint_stub.next();  // keeps the old process
    start_replacement();
    Exchange request = next_discovery_request("/v1/servers");
    while (request.request.target() != "/v1/servers") request = next_discovery_request("/v1/servers");
    send_endpoint_list(request,
        list(5, true,
            {member("s-1", endpoint_stub.address(), 7, "terminating"), member("s-2", other.address(), 8)}));
    next_discovery_request("/v1/servers?from=5");
    node.kill();
    node.wait();
    node.return_to_previous();
    ASSERT_TRUE(wait_until_ready(old_management)) << node.log();
    Client new_client = node.client();
    ASSERT_EQ(enqueue(new_client, second), "+OK");
    EXPECT_TRUE(endpoint_stub.none_within(300ms));
    ASSERT_EQ(enqueue(new_client, third, "safe", 30000, "B", 8), "+OK");
    EXPECT_EQ(message_id(other.next()), third);
}

// Failure: a request that was read during a replacement was relayed to the new process and sent on, although
// its client had left before.
TEST_F(HandoverTest, DoesNotRelayRequestsOfClientsThatHaveLeft) {
    node.start_ready();
    std::optional<Client> leaving(node.address());
    Client staying = node.client();
    const auto request = [](const std::string& message) {
        return "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$16\r\n" + message +
               "\r\n$28\r\nc=safe,t=acme,d=30000,dest=7\r\n$1\r\nB\r\n";
    };
    ASSERT_EQ(leaving->ask({"PING"}), "+PONG");
    ASSERT_EQ(staying.ask({"PING"}), "+PONG");
    FalseClaim claim(node.state());
    claim.send({{"step", "claim"}});
    ASSERT_EQ(claim.receive()["step"], "offer");
    leaving->send(request(id));
    staying.send(request(second));
    ASSERT_EQ(operate(old_management, "GET", "/counters"), 200);  // both have been read
    leaving.reset();
    claim.send({{"step", "ready"}});
    ASSERT_EQ(claim.receive()["step"], "go");
    const Json message = claim.receive();
    ASSERT_TRUE(message.contains("enqueue")) << message;
    const auto& bytes = message["enqueue"].get_binary();
    EXPECT_EQ(parse_message_record({reinterpret_cast<const char*>(bytes.data()), bytes.size()}).id,
        std::stoull(second, nullptr, 16));
}

TEST_F(HandoverTest, BindsItsOwnListenerWhenNoneIsInherited) {
    Node standalone(node.config());
    standalone.start_ready();
    Client idle = standalone.client();
    ASSERT_EQ(idle.ask({"PING"}), "+PONG");
    standalone.start_successor(new_management);
    ASSERT_TRUE(wait_until_ready(new_management)) << standalone.log();
    EXPECT_TRUE(idle.ended());
    ::kill(standalone.previous_pid(), SIGTERM);
    standalone.wait_for_previous();
    EXPECT_EQ(standalone.client().ask({"PING"}), "+PONG");
}

}  // namespace
}  // namespace lockgw
