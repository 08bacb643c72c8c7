// The operators' calls: readiness, endpoints out by hand, drain and undrain.
#include "net/management.hpp"

#include "node_fixture.hpp"

namespace lockgw {
namespace {

using http::status;

TEST(ManagementCall, IsReadFromItsRequestLine) {
    const auto read = [](http::verb method, const char* target) {
        OperatorCall call;
        const OperatorReply verdict = parse_operator_call(method, target, call);
        return std::pair(verdict.status, call.endpoint);
    };
    EXPECT_EQ(read(http::verb::get, "/ready").first, status::ok);
    EXPECT_EQ(read(http::verb::post, "/ready").first, status::method_not_allowed);
    EXPECT_EQ(read(http::verb::get, "/drain").first, status::method_not_allowed);
    EXPECT_EQ(read(http::verb::post, "/drain").first, status::ok);
    EXPECT_EQ(read(http::verb::post, "/undrain?x=1").first, status::ok);
    EXPECT_EQ(read(http::verb::get, "/").first, status::not_found);
    EXPECT_EQ(read(http::verb::post, "/endpoints").first, status::not_found);
    EXPECT_EQ(read(http::verb::post, "/endpoints/disable").first, status::bad_request);
    EXPECT_EQ(read(http::verb::post, "/endpoints/disable?who=").first, status::bad_request);
    EXPECT_EQ(read(http::verb::post, "/endpoints/enable?who=%zz").first, status::bad_request);
    EXPECT_EQ(read(http::verb::post, "/endpoints/enable?a=b&who=s%2d1&c"),
        std::pair(status::ok, std::string("s-1")));
}

class ManagementTest : public NodeTest {
protected:
    ManagementTest() : management(node.other_address()) { node.config()["management"] = text_of(management); }

    int call(const std::string& method, const std::string& path) { return operate(management, method, path); }
    int post(const std::string& path) { return call("POST", path); }
    void list_two(int revision, HttpStub& other) {
        tell(agent_request("/v1/servers"),
            list(revision, true, {member("s-1", target.address(), 7), member("s-2", other.address(), 7)}));
        watch = agent_request("/v1/servers?from=" + std::to_string(revision));
    }
    bool goes_to(HttpStub& expected, const std::string& one) {
        Client client = node.client();
        if (enqueue(client, one) != "+OK") return false;
        const Exchange exchange = expected.next();
        exchange.answer(200);
        return exchange.header("X-Call-Id") == one;
    }

    Tcp::endpoint management;
    std::optional<Exchange> watch;
};

TEST_F(ManagementTest, AnswersKnownCallsAndSaysNoToOthers) {
    node.start_ready();
    EXPECT_EQ(call("GET", "/ready"), 200);
    EXPECT_EQ(call("GET", "/metrics"), 404);
    EXPECT_EQ(call("POST", "/ready"), 405);
    EXPECT_EQ(post("/endpoints/disable?who=s-nowhere"), 404);
    EXPECT_EQ(post("/endpoints/enable?who=s-nowhere"), 404);
    Client rude(management);
    rude.send("what is this\r\n\r\n");
    EXPECT_EQ(rude.line().substr(0, 12), "HTTP/1.1 400");
}

// More callers than there is room for, none with a whole call: the next one is answered all the same.
TEST_F(ManagementTest, CallersThatDawdleKeepNobodyOut) {
    node.start_ready();
    std::list<Client> dawdlers;
    for (std::size_t i = 0; i < 3 * Management::kMaxConnections; ++i) {
        dawdlers.emplace_back(management);
        if (i % 2 == 0) dawdlers.back().send("GET /ready HTT");
    }
    const auto begun = Clock::now();
    EXPECT_EQ(call("GET", "/ready"), 200);
    EXPECT_LT(Clock::now() - begun, 1s);
    EXPECT_TRUE(dawdlers.back().ended());  // none of them stays for long
}

TEST_F(ManagementTest, ReadsACallInPieces) {
    node.start_ready();
    Client slow(management);
    for (const char letter : std::string("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")) {
        slow.send(std::string(1, letter));
        std::this_thread::sleep_for(20ms);
    }
    EXPECT_EQ(slow.line().substr(0, 12), "HTTP/1.1 200");
}

TEST_F(ManagementTest, ABanOutranksTheListAndOutlastsTheProcess) {
    HttpStub other;
    node.start_ready();
    list_two(5, other);
    EXPECT_EQ(post("/endpoints/disable?who=s-1"), 200);
    EXPECT_EQ(post("/endpoints/disable?who=s-1"), 200);
    for (const char* one : {"00000000000000a1", "00000000000000a2", "00000000000000a3"})
        EXPECT_TRUE(goes_to(other, one));
    // gone and listed anew, under another number of the module
    tell(*watch, list(6, false, {member("s-1", target.address(), 7, "terminated")}));
    std::this_thread::sleep_for(1200ms);  // the module forgets what has gone once a second
    EXPECT_TRUE(goes_to(other, "00000000000000a4"));
    EXPECT_EQ(post("/endpoints/enable?who=s-99"), 200);  // listed once, whatever its state
    tell(agent_request("/v1/servers?from=6"), list(7, false, {member("s-1", target.address(), 7)}));
    agent_request("/v1/servers?from=7");
    EXPECT_TRUE(goes_to(other, "00000000000000a5"));

    std::this_thread::sleep_for(200ms);  // the answer to a5 has come, so nothing is held
    node.kill();
    node.wait();
    node.start_ready();  // its first list names s-1 alone
    Client client = node.client();
    ASSERT_EQ(enqueue(client, "00000000000000a6"), "+OK");
    EXPECT_TRUE(target.none_within(300ms));
    EXPECT_EQ(post("/endpoints/enable?who=s-1"), 200);
    EXPECT_EQ(target.next().header("X-Call-Id"), "00000000000000a6");
}

TEST_F(ManagementTest, DrainServesWhoIsThereAndUndrainTakesItBack) {
    node.start_ready();
    Client kept = node.client();
    ASSERT_EQ(kept.ask({"PING"}), "+PONG");
    EXPECT_EQ(post("/drain"), 200);
    EXPECT_EQ(post("/drain"), 200);
    EXPECT_EQ(call("GET", "/ready"), 503);
    EXPECT_EQ(node.client().ask({"PING"})[0], '-');  // the listener stays open
    EXPECT_EQ(enqueue(kept, id), "+OK");             // and the connection is kept a little longer
    Client half = node.client();
    half.send("*1\r\n$4\r\nPI");
    EXPECT_TRUE(kept.ended());
    half.send("NG\r\n");  // begun before the end of its connection: owed an answer
    EXPECT_EQ(half.line()[0], '-');
    EXPECT_TRUE(half.ended());
    EXPECT_EQ(target.next().header("X-Call-Id"), id);  // what is held is delivered
    EXPECT_EQ(post("/undrain"), 200);
    EXPECT_EQ(call("GET", "/ready"), 200);
    Client again = node.client();
    EXPECT_EQ(again.ask({"PING"}), "+PONG");
    EXPECT_EQ(again.ask({"PING"}), "+PONG");
}

TEST_F(ManagementTest, UndrainHalfwayKeepsTheConnections) {
    node.start_ready();
    Client kept = node.client();
    ASSERT_EQ(kept.ask({"PING"}), "+PONG");
    EXPECT_EQ(post("/drain"), 200);
    EXPECT_EQ(post("/undrain"), 200);
    std::this_thread::sleep_for(700ms);  // past the moment at which a drain closes them
    EXPECT_EQ(kept.ask({"PING"}), "+PONG");
}

}  // namespace
}  // namespace lockgw
