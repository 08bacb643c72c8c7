// Reloading the configuration on SIGHUP, including a change of the discovery agent.
#include "node_fixture.hpp"

namespace lockgw {
namespace {

class ReloadTest : public NodeTest {
protected:
    std::string with_discovery(const std::string& address) {
        Json config = node.config();
        config["discovery"] = address;
        return config.dump();
    }
    static std::string path_of(const Exchange& exchange) { return std::string(exchange.request.target()); }
};

// A new agent numbers its revisions independently: it must be asked for the whole list, and must get every
// notice that the old agent has not confirmed.
TEST_F(ReloadTest, SwitchesToNewAgentAndResendsNotices) {
    HttpStub new_agent, new_endpoint;
    node.start_ready();
    send_endpoint_list(
        next_discovery_request("/v1/servers"), list(5, true, {member("s-1", endpoint_stub.address(), 7)}));
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "safe", 100, "B", 99), "+OK");
    next_discovery_request("/reports");  // never confirmed

    node.reload(with_discovery(new_agent.address()));
    std::optional<Exchange> whole, report;
    while (!whole || !report) {
        const Exchange exchange = new_agent.next();
        (path_of(exchange) == "/reports" ? report : whole) = exchange;
    }
    EXPECT_EQ(path_of(*whole), "/v1/servers");
    EXPECT_EQ(notices(*report)[0]["ref"], id);
    report->respond(204);

    ASSERT_EQ(enqueue(client, "00000000000000aa"), "+OK");  // the last list stays in use until then
    const Exchange call = endpoint_stub.next();
    EXPECT_EQ(call.header("X-Call-Id"), "00000000000000aa");
    call.respond(200);
    send_endpoint_list(*whole, list(2, true, {member("s-2", new_endpoint.address(), 7)}));
    EXPECT_TRUE(path_of(new_agent.next()).starts_with("/v1/servers?from=2&"));
    ASSERT_EQ(enqueue(client, "00000000000000bb"), "+OK");
    EXPECT_EQ(new_endpoint.next().header("X-Call-Id"), "00000000000000bb");
}

// A late response from the old agent must be ignored, and so must the end of its connection.
TEST_F(ReloadTest, IgnoresLateResponsesOfOldAgent) {
    HttpStub new_agent, new_endpoint;
    node.start_ready();
    const Exchange old_watch = next_discovery_request("/v1/servers");
    node.reload(with_discovery(new_agent.address()));
    const Exchange whole = new_agent.next();
    send_endpoint_list(old_watch, list(9, true, {member("s-2", new_endpoint.address(), 7)}));
    old_watch.close_connection();
    send_endpoint_list(whole, list(2, true, {member("s-1", endpoint_stub.address(), 7)}));
    EXPECT_TRUE(path_of(new_agent.next()).starts_with("/v1/servers?from=2&"));
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    EXPECT_EQ(endpoint_stub.next().header("X-Call-Id"), id);
}

TEST_F(ReloadTest, KeepsOldConfigurationIfNewOneIsInvalid) {
    node.start_ready();
    Json without_calls = node.config();
    without_calls["settings"]["family_info"]["slots"] = 0;
    std::vector<std::string> invalid_files{"{\"name\":\n", "[]", "", node.config().dump().substr(0, 400),
        with_discovery("nowhere"), without_calls.dump()};
    const auto add_invalid = [&](const char* pointer, const Json& value) {
        Json config = node.config();
        const Json::json_pointer field(pointer);
        if (value.is_discarded())
            config.at(field.parent_pointer()).erase(field.back());
        else
            config.at(field) = value;
        invalid_files.push_back(config.dump());
    };
    const Json missing(Json::value_t::discarded);
    for (const char* key : {"/limits", "/settings", "/settings/classes", "/settings/limits/max_attempts",
             "/settings/limits/cancel", "/settings/contract/fall_ms", "/settings/classes/1/window_ms"})
        add_invalid(key, missing);
    for (const Json& value : {Json(0), Json(-3), Json("12"), Json(nullptr), Json(true)}) {
        add_invalid("/settings/limits/max_attempts", value);
        add_invalid("/settings/classes/2/hard_limit_ms", value);
    }
    for (const std::string& invalid_file : invalid_files) {
        const std::size_t start = node.log().rfind('\n') + 1;
        node.reload(invalid_file);
        // Returns the complete lines of the log since the reload: the process writes a line in several
        // pieces, so that an unfinished line may lack the prefix to filter by. Leaves out the timeouts of the
        // watch request, which this test does not answer.
        const auto new_lines = [&] {
            std::istringstream lines(node.log().substr(start));
            std::string complete;
            for (std::string line; std::getline(lines, line) && !lines.eof();)
                if (!line.starts_with("discovery: no list: ")) complete += line + '\n';
            return complete;
        };
        const auto until = Clock::now() + kDeadline;
        while (new_lines().find('\n') == std::string::npos && Clock::now() < until)
            std::this_thread::sleep_for(10ms);
        const std::string log = new_lines();
        EXPECT_NE(log.find("the old configuration stays: "), std::string::npos) << invalid_file << log;
        EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1) << log;
    }
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    EXPECT_EQ(endpoint_stub.next().header("X-Call-Id"), id);
    next_discovery_request("/v1/servers");
}

// An entry that was ignored for its unknown kind or zone arrives again only with the whole list.
TEST_F(ReloadTest, RequestsWholeListAfterKindsWereAdded) {
    HttpStub new_endpoint;
    node.start_ready();
    Json market = member("s-2", new_endpoint.address(), 8);
    market["flavor"] = "market";
    const Json known = list(5, true, {member("s-1", endpoint_stub.address(), 7), market});
    send_endpoint_list(next_discovery_request("/v1/servers"), known);
    const Exchange watch = next_discovery_request("/v1/servers?from=5");
    node.config()["settings"]["kinds"] = {"shop", "market"};
    node.reload(node.config().dump());
    const Exchange whole = next_discovery_request("/v1/servers");
    EXPECT_EQ(path_of(whole), "/v1/servers");
    send_endpoint_list(whole, known);
    next_discovery_request("/v1/servers?from=5");
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "safe", 30000, "B", 8), "+OK");
    EXPECT_EQ(new_endpoint.next().header("X-Call-Id"), id);
}

// A changed or removed class affects new messages only. Accepted messages keep the settings of their class,
// also across a restart.
TEST_F(ReloadTest, ChangedClassesAffectNewMessagesOnly) {
    node.config()["settings"]["limits"]["max_attempts"] = 6;
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    const Exchange first = endpoint_stub.next();
    auto& classes = node.config()["settings"]["classes"];
    classes[0]["name"] = "strict";
    classes[0]["effect"] = "fragile";
    node.reload(node.config().dump());
    ASSERT_TRUE(node.logs("configuration read anew"));
    EXPECT_EQ(enqueue(client, "00000000000000a1").substr(0, 4), "-ERR");  // class "safe" no longer exists
    EXPECT_EQ(enqueue(client, "00000000000000a2", "strict"), "+OK");
    const Exchange strict = endpoint_stub.next();
    EXPECT_EQ(strict.header("X-Call-Id"), "00000000000000a2");
    strict.close_connection();
    first.close_connection();
    EXPECT_EQ(
        notices(next_discovery_request("/reports"))[0]["ref"], "00000000000000a2");  // at-most-once: no retry
    EXPECT_EQ(endpoint_stub.next().header("X-Call-Id"), id);  // retryable: a second attempt

    node.kill();
    node.wait();
    node.start_ready();
    const Exchange again = endpoint_stub.next();
    EXPECT_EQ(again.header("X-Call-Id"), id);
    again.respond(200);
}

TEST_F(ReloadTest, LowerAttemptLimitAppliesToHeldMessages) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    endpoint_stub.next().respond(500);
    const Exchange second = endpoint_stub.next();
    node.config()["settings"]["limits"]["max_attempts"] = 2;
    node.reload(node.config().dump());
    ASSERT_TRUE(node.logs("configuration read anew"));
    second.respond(500);
    EXPECT_EQ(notices(next_discovery_request("/reports"))[0]["ref"], id);
    EXPECT_TRUE(endpoint_stub.none_within(300ms));
}

TEST_F(ReloadTest, HandlesManySignalsAlsoDuringDrain) {
    HttpStub new_agent;
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    const Exchange call = endpoint_stub.next();
    for (int i = 0; i < 20; ++i)
        node.reload(with_discovery(i % 2 == 0 ? new_agent.address() : discovery_stub.address()));
    node.terminate();
    for (int i = 0; i < 20; ++i)
        node.reload(with_discovery(i % 2 == 0 ? discovery_stub.address() : new_agent.address()));
    new_agent.next();
    call.respond(200);
    const int status = node.wait();
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
}

}  // namespace
}  // namespace lockgw
