// Endpoints that send malformed, oversized or endless responses, and endpoints that are added and removed.
#include "net/endpoint_caller.hpp"

#include "node_fixture.hpp"

namespace lockgw {
namespace {

class EndpointCallerTest : public NodeTest {
protected:
    void start_with_one_call() {
        node.config()["settings"]["family_info"]["slots"] = 1;
        node.start_ready();
    }
    /// Delivers one message and returns after its response was sent.
    void expect_delivered(Client& client, const std::string& id, const std::string& kind = "safe") {
        ASSERT_EQ(enqueue(client, id, kind), "+OK");
        const Exchange call = endpoint_stub.next();
        EXPECT_EQ(call.header("X-Call-Id"), id);
        call.respond(200);
    }
};

// A status line with 200 proves delivery even if the rest is malformed; the connection is not used again.
class OkStatusLine : public EndpointCallerTest, public ::testing::WithParamInterface<const char*> {};
TEST_P(OkStatusLine, ProvesDelivery) {
    start_with_one_call();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    endpoint_stub.next().write(GetParam());
    expect_delivered(client, "00000000000000aa");
    EXPECT_EQ(endpoint_stub.connections(), 2);
    EXPECT_TRUE(endpoint_stub.none_within(200ms));
}
INSTANTIATE_TEST_SUITE_P(EndpointCaller, OkStatusLine,
    ::testing::Values("HTTP/1.1 200 OK\r\nno colon here\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on",
        "HTTP/1.1 200 OK\r\nX-Never-Ends: p", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"));

// Only a well-formed response proves that a message did not run, so an at-most-once message must not be
// retried after any of these.
class AmbiguousResponse : public EndpointCallerTest, public ::testing::WithParamInterface<const char*> {};
TEST_P(AmbiguousResponse, IsNotFollowedByARetry) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    endpoint_stub.next().write(GetParam());
    EXPECT_EQ(notices(next_discovery_request("/reports"))[0], (Json{{"ref", id}, {"result", "dead"}}));
    EXPECT_TRUE(endpoint_stub.none_within(200ms));
}
INSTANTIATE_TEST_SUITE_P(EndpointCaller, AmbiguousResponse,
    ::testing::Values("noise\r\n\r\n", "ICY 200 OK\r\n\r\n", "HTTP/1.1 503 X\r\nno colon here\r\n\r\n",
        "HTTP/1.1 503 X\r\nContent-Length: 100\r\n\r\nhalf",
        "HTTP/1.1 429 X\r\nRetry-After: 1\r\nX-Never-Ends: p",
        "HTTP/1.1 504 X\r\nContent-Length: 3000000000\r\n\r\nand so on"));

TEST_F(EndpointCallerTest, SkipsInterimResponses) {
    start_with_one_call();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    const Exchange call = endpoint_stub.next();
    call.write("HTTP/1.1 102 Processing\r\n\r\n");
    std::this_thread::sleep_for(1500ms);  // longer than a response may take once it has started
    // accepted before the first response: otherwise the idle connection may be released in between
    ASSERT_EQ(enqueue(client, "00000000000000aa"), "+OK");
    call.write("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    endpoint_stub.next().respond(200);
    EXPECT_EQ(endpoint_stub.connections(), 1);
}

// Occasional malformed responses are no outage, and other messages must not wait as if there were one.
TEST_F(EndpointCallerTest, OccasionalMalformedResponsesLeaveAnEndpointHealthy) {
    node.start_ready();
    Client client = node.client();
    for (int i = 10; i < 40; ++i) {
        const std::string message = "00000000000000" + std::to_string(i);
        ASSERT_EQ(enqueue(client, message), "+OK");
        Exchange call = endpoint_stub.next();
        EXPECT_EQ(call.header("X-Call-Id"), message);
        if (i % 4 == 0) {
            const auto failed_at = Clock::now();
            call.write("noise\r\n\r\n");
            call = endpoint_stub.next();
            EXPECT_EQ(call.header("X-Call-Id"), message);
            EXPECT_LT(Clock::now() - failed_at, 5s);
        }
        call.respond(200);
    }
}

// Messages that wait for one endpoint are sent in one event-loop iteration, as one call where the
// settings allow it.
class BatchTest : public EndpointCallerTest {
protected:
    /// Allows one call at a time, enqueues the others while the first message is active, and then
    /// completes it. The others follow as one call.
    Exchange send_batch(const std::vector<std::pair<std::string, std::string>>& others) {
        node.config()["settings"]["family_info"]["per_call"] = {3};
        start_with_one_call();
        Client client = node.client();
        EXPECT_EQ(enqueue(client, id), "+OK");
        const Exchange first = endpoint_stub.next();
        for (const auto& [message, kind] : others) EXPECT_EQ(enqueue(client, message, kind), "+OK");
        first.respond(200);
        return endpoint_stub.next();
    }
    static void respond(const Exchange& call, const Json& states, const std::string& headers = "") {
        const std::string body = states.dump();
        call.write("HTTP/1.1 200 X\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body);
    }
    const std::string a = "00000000000000aa", b = "00000000000000bb", c = "00000000000000cc";
};

TEST_F(BatchTest, CarriesMessagesOfOneLoopIteration) {
    const Exchange call = send_batch({{a, "keyed"}, {b, "unsafe"}, {c, "safe"}});
    EXPECT_EQ(call.request.target(), "/v1/messages:batch");
    EXPECT_GT(std::stoi(call.header("X-Budget-Ms")), 0);
    const Json sent = Json::parse(call.request.body());
    ASSERT_EQ(sent.size(), 3u);
    EXPECT_EQ(sent[2], (Json{{"id", a}, {"key", "5c0f6e1a2b3d4c59"}, {"body", "Qk9EWQ=="}}));
    EXPECT_EQ(sent[1]["id"], b);
    EXPECT_EQ(sent[0]["id"], c);
    respond(
        call, {{{"id", a}, {"state", "ok"}}, {{"id", b}, {"state", "error"}}, {{"id", c}, {"state", "ok"}}});
    // the at-most-once message may have run, so it has ended and is not retried
    EXPECT_EQ(notices(next_discovery_request("/reports"))[0], (Json{{"ref", b}, {"result", "dead"}}));
    EXPECT_TRUE(endpoint_stub.none_within(300ms));
}

// An endpoint ends a call when the time of its first message is over. If other messages had more time, the
// response was lost while they were still awaited.
TEST_F(BatchTest, StartsWithTheLatestDeadline) {
    node.config()["settings"]["family_info"]["per_call"] = {3};
    start_with_one_call();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    const Exchange first = endpoint_stub.next();
    for (const auto& [message, left_ms] : {std::pair(a, 9000), std::pair(b, 30000), std::pair(c, 20000)})
        ASSERT_EQ(enqueue(client, message, "safe", left_ms), "+OK");
    first.respond(200);
    const Exchange call = endpoint_stub.next();
    const Json sent = Json::parse(call.request.body());
    ASSERT_EQ(sent.size(), 3u);
    EXPECT_EQ(sent[0]["id"], b);
    EXPECT_EQ(sent[1]["id"], c);
    EXPECT_EQ(sent[2]["id"], a);
    EXPECT_GT(std::stoi(call.header("X-Budget-Ms")), 20000);  // the budget of the message that comes first
    EXPECT_LE(std::stoi(call.header("X-Budget-Ms")), 30000);
    call.respond(500);
}

TEST_F(BatchTest, RetriesARejectedMessageAfterRetryAfter) {
    const Exchange call = send_batch({{a, "safe"}, {b, "unsafe"}});
    const auto responded_at = Clock::now();
    respond(call, {{{"id", a}, {"state", "ok"}}, {{"id", b}, {"state", "later"}}}, "Retry-After: 0.7\r\n");
    const Exchange again = endpoint_stub.next();
    EXPECT_EQ(again.header("X-Call-Id"), b);
    EXPECT_GE(Clock::now() - responded_at, 700ms);
    again.respond(200);
}

// Retry-After also holds if every message of its call was delivered.
TEST_F(BatchTest, HonoursRetryAfterWhenAllMessagesWereDelivered) {
    const Exchange call = send_batch({{a, "safe"}, {b, "safe"}});
    const auto responded_at = Clock::now();
    respond(call, {{{"id", a}, {"state", "ok"}}, {{"id", b}, {"state", "ok"}}}, "Retry-After: 0.7\r\n");
    Client client = node.client();
    ASSERT_EQ(enqueue(client, c), "+OK");
    endpoint_stub.next().respond(200);
    EXPECT_GE(Clock::now() - responded_at, 700ms);
}

// In a batch call a status line with 200 says nothing about a single message.
TEST_F(BatchTest, AMalformedResponseMakesAllAttemptsAmbiguous) {
    const Exchange call = send_batch({{a, "unsafe"}, {b, "unsafe"}});
    call.write("HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n[{\"id\": 1");
    std::set<Json> dead;
    while (dead.size() < 2) {
        const Exchange report = next_discovery_request("/reports");
        for (const Json& notice : notices(report)) dead.insert(notice);
        report.respond(204);
    }
    EXPECT_EQ(dead, (std::set<Json>{{{"ref", a}, {"result", "dead"}}, {{"ref", b}, {"result", "dead"}}}));
    EXPECT_TRUE(endpoint_stub.none_within(300ms));
}

// The network path dropped idle connections without notice, well before the configured idle limit, and calls
// on them were reset. For a while after such a reset, connections that were idle are not used for calls.
TEST_F(EndpointCallerTest, DoesNotReuseIdleConnectionsAfterAReset) {
    start_with_one_call();
    Client client = node.client();
    expect_delivered(client, "00000000000000a1");
    expect_delivered(client, "00000000000000a2");  // the connection is kept from now on
    const int connections = endpoint_stub.connections();
    std::this_thread::sleep_for(200ms);
    ASSERT_EQ(enqueue(client, id), "+OK");
    endpoint_stub.next().close_connection();
    endpoint_stub.next().respond(200);
    EXPECT_EQ(endpoint_stub.connections(), connections + 1);
    std::this_thread::sleep_for(200ms);
    expect_delivered(client, "00000000000000a3");
    EXPECT_EQ(endpoint_stub.connections(), connections + 2);
}

// With 350 forwarders, their idle connections filled the connection tables of the endpoints, which rejected
// calls on new connections and closed these.
class RejectedNewConnection : public EndpointCallerTest, public ::testing::WithParamInterface<bool> {};
TEST_P(RejectedNewConnection, StopsKeepingIdleConnectionsIfClosed) {
    const bool closed = GetParam();
    node.start_ready();
    Client client = node.client();
    const int initial = endpoint_stub.connections();
    std::vector<Exchange> calls;  // the last one is on a separate connection
    for (int i = 0; i < 2 || endpoint_stub.connections() < initial + 2; ++i) {
        ASSERT_EQ(enqueue(client, "00000000000000a" + std::to_string(i)), "+OK");
        calls.push_back(endpoint_stub.next());
    }
    calls.back().respond(503, closed ? "Connection: close\r\n" : "");
    calls.pop_back();
    for (const Exchange& call : calls) call.respond(200);
    endpoint_stub.next().respond(200);  // the retry of the rejected call
    expect_delivered(client, "00000000000000b1");
    std::this_thread::sleep_for(300ms);
    const int before = endpoint_stub.connections();
    expect_delivered(client, "00000000000000b2");
    EXPECT_EQ(endpoint_stub.connections(), before + (closed ? 1 : 0));
}
INSTANTIATE_TEST_SUITE_P(EndpointCaller, RejectedNewConnection, ::testing::Bool());

// A connection was established a second late, after the start deadline of the message, and the call was
// written nevertheless. An attempt that did not start in time has not run, and says nothing about the
// endpoint.
TEST(EndpointCaller, DoesNotStartACallAfterItsStartDeadline) {
    const FullListener listener;
    Json file = make_config("127.0.0.1:1", "127.0.0.1:1");
    file["settings"]["limits"]["connect_timeout_ms"] = 30000;
    const Config config = read_config(file);
    for (const bool has_start_limit : {true, false}) {
        asio::io_context io;
        std::optional<cometspoke::Outcome> outcome;
        EndpointCaller caller(
            io, config, 8, [](auto...) { return true; }, [](auto) {},
            [&](const cometspoke::OutcomeEvent& event) { outcome = event.outcome; });
        caller.set_address(1, listener.address(), 0);
        const auto start_within = has_start_limit ? std::optional<cometspoke::Time>(100ms) : std::nullopt;
        caller.start({OutgoingAttempt{1, 1, 0, "", "B", 500ms, start_within}});
        io.run_for(kDeadline);
        EXPECT_EQ(
            outcome, has_start_limit ? cometspoke::Outcome::Withheld : cometspoke::Outcome::ConnectFailed);
    }
}

/// An endpoint whose connections are established when the test decides: a full queue drops a connect, which
/// the system repeats a second later.
class LateEndpoint {
public:
    LateEndpoint() : acceptor_(io_) {
        acceptor_.open(Tcp::v4());
        acceptor_.bind({asio::ip::address_v4::loopback(), 0});
        acceptor_.listen(0);
    }
    std::string address() const { return text_of(acceptor_.local_endpoint()); }
    Tcp::socket accept() { return acceptor_.accept(); }
    /// No connection is established until the next accept(), which returns the one made here.
    void fill() { filling_.connect(acceptor_.local_endpoint()); }
    static bool readable(Tcp::socket& socket, std::chrono::milliseconds within) {
        pollfd entry{socket.native_handle(), POLLIN, 0};
        return poll(&entry, 1, static_cast<int>(within.count())) == 1;
    }
    static void respond(Tcp::socket& socket, const std::string& text) {
        char request[4096];
        ASSERT_TRUE(readable(socket, kDeadline));
        socket.read_some(asio::buffer(request));
        asio::write(socket, asio::buffer(text));
    }

private:
    asio::io_context io_;
    Tcp::acceptor acceptor_;
    Tcp::socket filling_{io_};
};

// A call was decided before a Retry-After arrived and was written before that time was over, when its
// connection was established. Such an attempt must not start, and the message is sent once the time is over.
TEST_F(EndpointCallerTest, HonoursRetryAfterWhenAConnectionIsEstablishedLate) {
    LateEndpoint late;
    node.config()["known"] = list(1, true, {member("s-1", late.address(), 7)});
    node.config()["settings"]["limits"]["connect_timeout_ms"] = 15000;
    node.config()["settings"]["limits"]["max_attempts"] = 1;
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    Tcp::socket first = late.accept();
    late.fill();
    ASSERT_TRUE(LateEndpoint::readable(first, kDeadline));
    ASSERT_EQ(enqueue(client, "00000000000000aa"), "+OK");  // its connection is not established
    std::this_thread::sleep_for(200ms);
    LateEndpoint::respond(first, "HTTP/1.1 429 X\r\nContent-Length: 0\r\nRetry-After: 4\r\n\r\n");
    const auto responded_at = Clock::now();
    const Tcp::socket filling = late.accept();
    Tcp::socket second = late.accept();
    const auto established_at = Clock::now();
    ASSERT_LT(established_at - responded_at, 3s);
    EXPECT_FALSE(LateEndpoint::readable(
        second, std::chrono::duration_cast<std::chrono::milliseconds>(responded_at + 3900ms - Clock::now())));
    EXPECT_TRUE(LateEndpoint::readable(second, kDeadline));
}

/// The number of attempts that a new process would find in the journal if this one ended now.
std::uint32_t recorded_attempts(const Node& node, MessageId message) {
    const TemporaryFolder copy;
    std::filesystem::copy_file(node.state() / "journal", copy.path() / "journal");
    const Journal journal(copy.path(), 1 << 20);
    const JournalEntry* entry = journal.find(message);
    return entry != nullptr ? entry->attempts : 0;
}

// A call that waits for its connection has not run, so the next process makes it however this one
// ends.
class RestartWhileConnecting : public EndpointCallerTest, public ::testing::WithParamInterface<int> {};
TEST_P(RestartWhileConnecting, MakesTheCallAfterwards) {
    LateEndpoint late;
    late.fill();
    node.config()["known"] = list(1, true, {member("s-1", late.address(), 7)});
    node.config()["settings"]["limits"]["connect_timeout_ms"] = 15000;
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    const auto until = Clock::now() + kDeadline;
    while (recorded_attempts(node, cometspoke::settings::parse_message_id(id)) == 0)
        ASSERT_LT(Clock::now(), until);
    ::kill(node.pid(), GetParam());
    node.wait();
    node.config()["known"] = list(1, true, {member("s-1", endpoint_stub.address(), 7)});
    node.start_ready();
    const Exchange call = endpoint_stub.next();
    EXPECT_EQ(call.header("X-Call-Id"), id);
    call.respond(200);
}
INSTANTIATE_TEST_SUITE_P(EndpointCaller, RestartWhileConnecting, ::testing::Values(SIGKILL, SIGTERM));

// Retry-After arrives in the header of a response whose rest is late, missing or malformed.
class RetryAfterInAnIncompleteResponse : public EndpointCallerTest,
                                         public ::testing::WithParamInterface<const char*> {};
TEST_P(RetryAfterInAnIncompleteResponse, IsHonoured) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    const Exchange call = endpoint_stub.next();
    const auto responded_at = Clock::now();
    call.write("HTTP/1.1 429 X\r\nRetry-After: 2.5\r\n");
    std::this_thread::sleep_for(100ms);  // until Retry-After is read; a call may still be sent before that
    call.write(GetParam());
    ASSERT_EQ(enqueue(client, "00000000000000aa"), "+OK");
    endpoint_stub.next().respond(200);
    EXPECT_GE(Clock::now() - responded_at, 2500ms);
}
INSTANTIATE_TEST_SUITE_P(EndpointCaller, RetryAfterInAnIncompleteResponse,
    ::testing::Values("Content-Length: 9\r\n\r\nhalf", "X-Never-Ends: p", "no colon here\r\n\r\n",
        "Content-Length: 3000000000\r\n\r\nand so on", "Content-Length: 0\r\n\r\n"));

// The timeout expires before the event loop reports that the request was written, so the message may have
// run.
TEST(EndpointCaller, ReportsATimeoutIfTheRequestWasWrittenAsItsTimeRanOut) {
    HttpStub endpoint_stub;
    const Config config = read_config(make_config("127.0.0.1:1", "127.0.0.1:1"));
    asio::io_context io;
    std::optional<cometspoke::Outcome> outcome;
    EndpointCaller caller(
        io, config, 8, [](auto...) { return true; }, [](auto) {},
        [&](const cometspoke::OutcomeEvent& event) { outcome = event.outcome; });
    caller.set_address(1, tcp_endpoint(endpoint_stub.address(), "target"), 0);
    caller.start({OutgoingAttempt{1, 1, 0, "", "B", 50ms, std::nullopt}});
    const auto due = Clock::now() + 60ms;
    // the connection is established and the time is over before the loop runs
    while (Clock::now() < due) continue;
    while (!outcome) ASSERT_GT(io.run_one_for(kDeadline), 0u);
    EXPECT_EQ(endpoint_stub.next().header("X-Call-Id"), "0000000000000001");
    EXPECT_EQ(outcome, cometspoke::Outcome::TimedOut);
}

// Another endpoint may have the address by the time when a connection to it is established.
TEST(EndpointCaller, WritesNothingAfterTheAddressChanged) {
    LateEndpoint late;
    late.fill();
    Json file = make_config("127.0.0.1:1", "127.0.0.1:1");
    file["settings"]["limits"]["connect_timeout_ms"] = 30000;
    const Config config = read_config(file);
    asio::io_context io;
    std::optional<cometspoke::Outcome> outcome;
    EndpointCaller caller(
        io, config, 8, [](auto...) { return true; }, [](auto) {},
        [&](const cometspoke::OutcomeEvent& event) { outcome = event.outcome; });
    caller.set_address(1, tcp_endpoint(late.address(), "target"), 0);
    caller.start({OutgoingAttempt{1, 1, 0, "", "B", 20s, std::nullopt}});
    caller.set_address(1, tcp_endpoint("127.0.0.1:1", "target"), 0);
    const Tcp::socket filling = late.accept();
    Tcp::socket second = late.accept();
    while (!outcome) ASSERT_GT(io.run_one_for(kDeadline), 0u);
    EXPECT_EQ(outcome, cometspoke::Outcome::Withheld);
    char byte;
    boost::system::error_code error;
    ASSERT_TRUE(LateEndpoint::readable(second, kDeadline));
    EXPECT_EQ(second.read_some(asio::buffer(&byte, 1), error), 0u);
}

/// A call that is cancelled while a response with Retry-After is on its way.
class CancelledCall : public ::testing::Test {
protected:
    CancelledCall() { caller.set_address(1, tcp_endpoint(endpoint_stub.address(), "target"), 0); }
    /// Runs until the endpoint has received the whole call.
    Exchange call(cometspoke::Time timeout) {
        caller.start({OutgoingAttempt{1, 1, 0, "", "B", timeout, std::nullopt}});
        while (endpoint_stub.none_within(0ms)) io.run_one_for(10ms);
        return endpoint_stub.next();
    }

    HttpStub endpoint_stub;
    const Config config = read_config(make_config("127.0.0.1:1", "127.0.0.1:1"));
    asio::io_context io;
    std::vector<cometspoke::Time> retry_after_times;
    std::vector<cometspoke::OutcomeEvent> outcomes;
    EndpointCaller caller{io, config, 8, [](auto...) { return true; },
        [this](const cometspoke::RetryAfterEvent& event) { retry_after_times.push_back(event.retry_after); },
        [this](const cometspoke::OutcomeEvent& event) { outcomes.push_back(event); }};
    const std::string rejection = "HTTP/1.1 429 X\r\nContent-Length: 0\r\nRetry-After: 3\r\n\r\n";
};

// The response is in the one and the event loop has not reported it; it decides the outcome.
TEST_F(CancelledCall, UsesAResponseThatHasArrived) {
    const Exchange exchange = call(20s);
    exchange.write(rejection);
    endpoint_stub.settle();
    caller.cancel(1, 0);
    ASSERT_EQ(outcomes.size(), 1u);
    EXPECT_EQ(outcomes[0].outcome, cometspoke::Outcome::Rejected);
    EXPECT_GT(outcomes[0].retry_after, 2s);
}

// The endpoint wrote the response before it could know of the cancellation.
TEST_F(CancelledCall, HonoursRetryAfterInALateResponse) {
    const Exchange exchange = call(20s);
    caller.cancel(1, 0);
    ASSERT_EQ(outcomes.size(), 1u);
    EXPECT_EQ(outcomes[0].outcome, cometspoke::Outcome::Cancelled);
    EXPECT_EQ(caller.active_call_count(), 0u);
    exchange.write(rejection);
    while (retry_after_times.empty()) ASSERT_GT(io.run_one_for(kDeadline), 0u);
    EXPECT_GT(retry_after_times[0], 2s);
    EXPECT_EQ(outcomes.size(), 1u);
    call(20s);  // on another connection, because sending on the first one has been shut down
    EXPECT_EQ(endpoint_stub.connections(), 2);
}

/// Runs the loop until the stub has received a request.
Exchange next_exchange(asio::io_context& io, HttpStub& endpoint_stub) {
    while (endpoint_stub.none_within(0ms)) io.run_one_for(10ms);
    return endpoint_stub.next();
}

// Failure: what an endpoint sent beyond a good response was read as the response to the next call on the
// connection, which had started before the surplus arrived.
class SurplusAfterAResponse : public ::testing::TestWithParam<const char*> {};
TEST_P(SurplusAfterAResponse, ReachesNoOtherCall) {
    HttpStub endpoint_stub;
    const Config config = read_config(make_config("127.0.0.1:1", "127.0.0.1:1"));
    asio::io_context io;
    std::optional<Exchange> first;
    std::vector<MessageId> delivered;
    std::function<void()> on_first_outcome;
    EndpointCaller caller(
        io, config, 8, [](auto...) { return true; }, [](auto) {},
        [&](const cometspoke::OutcomeEvent& event) {
            EXPECT_EQ(event.outcome, cometspoke::Outcome::Delivered);
            delivered.push_back(event.message);
            if (event.message == 1) on_first_outcome();
        });
    caller.set_address(1, tcp_endpoint(endpoint_stub.address(), "target"), 0);
    const auto attempt = [](MessageId id) { return OutgoingAttempt{id, 1, 0, "", "B", 20s, std::nullopt}; };
    on_first_outcome = [&] {
        caller.start({attempt(2)});
        first->write(GetParam());
        endpoint_stub.settle();
    };
    caller.start({attempt(1)});
    first = next_exchange(io, endpoint_stub);
    first->respond(200);
    const Exchange second = next_exchange(io, endpoint_stub);
    EXPECT_EQ(second.header("X-Call-Id"), "0000000000000002");
    EXPECT_EQ(delivered, std::vector<MessageId>{1});
    EXPECT_EQ(endpoint_stub.connections(), 2);
    second.respond(200);
    while (delivered.size() < 2) ASSERT_GT(io.run_one_for(kDeadline), 0u);
    EXPECT_EQ(delivered, (std::vector<MessageId>{1, 2}));
}
INSTANTIATE_TEST_SUITE_P(EndpointCaller, SurplusAfterAResponse,
    ::testing::Values("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "noise", "HTTP/1.1 20"));

// Failure: a call was written after its message had ended. It had been decided just before and waited for its
// connection to be quiet.
TEST(EndpointCaller, AsksAgainBeforeItWritesOnAConnectionThatHadToBecomeQuiet) {
    HttpStub endpoint_stub;
    const Config config = read_config(make_config("127.0.0.1:1", "127.0.0.1:1"));
    asio::io_context io;
    bool message_ended = false;
    std::function<void()> on_first_outcome;
    std::map<MessageId, cometspoke::Outcome> outcomes;
    EndpointCaller caller(
        io, config, 8, [&](auto...) { return !message_ended; }, [](auto) {},
        [&](const cometspoke::OutcomeEvent& event) {
            outcomes[event.message] = event.outcome;
            if (event.message == 1) on_first_outcome();
        });
    caller.set_address(1, tcp_endpoint(endpoint_stub.address(), "target"), 0);
    const auto attempt = [](MessageId id) { return OutgoingAttempt{id, 1, 0, "", "B", 20s, std::nullopt}; };
    on_first_outcome = [&] {
        caller.start({attempt(2)});
        message_ended = true;
    };
    caller.start({attempt(1)});
    next_exchange(io, endpoint_stub).respond(200);
    while (outcomes.size() < 2) ASSERT_GT(io.run_one_for(kDeadline), 0u);
    EXPECT_EQ(outcomes[2], cometspoke::Outcome::Withheld);
    EXPECT_TRUE(endpoint_stub.none_within(100ms));
}

// Only those messages are removed from a batch call that may not start any more.
TEST(EndpointCaller, WritesOnlyAttemptsThatMayStart) {
    HttpStub endpoint_stub;
    Json file = make_config("127.0.0.1:1", "127.0.0.1:1");
    file["settings"]["family_info"]["per_call"] = {3};
    const Config config = read_config(file);
    asio::io_context io;
    std::map<MessageId, cometspoke::Outcome> outcomes;
    EndpointCaller caller(
        io, config, 8, [](MessageId message, std::uint32_t) { return message == 2; }, [](auto) {},
        [&](const cometspoke::OutcomeEvent& event) { outcomes[event.message] = event.outcome; });
    caller.set_address(1, tcp_endpoint(endpoint_stub.address(), "target"), 0);
    const auto attempt = [](MessageId id) { return OutgoingAttempt{id, 1, 0, "", "B", 20s, std::nullopt}; };
    caller.start({attempt(1), attempt(2), attempt(3)});
    EXPECT_EQ(caller.active_call_count(), 1u);
    std::thread answering([&endpoint_stub] {
        const Exchange call = endpoint_stub.next();
        EXPECT_EQ(call.header("X-Call-Id"), "0000000000000002");
        call.respond(200);
    });
    while (outcomes.size() < 3) ASSERT_GT(io.run_one_for(kDeadline), 0u);
    answering.join();
    using cometspoke::Outcome;
    EXPECT_EQ(outcomes, (std::map<MessageId, Outcome>{
                            {1, Outcome::Withheld}, {2, Outcome::Delivered}, {3, Outcome::Withheld}}));
    EXPECT_EQ(caller.active_call_count(), 0u);
}

// Another endpoint may get the address of a removed one, and its calls must use new connections.
TEST_F(EndpointCallerTest, UsesNoConnectionOfARemovedEndpoint) {
    start_with_one_call();
    Client client = node.client();
    expect_delivered(client, id);
    send_endpoint_list(
        next_discovery_request("/v1/servers"), list(1, true, {member("s-1", endpoint_stub.address(), 7)}));
    send_endpoint_list(next_discovery_request("/v1/servers?from=1"),
        list(2, false,
            {member("s-1", endpoint_stub.address(), 7, "terminated"),
                member("s-2", endpoint_stub.address(), 7)}));
    const Exchange watch = next_discovery_request("/v1/servers?from=2");
    expect_delivered(client, "00000000000000aa");
    EXPECT_EQ(endpoint_stub.connections(), 2);
}

// An endpoint is removed during a call; the outcome of the call still counts for the message.
TEST_F(EndpointCallerTest, AwaitsCallsOfARemovedEndpoint) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    const Exchange call = endpoint_stub.next();
    send_endpoint_list(
        next_discovery_request("/v1/servers"), list(1, true, {member("s-2", endpoint_stub.address(), 7)}));
    const Exchange watch = next_discovery_request("/v1/servers?from=1");
    for (int i = 10; i < 14; ++i) {
        expect_delivered(client, "00000000000000" + std::to_string(i));
        std::this_thread::sleep_for(400ms);  // endpoints without any reference are released meanwhile
    }
    call.respond(200);
    EXPECT_TRUE(discovery_stub.none_within(500ms));
    EXPECT_EQ(client.ask({"PING"}), "+PONG");
}

// Calls, idle connections and endless responses together stay under the configured number of descriptors.
TEST_F(EndpointCallerTest, StaysUnderTheDescriptorLimit) {
    node.config()["limits"]["sockets"] = 64;
    node.config()["settings"]["family_info"]["slots"] = 200;
    node.config()["settings"]["limits"]["most_held"] = 400;
    node.start_ready();
    Client client = node.client();
    std::vector<Exchange> calls;
    for (int i = 100; i < 200; ++i) ASSERT_EQ(enqueue(client, "0000000000000" + std::to_string(i)), "+OK");
    for (int i = 0; i < 100; ++i) {
        const auto descriptors =
            std::filesystem::directory_iterator("/proc/" + std::to_string(node.pid()) + "/fd");
        ASSERT_LE(std::distance(begin(descriptors), end(descriptors)), 64);
        endpoint_stub.next().write("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\nand no more");
    }
    EXPECT_EQ(client.ask({"PING"}), "+PONG");
}

}  // namespace
}  // namespace lockgw
