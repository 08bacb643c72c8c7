// Tests with clients that send malformed input, too much, too little or nothing.
#include <boost/asio/read.hpp>

#include "node_fixture.hpp"

namespace lockgw {
namespace {

class MisbehavingClientTest : public NodeTest {
protected:
    std::string command(const std::vector<std::string>& words) {
        std::string bytes = "*" + std::to_string(words.size()) + "\r\n";
        for (const std::string& word : words)
            bytes += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
        return bytes;
    }
    void expect_served(Client& client, const std::string& id) {
        ASSERT_EQ(enqueue(client, id), "+OK");
        const Exchange call = endpoint_stub.next();
        EXPECT_EQ(call.header("X-Call-Id"), id);
        call.respond(200);
    }
};

// After a framing error nothing that follows in the stream can be parsed, so the connection is closed.
TEST_F(MisbehavingClientTest, RepliesToMalformedInputAndCloses) {
    node.start_ready();
    const std::string endless(100'000, 'x');
    for (const std::string& bytes : {std::string("GET / HTTP/1.1\r\n\r\n"), std::string("*1\r\n$-5\r\n"),
             std::string("*999999\r\n"), std::string("*1\r\n$60000000\r\n"),
             std::string("*1\r\n$99999999999999999999\r\n"), std::string("*2\r\n$4\r\nPINGPING\r\n"),
             std::string("\xff\xfe\r\n"), "*" + endless, "*1\r\n$" + endless}) {
        Client client = node.client();
        client.send(bytes);
        EXPECT_EQ(client.line().substr(0, 5), "-ERR ") << bytes.substr(0, 20);
        EXPECT_TRUE(client.ended());
    }
    Client client = node.client();
    expect_served(client, id);
}

// After an invalid value the stream can still be parsed, so the connection stays open.
TEST_F(MisbehavingClientTest, RepliesToInvalidValuesAndKeepsReading) {
    node.start_ready();
    send_endpoint_list(
        next_discovery_request("/v1/servers"), list(2, true, {member("s-1", endpoint_stub.address(), 7)}));
    const Exchange watch = next_discovery_request("/v1/servers?from=2");
    Client client = node.client();
    EXPECT_EQ(client.ask({"ENQUEUE"}).substr(0, 5), "-ERR ");
    EXPECT_EQ(client.ask({"ENQUEUE", "0", "c=safe,t=acme,d=9,dest=7", "B"}).substr(0, 5), "-ERR ");  // no id
    EXPECT_EQ(enqueue(client, "xyz").substr(0, 5), "-ERR ");
    EXPECT_EQ(enqueue(client, id, "odd\r\n").substr(0, 5), "-ERR ");
    EXPECT_EQ(enqueue(client, id, "safe", -5).substr(0, 5), "-ERR ");
    for (const char* words : {"c=safe,t=acme,d=soon,dest=7", "c=safe,t=acme,d=nan,dest=7",
             "c=safe,t=acme,d=9", "c=safe,t=acme,d=9,dest=99999999999999999999", "safe"})
        EXPECT_EQ(client.ask({"ENQUEUE", "0", id, words, "B"}).substr(0, 5), "-ERR ") << words;
    for (const int nowhere : {-1, 8, 70000})
        EXPECT_EQ(enqueue(client, id, "safe", 30000, "B", nowhere).substr(0, 5), "-ERR ") << nowhere;
    expect_served(client, id);
}

// Before discovery has sent its complete list, an unknown destination may still appear, so the rejection must
// not be final.
TEST_F(MisbehavingClientTest, IsBusyForAnUnknownDestinationUntilTheListIsComplete) {
    node.start_ready();
    Client client = node.client();
    EXPECT_EQ(enqueue(client, id, "safe", 30000, "B", 8).substr(0, 6), "-BUSY ");
}

// No message may be delivered for longer than its class allows, whatever deadline the client sends.
TEST_F(MisbehavingClientTest, LimitsTheDeadlineToThatOfTheClass) {
    node.config()["settings"]["classes"][0]["hard_limit_ms"] = 9000;
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "safe", 80'000'000), "+OK");
    EXPECT_LE(std::stoi(endpoint_stub.next().header("X-Budget-Ms")), 9000);
}

TEST_F(MisbehavingClientTest, ClosesPartialCommandsAndSilentConnections) {
    node.start_ready();
    Client partial = node.client(), silent = node.client(), well_behaved = node.client();
    EXPECT_EQ(well_behaved.ask({"PING"}), "+PONG");
    partial.send(command({"PING", "x"}).substr(0, 12));
    EXPECT_EQ(partial.line().substr(0, 5), "-ERR ");
    EXPECT_TRUE(partial.ended());
    EXPECT_TRUE(silent.ended());
    EXPECT_EQ(well_behaved.ask({"PING"}), "+PONG");  // idle connections stay open while few are open
}

// Failure: a client that said nothing at first and then sent half a command had its error 4 s after it had
// connected.
TEST_F(MisbehavingClientTest, EndsALateHalfCommandWithinTheTimeThatItIsOwed) {
    constexpr auto kMaxBadClientTime = 3s;
    node.start_ready();
    Client other = node.client();
    const auto connected_at = Clock::now();
    Client late = node.client();
    ASSERT_EQ(enqueue(other, id, "safe", 1700, "B", 99), "+OK");
    ASSERT_EQ(notices(next_discovery_request("/reports"))[0]["ref"], id);  // 1.7 s later
    late.send("*1\r\n$4\r\nPI");
    EXPECT_EQ(late.line(), "-ERR a command without an end");
    EXPECT_LT(Clock::now() - connected_at, kMaxBadClientTime);
}

TEST_F(MisbehavingClientTest, ServesAClientAmongHundredsOfSilentOnes) {
    node.start_ready();
    std::list<Client> silent;
    for (int i = 0; i < 500; ++i) silent.emplace_back(node.address());
    Client client = node.client();
    expect_served(client, id);
    for (Client& one : silent) EXPECT_TRUE(one.ended());
    expect_served(client, "00000000000000aa");
}

// A connection with hundreds of pending commands gets its replies in order, and other connections are served
// meanwhile.
TEST_F(MisbehavingClientTest, AcceptsHundredsOfPipelinedCommands) {
    node.start_ready();
    Client pipelining = node.client(), well_behaved = node.client();
    std::string bytes;
    for (int i = 0; i < 1000; ++i)
        bytes += command({"ENQUEUE", "0", "no id", "c=safe", "B"}) + command({"PING"});
    pipelining.send(bytes);
    expect_served(well_behaved, id);
    for (int i = 0; i < 1000; ++i) {
        ASSERT_EQ(pipelining.line().substr(0, 5), "-ERR ") << i;
        ASSERT_EQ(pipelining.line(), "+PONG") << i;
    }
}

// Long partial commands of many clients take no more than a fixed share of the memory.
TEST_F(MisbehavingClientTest, LimitsTheMemoryOfPartialCommands) {
    node.config()["limits"]["memory_mb"] = 4;
    node.start_ready();
    std::list<Client> partial_clients;
    const std::string partial = "*2\r\n$4\r\nPING\r\n$60000\r\n" + std::string(50'000, 'h');
    for (int i = 0; i < 60; ++i) {
        partial_clients.emplace_back(node.address());
        partial_clients.back().send(partial);
    }
    EXPECT_EQ(partial_clients.front().line(), "-ERR too much at once");
    Client client = node.client();
    expect_served(client, id);
}

/// Idle clients take all the connections that a limit of 64 descriptors leaves to clients, except the one
/// that is kept free for a new client.
class ConnectionLimitTest : public MisbehavingClientTest {
protected:
    ConnectionLimitTest() {
        node.config()["limits"]["sockets"] = 64;
        node.start_ready();
        for (int i = 0; i < kClientConnections; ++i) clients.emplace_back(node.address());
        for (Client& one : clients) EXPECT_EQ(one.ask({"PING"}), "+PONG");
    }
    static constexpr int kClientConnections = 15;
    std::list<Client> clients;
};

// The oldest idle connection has just sent a request. The next idle connection must be closed, and not the
// one that was just opened.
TEST_F(ConnectionLimitTest, ClosesAnIdleConnectionWithoutARequestForANewOne) {
    ::kill(node.pid(), SIGSTOP);
    Client newest = node.client();  // before the request, so that the event loop handles it first
    clients.front().send(command({"PING"}));
    ::kill(node.pid(), SIGCONT);
    EXPECT_TRUE(std::next(clients.begin())->ended());
    EXPECT_EQ(clients.front().line(), "+PONG");
    EXPECT_EQ(newest.ask({"PING"}), "+PONG");
}

// Connections with a partial command may be closed only after some time. A client that waits in the
// listener's queue must be accepted at that time, and not only once one of the connections has ended by
// itself.
TEST_F(ConnectionLimitTest, AcceptsAWaitingClientOnceAConnectionMayBeClosed) {
    ::kill(node.pid(), SIGSTOP);
    clients.emplace_back(node.address());
    for (Client& one : clients) one.send("*1\r\n");
    Client waiting = node.client();
    ::kill(node.pid(), SIGCONT);
    const auto started = Clock::now();
    EXPECT_EQ(waiting.ask({"PING"}), "+PONG");
    EXPECT_LT(Clock::now() - started, 1500ms);
}

// Empty commands must not restart the timeout of a connection, which would otherwise never expire.
TEST_F(MisbehavingClientTest, ClosesAClientThatSendsOnlyEmptyCommands) {
    node.start_ready();
    Client flooding = node.client();
    std::string empty;
    for (int i = 0; i < 4000; ++i) empty += "*0\r\n";
    const auto started = Clock::now();
    EXPECT_THROW(
        while (Clock::now() - started < kDeadline) flooding.send(empty), boost::system::system_error);
    // 2.4 s without a command, 2 s in a partial one, and a margin for a loaded machine
    EXPECT_LT(Clock::now() - started, 8s);
}

// Memory and descriptors must not grow with the number of closed connections.
TEST_F(MisbehavingClientTest, ReleasesTheResourcesOfClosedConnections) {
    node.start_ready();
    const auto descriptors = [this] {
        const auto entries =
            std::filesystem::directory_iterator("/proc/" + std::to_string(node.pid()) + "/fd");
        return std::distance(begin(entries), end(entries));
    };
    Client well_behaved = node.client();
    EXPECT_EQ(well_behaved.ask({"PING"}), "+PONG");
    const auto before = descriptors();
    for (int i = 0; i < 300; ++i) {
        Client client = node.client();
        client.send(i % 2 == 0 ? "noise\r\n" : "*1\r\n");
        if (i % 2 == 0) {
            EXPECT_EQ(client.line().substr(0, 5), "-ERR ");
        }
    }
    const auto until = Clock::now() + kDeadline;
    // The loop uses the same value that is checked below, because the node opens a new connection to
    // discovery now and then, which gets no responses here.
    auto remaining = descriptors();
    while (remaining > before && Clock::now() < until) {
        std::this_thread::sleep_for(10ms);
        remaining = descriptors();
    }
    EXPECT_LE(remaining, before);
}

/// A client sends several requests while the process is stopped and leaves, in order or with a reset.
class LeavingClientTest : public MisbehavingClientTest, public ::testing::WithParamInterface<bool> {
protected:
    static void leave(Tcp::socket& socket, bool by_reset) {
        if (by_reset) socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    }
    std::string requests(int count) {
        std::string bytes;
        for (int i = 0; i < count; ++i)
            bytes += command(
                {"ENQUEUE", "0", "00000000000000c" + std::to_string(i), "c=safe,t=acme,d=30000,dest=7", "B"});
        return bytes;
    }
    asio::io_context io;
};

// Failure: requests that were still unread when their client had closed its connection, or had reset it, were
// accepted and sent on. The client hands them in again with new ids.
TEST_P(LeavingClientTest, DoesNotAcceptRequestsThatAreReadAfterTheirClientHasLeft) {
    node.start_ready();
    Tcp::socket leaving(io);
    leaving.connect(node.address());
    ::kill(node.pid(), SIGSTOP);
    asio::write(leaving, asio::buffer(requests(5)));
    leave(leaving, GetParam());
    ::kill(node.pid(), SIGCONT);
    Client client = node.client();
    ASSERT_EQ(client.ask({"PING"}), "+PONG");
    expect_served(client, id);
    EXPECT_TRUE(endpoint_stub.none_within(300ms));
}
INSTANTIATE_TEST_SUITE_P(ByReset, LeavingClientTest, ::testing::Bool());

// A client that only ends its sending still reads its reply, and may hand in again.
TEST_F(LeavingClientTest, RefusesRequestsOfAClientThatHasEndedItsSending) {
    node.start_ready();
    Tcp::socket half_closed(io);
    half_closed.connect(node.address());
    ::kill(node.pid(), SIGSTOP);
    asio::write(half_closed, asio::buffer(requests(1)));
    half_closed.shutdown(Tcp::socket::shutdown_send);
    ::kill(node.pid(), SIGCONT);
    std::string reply;
    boost::system::error_code error;
    asio::read(half_closed, asio::dynamic_buffer(reply), error);
    EXPECT_EQ(reply, "-BUSY\r\n");
    EXPECT_TRUE(endpoint_stub.none_within(100ms));
}

}  // namespace
}  // namespace lockgw
