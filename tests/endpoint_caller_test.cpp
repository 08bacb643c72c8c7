// Targets that answer with noise, too much or without end, and targets that come and go.
#include "net/endpoint_caller.hpp"

#include "node_fixture.hpp"

namespace lockgw {
namespace {

class TargetTest : public NodeTest {
protected:
    void start_with_one_slot() {
        node.config()["settings"]["family_info"]["slots"] = 1;
        node.start_ready();
    }
    /// Serves one message and returns once its slot is free again.
    void expect_delivered(Client& client, const std::string& id, const std::string& kind = "safe") {
        ASSERT_EQ(enqueue(client, id, kind), "+OK");
        const Exchange call = target.next();
        EXPECT_EQ(call.header("X-Call-Id"), id);
        call.answer(200);
    }
};

// A first line of 200 is true, whatever follows; the connection is of no further use.
class Delivered : public TargetTest, public ::testing::WithParamInterface<const char*> {};
TEST_P(Delivered, ByAFirstLineOf200) {
    start_with_one_slot();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    target.next().write(GetParam());
    expect_delivered(client, "00000000000000aa");
    EXPECT_EQ(target.connections(), 2);
    EXPECT_TRUE(target.none_within(200ms));
}
INSTANTIATE_TEST_SUITE_P(Target, Delivered,
    ::testing::Values("HTTP/1.1 200 OK\r\nno colon here\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on",
        "HTTP/1.1 200 OK\r\nX-Never-Ends: p", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"));

// Only a sound answer proves that a message never ran: an unsafe one must not go again after any of these.
class Doubtful : public TargetTest, public ::testing::WithParamInterface<const char*> {};
TEST_P(Doubtful, MayHaveRun) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    target.next().write(GetParam());
    EXPECT_EQ(notices(agent_request("/reports"))[0], (Json{{"ref", id}, {"result", "dead"}}));
    EXPECT_TRUE(target.none_within(200ms));
}
INSTANTIATE_TEST_SUITE_P(Target, Doubtful,
    ::testing::Values("noise\r\n\r\n", "ICY 200 OK\r\n\r\n", "HTTP/1.1 503 X\r\nno colon here\r\n\r\n",
        "HTTP/1.1 503 X\r\nContent-Length: 100\r\n\r\nhalf",
        "HTTP/1.1 429 X\r\nRetry-After: 1\r\nX-Never-Ends: p",
        "HTTP/1.1 504 X\r\nContent-Length: 3000000000\r\n\r\nand so on"));

TEST_F(TargetTest, SkipsWhatStandsAheadOfAnAnswer) {
    start_with_one_slot();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    const Exchange call = target.next();
    call.write("HTTP/1.1 102 Processing\r\n\r\n");
    std::this_thread::sleep_for(1500ms);  // longer than an answer may take once it has begun
    // held before the first is answered: else the module may give the idle connection back in between
    ASSERT_EQ(enqueue(client, "00000000000000aa"), "+OK");
    call.write("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    target.next().answer(200);
    EXPECT_EQ(target.connections(), 1);
}

// Targets spoil answers now and then; that is no outage, and the others must not wait for it to end.
TEST_F(TargetTest, SpoiltAnswersNowAndThenMakeNoTargetSick) {
    node.start_ready();
    Client client = node.client();
    for (int i = 10; i < 40; ++i) {
        const std::string one = "00000000000000" + std::to_string(i);
        ASSERT_EQ(enqueue(client, one), "+OK");
        Exchange call = target.next();
        EXPECT_EQ(call.header("X-Call-Id"), one);
        if (i % 4 == 0) {
            const auto spoilt = Clock::now();
            call.write("noise\r\n\r\n");
            call = target.next();
            EXPECT_EQ(call.header("X-Call-Id"), one);
            EXPECT_LT(Clock::now() - spoilt, 5s);
        }
        call.answer(200);
    }
}

// What waits for one target goes out in one turn: as one call where the settings allow it.
class BatchTest : public TargetTest {
protected:
    /// Starts with one slot that `first` holds, hands the others in, and frees the slot: they go as one call.
    Exchange batch_of(const std::vector<std::pair<std::string, std::string>>& others) {
        node.config()["settings"]["family_info"]["per_call"] = {3};
        start_with_one_slot();
        Client client = node.client();
        EXPECT_EQ(enqueue(client, id), "+OK");
        const Exchange first = target.next();
        for (const auto& [one, kind] : others) EXPECT_EQ(enqueue(client, one, kind), "+OK");
        first.answer(200);
        return target.next();
    }
    static void answer(const Exchange& call, const Json& states, const std::string& headers = "") {
        const std::string body = states.dump();
        call.write("HTTP/1.1 200 X\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body);
    }
    const std::string a = "00000000000000aa", b = "00000000000000bb", c = "00000000000000cc";
};

TEST_F(BatchTest, CarriesWhatOneTurnSends) {
    const Exchange call = batch_of({{a, "keyed"}, {b, "unsafe"}, {c, "safe"}});
    EXPECT_EQ(call.request.target(), "/v1/messages:batch");
    EXPECT_GT(std::stoi(call.header("X-Budget-Ms")), 0);
    const Json sent = Json::parse(call.request.body());
    ASSERT_EQ(sent.size(), 3u);
    EXPECT_EQ(sent[2], (Json{{"id", a}, {"key", "5c0f6e1a2b3d4c59"}, {"body", "Qk9EWQ=="}}));
    EXPECT_EQ(sent[1]["id"], b);
    EXPECT_EQ(sent[0]["id"], c);
    answer(
        call, {{{"id", a}, {"state", "ok"}}, {{"id", b}, {"state", "error"}}, {{"id", c}, {"state", "ok"}}});
    // the fragile one may have run: it is over, and nothing comes again
    EXPECT_EQ(notices(agent_request("/reports"))[0], (Json{{"ref", b}, {"result", "dead"}}));
    EXPECT_TRUE(target.none_within(300ms));
}

// split+brink, roll+brink: a call's time was over for the other side with that of its first message, and its
// answer counted for nothing, while the others were waited for.
TEST_F(BatchTest, IsLedByTheMessageThatHasMostTime) {
    node.config()["settings"]["family_info"]["per_call"] = {3};
    start_with_one_slot();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    const Exchange first = target.next();
    for (const auto& [one, left_ms] : {std::pair(a, 9000), std::pair(b, 30000), std::pair(c, 20000)})
        ASSERT_EQ(enqueue(client, one, "safe", left_ms), "+OK");
    first.answer(200);
    const Exchange call = target.next();
    const Json sent = Json::parse(call.request.body());
    ASSERT_EQ(sent.size(), 3u);
    EXPECT_EQ(sent[0]["id"], b);
    EXPECT_EQ(sent[1]["id"], c);
    EXPECT_EQ(sent[2]["id"], a);
    EXPECT_GT(std::stoi(call.header("X-Budget-Ms")), 20000);  // as long as the first one has
    EXPECT_LE(std::stoi(call.header("X-Budget-Ms")), 30000);
    call.answer(500);
}

TEST_F(BatchTest, ATurnedAwayMessageWaitsAsLongAsTold) {
    const Exchange call = batch_of({{a, "safe"}, {b, "unsafe"}});
    const auto told = Clock::now();
    answer(call, {{{"id", a}, {"state", "ok"}}, {{"id", b}, {"state", "later"}}}, "Retry-After: 0.7\r\n");
    const Exchange again = target.next();
    EXPECT_EQ(again.header("X-Call-Id"), b);
    EXPECT_GE(Clock::now() - told, 700ms);
    again.answer(200);
}

// A wait binds however the messages fared that it came with.
TEST_F(BatchTest, AWaitBindsAlsoWhereAllWereDelivered) {
    const Exchange call = batch_of({{a, "safe"}, {b, "safe"}});
    const auto told = Clock::now();
    answer(call, {{{"id", a}, {"state", "ok"}}, {{"id", b}, {"state", "ok"}}}, "Retry-After: 0.7\r\n");
    Client client = node.client();
    ASSERT_EQ(enqueue(client, c), "+OK");
    target.next().answer(200);
    EXPECT_GE(Clock::now() - told, 700ms);
}

// A first line of 200 says nothing of one message among several.
TEST_F(BatchTest, AnUnreadableAnswerLeavesAllInDoubt) {
    const Exchange call = batch_of({{a, "unsafe"}, {b, "unsafe"}});
    call.write("HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n[{\"id\": 1");
    std::set<Json> dead;
    while (dead.size() < 2) {
        const Exchange report = agent_request("/reports");
        for (const Json& notice : notices(report)) dead.insert(notice);
        report.answer(204);
    }
    EXPECT_EQ(dead, (std::set<Json>{{{"ref", a}, {"result", "dead"}}, {{"ref", b}, {"result", "dead"}}}));
    EXPECT_TRUE(target.none_within(300ms));
}

// ticket2581: connections that had rested were ended on the way, well before the told limit and without a
// sign. After such a reset a rested connection is not trusted with a call, for a while.
TEST_F(TargetTest, TrustsNoRestedConnectionAfterAResetOnOne) {
    start_with_one_slot();
    Client client = node.client();
    expect_delivered(client, "00000000000000a1");
    expect_delivered(client, "00000000000000a2");  // from here on the connection is kept
    const int kept = target.connections();
    std::this_thread::sleep_for(200ms);
    ASSERT_EQ(enqueue(client, id), "+OK");
    target.next().hang_up();
    target.next().answer(200);
    EXPECT_EQ(target.connections(), kept + 1);
    std::this_thread::sleep_for(200ms);
    expect_delivered(client, "00000000000000a3");
    EXPECT_EQ(target.connections(), kept + 2);
}

// kumamoto-main, 350 forwarders: endpoints turned new connections away and closed them, while idle ones that
// all the forwarders kept filled their tables.
class NewConnection : public TargetTest, public ::testing::WithParamInterface<bool> {};
TEST_P(NewConnection, ThatIsTurnedAwayAndClosedEndsTheKeepingOfIdleOnes) {
    const bool closed = GetParam();
    node.start_ready();
    Client client = node.client();
    const int none = target.connections();
    std::vector<Exchange> calls;  // the last one on a connection of its own
    for (int i = 0; i < 2 || target.connections() < none + 2; ++i) {
        ASSERT_EQ(enqueue(client, "00000000000000a" + std::to_string(i)), "+OK");
        calls.push_back(target.next());
    }
    calls.back().answer(503, closed ? "Connection: close\r\n" : "");
    calls.pop_back();
    for (const Exchange& call : calls) call.answer(200);
    target.next().answer(200);  // the one that was turned away
    expect_delivered(client, "00000000000000b1");
    std::this_thread::sleep_for(300ms);
    const int before = target.connections();
    expect_delivered(client, "00000000000000b2");
    EXPECT_EQ(target.connections(), before + (closed ? 1 : 0));
}
INSTANTIATE_TEST_SUITE_P(Target, NewConnection, ::testing::Bool());

/// Takes no connection any more: its queue is full, and who connects hears nothing.
class FullListener {
public:
    FullListener() : acceptor_(io_) {
        acceptor_.open(Tcp::v4());
        acceptor_.bind({asio::ip::address_v4::loopback(), 0});
        acceptor_.listen(0);
        for (auto& one : waiting_) {
            one.open(Tcp::v4());
            one.native_non_blocking(true);  // asio's own connect would wait
            const auto to = acceptor_.local_endpoint();
            ::connect(one.native_handle(), to.data(), static_cast<socklen_t>(to.size()));
        }
    }
    Tcp::endpoint address() const { return acceptor_.local_endpoint(); }

private:
    asio::io_context io_;
    Tcp::acceptor acceptor_;
    std::array<Tcp::socket, 4> waiting_{
        Tcp::socket(io_), Tcp::socket(io_), Tcp::socket(io_), Tcp::socket(io_)};
};

// split+mass: the connection came up a second later, when the message's window had closed, and the call was
// written all the same. What was not begun in time never ran, and says nothing of the target.
TEST(Targets, BeginNothingAfterItsBound) {
    const FullListener listener;
    Json file = make_config("127.0.0.1:1", "127.0.0.1:1");
    file["settings"]["limits"]["connect_timeout_ms"] = 30000;
    const Config config = read_config(file);
    for (const bool bound : {true, false}) {
        asio::io_context io;
        std::optional<cometspoke::Outcome> outcome;
        EndpointCaller targets(
            io, config, 8, [](auto...) { return true; }, [](auto) {},
            [&](const cometspoke::OutcomeEvent& event) { outcome = event.outcome; });
        targets.set_address(1, listener.address(), 0);
        const auto within = bound ? std::optional<cometspoke::Time>(100ms) : std::nullopt;
        targets.start({OutgoingAttempt{1, 1, 0, "", "B", 500ms, within}});
        io.run_for(kDeadline);
        EXPECT_EQ(outcome, bound ? cometspoke::Outcome::Withheld : cometspoke::Outcome::ConnectFailed);
    }
}

/// A target whose connections come up when the test says so: a full queue drops what knocks, and the system
/// knocks again a second later.
class LateTarget {
public:
    LateTarget() : acceptor_(io_) {
        acceptor_.open(Tcp::v4());
        acceptor_.bind({asio::ip::address_v4::loopback(), 0});
        acceptor_.listen(0);
    }
    std::string address() const { return text_of(acceptor_.local_endpoint()); }
    Tcp::socket accept() { return acceptor_.accept(); }
    /// From here on nothing comes up until the next accept(), which takes this filling.
    void fill() { filling_.connect(acceptor_.local_endpoint()); }
    static bool readable(Tcp::socket& socket, std::chrono::milliseconds within) {
        pollfd entry{socket.native_handle(), POLLIN, 0};
        return poll(&entry, 1, static_cast<int>(within.count())) == 1;
    }
    static void answer(Tcp::socket& socket, const std::string& text) {
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

// zone+brink, join+mass: a call that was decided before a wait was told was written in the middle of it, when
// its connection came up. It is no attempt then, and goes out once the wait is over.
TEST_F(TargetTest, AWaitBindsACallWhoseConnectionComesUpLate) {
    LateTarget late;
    node.config()["known"] = list(1, true, {member("s-1", late.address(), 7)});
    node.config()["settings"]["limits"]["connect_timeout_ms"] = 15000;
    node.config()["settings"]["limits"]["max_attempts"] = 1;
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    Tcp::socket first = late.accept();
    late.fill();
    ASSERT_TRUE(LateTarget::readable(first, kDeadline));
    ASSERT_EQ(enqueue(client, "00000000000000aa"), "+OK");  // its connection does not come up
    std::this_thread::sleep_for(200ms);
    LateTarget::answer(first, "HTTP/1.1 429 X\r\nContent-Length: 0\r\nRetry-After: 4\r\n\r\n");
    const auto told = Clock::now();
    const Tcp::socket filling = late.accept();
    Tcp::socket second = late.accept();
    const auto up = Clock::now();
    ASSERT_LT(up - told, 3s);
    EXPECT_FALSE(LateTarget::readable(
        second, std::chrono::duration_cast<std::chrono::milliseconds>(told + 3900ms - Clock::now())));
    EXPECT_TRUE(LateTarget::readable(second, kDeadline));
}

/// What a start would find of a message's attempts if the process ended now.
std::uint32_t attempts_on_record(const Node& node, MessageId message) {
    const TemporaryFolder copy;
    std::filesystem::copy_file(node.state() / "journal", copy.path() / "journal");
    const Journal journal(copy.path(), 1 << 20);
    const JournalEntry* entry = journal.find(message);
    return entry != nullptr ? entry->attempts : 0;
}

// A call that waits for its connection has not run: whatever ends the process, the next one makes it.
class EndedWhileConnecting : public TargetTest, public ::testing::WithParamInterface<int> {};
TEST_P(EndedWhileConnecting, ACallIsMadeAfterTheRestart) {
    LateTarget late;
    late.fill();
    node.config()["known"] = list(1, true, {member("s-1", late.address(), 7)});
    node.config()["settings"]["limits"]["connect_timeout_ms"] = 15000;
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    const auto until = Clock::now() + kDeadline;
    while (attempts_on_record(node, cometspoke::settings::parse_message_id(id)) == 0)
        ASSERT_LT(Clock::now(), until);
    ::kill(node.pid(), GetParam());
    node.wait();
    node.config()["known"] = list(1, true, {member("s-1", target.address(), 7)});
    node.start_ready();
    const Exchange call = target.next();
    EXPECT_EQ(call.header("X-Call-Id"), id);
    call.answer(200);
}
INSTANTIATE_TEST_SUITE_P(Target, EndedWhileConnecting, ::testing::Values(SIGKILL, SIGTERM));

// The head of an answer has told the wait; the rest comes late, never, or spoilt.
class WaitInAHead : public TargetTest, public ::testing::WithParamInterface<const char*> {};
TEST_P(WaitInAHead, BindsWhateverBecomesOfTheRest) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    const Exchange call = target.next();
    const auto told = Clock::now();
    call.write("HTTP/1.1 429 X\r\nRetry-After: 2.5\r\n");
    std::this_thread::sleep_for(100ms);  // as long as a call may still come
    call.write(GetParam());
    ASSERT_EQ(enqueue(client, "00000000000000aa"), "+OK");
    target.next().answer(200);
    EXPECT_GE(Clock::now() - told, 2500ms);
}
INSTANTIATE_TEST_SUITE_P(Target, WaitInAHead,
    ::testing::Values("Content-Length: 9\r\n\r\nhalf", "X-Never-Ends: p", "no colon here\r\n\r\n",
        "Content-Length: 3000000000\r\n\r\nand so on", "Content-Length: 0\r\n\r\n"));

// The time-out falls due before the loop has told that the call was written whole: it may have run.
TEST(Targets, DoubtACallThatWasWrittenAsItsTimeRanOut) {
    HttpStub target;
    const Config config = read_config(make_config("127.0.0.1:1", "127.0.0.1:1"));
    asio::io_context io;
    std::optional<cometspoke::Outcome> outcome;
    EndpointCaller targets(
        io, config, 8, [](auto...) { return true; }, [](auto) {},
        [&](const cometspoke::OutcomeEvent& event) { outcome = event.outcome; });
    targets.set_address(1, tcp_endpoint(target.address(), "target"), 0);
    targets.start({OutgoingAttempt{1, 1, 0, "", "B", 50ms, std::nullopt}});
    const auto due = Clock::now() + 60ms;
    while (Clock::now() < due) continue;  // the connection is up and the time is over before the loop runs
    while (!outcome) ASSERT_GT(io.run_one_for(kDeadline), 0u);
    EXPECT_EQ(target.next().header("X-Call-Id"), "0000000000000001");
    EXPECT_EQ(outcome, cometspoke::Outcome::TimedOut);
}

// Another target may have the address by the time that a connection to it comes up.
TEST(Targets, WriteNothingToAnAddressThatIsNoLongerTheTargets) {
    LateTarget late;
    late.fill();
    Json file = make_config("127.0.0.1:1", "127.0.0.1:1");
    file["settings"]["limits"]["connect_timeout_ms"] = 30000;
    const Config config = read_config(file);
    asio::io_context io;
    std::optional<cometspoke::Outcome> outcome;
    EndpointCaller targets(
        io, config, 8, [](auto...) { return true; }, [](auto) {},
        [&](const cometspoke::OutcomeEvent& event) { outcome = event.outcome; });
    targets.set_address(1, tcp_endpoint(late.address(), "target"), 0);
    targets.start({OutgoingAttempt{1, 1, 0, "", "B", 20s, std::nullopt}});
    targets.set_address(1, tcp_endpoint("127.0.0.1:1", "target"), 0);
    const Tcp::socket filling = late.accept();
    Tcp::socket second = late.accept();
    while (!outcome) ASSERT_GT(io.run_one_for(kDeadline), 0u);
    EXPECT_EQ(outcome, cometspoke::Outcome::Withheld);
    char byte;
    boost::system::error_code ended;
    ASSERT_TRUE(LateTarget::readable(second, kDeadline));
    EXPECT_EQ(second.read_some(asio::buffer(&byte, 1), ended), 0u);
}

/// A call that is given up while its answer, which tells a wait, is on the way.
class GivenUp : public ::testing::Test {
protected:
    GivenUp() { targets.set_address(1, tcp_endpoint(target.address(), "target"), 0); }
    /// Runs until the target has the whole call.
    Exchange call(cometspoke::Time time_out) {
        targets.start({OutgoingAttempt{1, 1, 0, "", "B", time_out, std::nullopt}});
        while (target.none_within(0ms)) io.run_one_for(10ms);
        return target.next();
    }

    HttpStub target;
    const Config config = read_config(make_config("127.0.0.1:1", "127.0.0.1:1"));
    asio::io_context io;
    std::vector<cometspoke::Time> waits;
    std::vector<cometspoke::OutcomeEvent> outcomes;
    EndpointCaller targets{io, config, 8, [](auto...) { return true; },
        [this](const cometspoke::RetryAfterEvent& told) { waits.push_back(told.retry_after); },
        [this](const cometspoke::OutcomeEvent& event) { outcomes.push_back(event); }};
    const std::string shut = "HTTP/1.1 429 X\r\nContent-Length: 0\r\nRetry-After: 3\r\n\r\n";
};

// The answer lies in the socket, and the loop has not told of it: the outcome is its own.
TEST_F(GivenUp, IsAnsweredAllTheSameByWhatHasCome) {
    const Exchange out = call(20s);
    out.write(shut);
    target.settle();
    targets.cancel(1, 0);
    ASSERT_EQ(outcomes.size(), 1u);
    EXPECT_EQ(outcomes[0].outcome, cometspoke::Outcome::Rejected);
    EXPECT_GT(outcomes[0].retry_after, 2s);
}

// The answer was written before the target could know, and crosses the end of the call.
TEST_F(GivenUp, HeedsAWaitInAnAnswerThatCrossesItsEnd) {
    const Exchange out = call(20s);
    targets.cancel(1, 0);
    ASSERT_EQ(outcomes.size(), 1u);
    EXPECT_EQ(outcomes[0].outcome, cometspoke::Outcome::Cancelled);
    EXPECT_EQ(targets.active_call_count(), 0u);
    out.write(shut);
    while (waits.empty()) ASSERT_GT(io.run_one_for(kDeadline), 0u);
    EXPECT_GT(waits[0], 2s);
    EXPECT_EQ(outcomes.size(), 1u);
    call(20s);  // on another connection: nothing may be sent on the one that was ended
    EXPECT_EQ(target.connections(), 2);
}

// Of several messages in one call only those leave it that may not begin any more.
TEST(Targets, WriteOnlyWhatMayStillBegin) {
    HttpStub target;
    Json file = make_config("127.0.0.1:1", "127.0.0.1:1");
    file["settings"]["family_info"]["per_call"] = {3};
    const Config config = read_config(file);
    asio::io_context io;
    std::map<MessageId, cometspoke::Outcome> outcomes;
    EndpointCaller targets(
        io, config, 8, [](MessageId message, std::uint32_t) { return message == 2; }, [](auto) {},
        [&](const cometspoke::OutcomeEvent& event) { outcomes[event.message] = event.outcome; });
    targets.set_address(1, tcp_endpoint(target.address(), "target"), 0);
    const auto attempt = [](MessageId id) { return OutgoingAttempt{id, 1, 0, "", "B", 20s, std::nullopt}; };
    targets.start({attempt(1), attempt(2), attempt(3)});
    EXPECT_EQ(targets.active_call_count(), 1u);
    std::thread answering([&target] {
        const Exchange call = target.next();
        EXPECT_EQ(call.header("X-Call-Id"), "0000000000000002");
        call.answer(200);
    });
    while (outcomes.size() < 3) ASSERT_GT(io.run_one_for(kDeadline), 0u);
    answering.join();
    using cometspoke::Outcome;
    EXPECT_EQ(outcomes, (std::map<MessageId, Outcome>{
                            {1, Outcome::Withheld}, {2, Outcome::Delivered}, {3, Outcome::Withheld}}));
    EXPECT_EQ(targets.active_call_count(), 0u);
}

// Another target may have the address of one that has gone: its calls go over connections of its own.
TEST_F(TargetTest, UsesNoConnectionOfATargetThatHasGone) {
    start_with_one_slot();
    Client client = node.client();
    expect_delivered(client, id);
    tell(agent_request("/v1/servers"), list(1, true, {member("s-1", target.address(), 7)}));
    tell(agent_request("/v1/servers?from=1"),
        list(2, false,
            {member("s-1", target.address(), 7, "terminated"), member("s-2", target.address(), 7)}));
    const Exchange watch = agent_request("/v1/servers?from=2");
    expect_delivered(client, "00000000000000aa");
    EXPECT_EQ(target.connections(), 2);
}

// A target that went while its call was out: the outcome still counts for the message.
TEST_F(TargetTest, WaitsForTheCallsOfATargetThatHasGone) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    const Exchange call = target.next();
    tell(agent_request("/v1/servers"), list(1, true, {member("s-2", target.address(), 7)}));
    const Exchange watch = agent_request("/v1/servers?from=1");
    for (int i = 10; i < 14; ++i) {
        expect_delivered(client, "00000000000000" + std::to_string(i));
        std::this_thread::sleep_for(400ms);  // what nothing names is forgotten meanwhile
    }
    call.answer(200);
    EXPECT_TRUE(agent.none_within(500ms));
    EXPECT_EQ(client.ask({"PING"}), "+PONG");
}

// Calls, idle connections and answers without end together stay under the told number of descriptors.
TEST_F(TargetTest, StaysUnderItsDescriptors) {
    node.config()["limits"]["sockets"] = 64;
    node.config()["settings"]["family_info"]["slots"] = 200;
    node.config()["settings"]["limits"]["most_held"] = 400;
    node.start_ready();
    Client client = node.client();
    std::vector<Exchange> calls;
    for (int i = 100; i < 200; ++i) ASSERT_EQ(enqueue(client, "0000000000000" + std::to_string(i)), "+OK");
    for (int i = 0; i < 100; ++i) {
        const auto all = std::filesystem::directory_iterator("/proc/" + std::to_string(node.pid()) + "/fd");
        ASSERT_LE(std::distance(begin(all), end(all)), 64);
        target.next().write("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\nand no more");
    }
    EXPECT_EQ(client.ask({"PING"}), "+PONG");
}

}  // namespace
}  // namespace lockgw
