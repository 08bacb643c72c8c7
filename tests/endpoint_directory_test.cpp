#include "net/endpoint_directory.hpp"

#include <gtest/gtest.h>

#include "net/list_reader.hpp"
#include "net/list_update.hpp"
#include "node_fixture.hpp"

namespace lockgw {
namespace {

using cometspoke::Condition;
using cometspoke::EndpointId;
using Gone = std::set<EndpointId>;
using namespace std::chrono_literals;

EndpointRecord record(
    const std::string& id, std::int64_t destination, Condition condition = Condition::Ready) {
    EndpointRecord record;
    record.id = id;
    record.destination = destination;
    record.condition = condition;
    return record;
}

class DirectoryTest : public ::testing::Test {
protected:
    Gone apply_full(std::vector<EndpointRecord> endpoints) {
        return directory.apply({1, true, std::move(endpoints)}, now);
    }
    Gone apply_delta(std::vector<EndpointRecord> endpoints) {
        return directory.apply({1, false, std::move(endpoints)}, now);
    }

    EndpointDirectory directory;
    EndpointDirectory::Clock::time_point now = EndpointDirectory::Clock::now();
};

// An outcome may still refer to the old id and must not count for another endpoint.
TEST_F(DirectoryTest, NeverReusesAnId) {
    apply_delta({record("a", 1)});
    const EndpointId first = *directory.find("a");
    EXPECT_EQ(apply_delta({record("a", 1, Condition::Removed)}), Gone{first});
    directory.forget(first);
    EXPECT_FALSE(directory.find("a"));
    EXPECT_EQ(directory.name_of(first), nullptr);
    apply_delta({record("b", 1), record("a", 1)});
    EXPECT_NE(*directory.find("a"), first);
    EXPECT_NE(*directory.find("b"), first);
}

TEST_F(DirectoryTest, KeepsAnEndpointThatIsListedAgain) {
    apply_delta({record("a", 1)});
    apply_delta({record("a", 1, Condition::Removed)});
    apply_delta({record("a", 1)});
    directory.forget(*directory.find("a"));
    EXPECT_TRUE(directory.find("a"));
}

TEST_F(DirectoryTest, ReturnsEndpointsThatAFullListOmits) {
    apply_full({record("a", 1), record("b", 2)});
    EXPECT_EQ(apply_full({record("b", 2)}), Gone{*directory.find("a")});
    EXPECT_EQ(apply_delta({}), Gone{});
    EXPECT_EQ(apply_delta({record("never", 3, Condition::Removed)}), Gone{});
    EXPECT_FALSE(directory.find("never"));
}

// A destination may have no endpoints while they are replaced. One that was never listed does not exist.
TEST_F(DirectoryTest, KeepsAnEmptyDestinationForAWhile) {
    EXPECT_TRUE(directory.empty());
    apply_delta({record("a", 1), record("b", 2, Condition::Draining)});
    EXPECT_FALSE(directory.empty());
    EXPECT_TRUE(directory.has_destination(1, now));
    EXPECT_TRUE(directory.has_destination(2, now));
    EXPECT_FALSE(directory.has_destination(-1, now));
    apply_delta({record("a", 2)});
    EXPECT_TRUE(directory.has_destination(1, now));
    EXPECT_FALSE(directory.has_destination(1, now + 24h));
    EXPECT_TRUE(directory.has_destination(2, now + 24h));
}

// Comparison with an arriving list finds unchanged entries and endpoints that the list does not name.
TEST_F(DirectoryTest, ComparesAListThatArrives) {
    apply_full({record("a", 1), record("b", 2), record("c", 3)});
    directory.begin_comparison();
    EXPECT_TRUE(directory.compare(record("a", 1)));
    EXPECT_FALSE(directory.compare(record("b", 2, Condition::Draining)));
    EXPECT_FALSE(directory.compare(record("new", 2)));
    EXPECT_TRUE(directory.compare(record("never", 2, Condition::Removed)));
    EXPECT_EQ(directory.size(), 3u);
    std::optional<EndpointId> from = 0;
    EXPECT_TRUE(directory.missing(from, 2).empty());
    ASSERT_TRUE(from);
    const auto gone = directory.missing(from, 2);
    ASSERT_EQ(gone.size(), 1u);
    EXPECT_EQ(gone[0].id, "c");
    EXPECT_EQ(gone[0].condition, Condition::Removed);
    EXPECT_FALSE(from);
}

// ---- a long list, entry by entry ----

ListLimits ample() { return {1'000'000, 1 << 30}; }

class ListReaderTest : public ::testing::Test {
protected:
    /// Feeds the text to a reader in pieces of the given number of bytes.
    ListReader::Head read(const std::string& text, std::size_t piece, ListLimits limits = ample()) {
        endpoints.clear();
        ListReader reader(
            limits, [this](EndpointRecord endpoint) { endpoints.push_back(std::move(endpoint)); });
        for (std::size_t at = 0; at < text.size(); at += piece) reader.feed(text.substr(at, piece));
        return reader.finish();
    }
    std::vector<EndpointRecord> endpoints;
};

// The result equals that of parsing the whole text, however the bytes are divided.
TEST_F(ListReaderTest, ReadsTheSameAsTheParserOfWholeTexts) {
    Json odd = member("s-\"[{,\\", "10.1.0.18:6379", 3);
    odd["notes"] = {{"list", {1, "]}", Json::object()}}};
    const Json told{
        {"members", {member("s-1", "10.1.0.17:6379", 1), odd, 5, "text, and ]", nullptr, Json::array(),
                        member("s-3", "nowhere", 4), member("s-4", "10.1.0.19:1", 4, "terminating")}},
        {"revision", 41}, {"complete", true}, {"extra", {{"members", {1, 2}}}}};
    for (const std::string& text : {told.dump(), told.dump(4)}) {
        const EndpointList expected = parse_endpoint_list(Json::parse(text), 100);
        for (const std::size_t piece : {std::size_t(1), std::size_t(7), text.size()}) {
            const ListReader::Head head = read(text, piece);
            EXPECT_EQ(head.revision, 41);
            EXPECT_TRUE(head.complete);
            ASSERT_EQ(endpoints.size(), expected.endpoints.size());
            for (std::size_t i = 0; i < endpoints.size(); ++i) {
                EXPECT_EQ(endpoints[i].id, expected.endpoints[i].id);
                EXPECT_EQ(endpoints[i].address, expected.endpoints[i].address);
                EXPECT_EQ(endpoints[i].destination, expected.endpoints[i].destination);
                EXPECT_EQ(endpoints[i].condition, expected.endpoints[i].condition);
            }
        }
    }
    EXPECT_FALSE(read(R"({"members":[],"complete":false,"revision":1})", 3).complete);
    EXPECT_TRUE(endpoints.empty());
}

TEST_F(ListReaderTest, RejectsATextThatIsTruncatedAnywhere) {
    const std::string whole =
        list(41, true, {member("s-1", "10.1.0.17:1", 1), member("s-2", "10.1.0.17:2", 2)}).dump();
    read(whole, 11);
    EXPECT_EQ(endpoints.size(), 2u);
    for (std::size_t cut = 0; cut < whole.size(); ++cut)
        EXPECT_ANY_THROW(read(whole.substr(0, cut), 11)) << cut;
}

TEST_F(ListReaderTest, RejectsMalformedText) {
    const std::string one = member("s-1", "10.1.0.17:1", 1).dump();
    const auto with = [](const std::string& members) {
        return R"({"revision":41,"complete":true,"members":[)" + members + "]}";
    };
    EXPECT_NO_THROW(read(with(one + " , " + one), 5));
    for (const std::string& members : {one + one, "," + one, one + ",", one + ",," + one, one + "]",
             one + ",{\"id\":}", one + ",{\"id\":\"\xff\"}", one + ",}", one + ",tru"})
        EXPECT_ANY_THROW(read(with(members), 5)) << members;
    EXPECT_ANY_THROW(read("[]", 5));
    EXPECT_ANY_THROW(read(R"({"revision":41,"complete":true})", 5));
    EXPECT_ANY_THROW(read(R"({"revision":41,"complete":true,"members":{}})", 5));
    EXPECT_ANY_THROW(read(R"({"complete":true,"members":[]})", 5));
    EXPECT_ANY_THROW(read(with(one) + "x", 5));
}

// Endless input must neither exhaust memory nor be read for ever.
TEST_F(ListReaderTest, RejectsEndlessText) {
    const std::string start = R"({"revision":41,"complete":true,"members":[)";
    const std::string one = member("s-1", "10.1.0.17:1", 1).dump() + ",";
    for (const std::string& rest :
        {one, std::string("{\"id\":\"") + "x", std::string(" "), std::string("["), std::string("1")}) {
        ListReader reader({1000, 1 << 20}, [](const EndpointRecord&) {});
        reader.feed(start);
        const std::string piece = rest == one ? one : std::string(1000, rest.back());
        const auto forever = [&] {
            if (rest.size() > 1 && rest != one) reader.feed(rest);
            for (int i = 0; i < 10'000; ++i) reader.feed(piece);
        };
        EXPECT_THROW(forever(), cometspoke::settings::InvalidInput) << rest;
        EXPECT_LE(reader.bytes(), (1u << 20) + 1000) << rest;
        EXPECT_LE(reader.entries(), 1001u);
    }
}

TEST(ListLimits, FollowFromMemoryAndDescriptors) {
    constexpr std::size_t mb = 1 << 20;
    EXPECT_GE(list_limits(256 * mb, 1024).entries, 310'000u);
    EXPECT_GE(list_limits(256 * mb, 1024).bytes, 310'000u * 300);  // indented
    EXPECT_LT(list_limits(64 * mb, 256).entries, 310'000u);
    EXPECT_LT(list_limits(256 * mb, 4096).entries, list_limits(256 * mb, 1024).entries);
    EXPECT_EQ(list_limits(mb, 1'000'000).entries, 20'000u);
}

// ---- the changes of a long list, in batches ----

class ListUpdateTest : public DirectoryTest {
protected:
    static std::string name(std::size_t number) { return "s-" + std::to_string(number); }
    static std::vector<EndpointRecord> many(std::size_t count) {
        std::vector<EndpointRecord> all;
        for (std::size_t i = 0; i < count; ++i) all.push_back(record(name(i), static_cast<int>(i)));
        return all;
    }
    /// Applies all batches to the directory and returns those that are not empty.
    std::vector<std::vector<EndpointRecord>> update(
        const std::vector<EndpointRecord>& arrived, bool complete = true) {
        ListUpdate update(directory);
        for (const EndpointRecord& one : arrived) update.take(one);
        update.finish(complete);
        std::vector<std::vector<EndpointRecord>> batches;
        while (const auto batch = update.next()) {
            EXPECT_LE(batch->endpoints.size(), ListUpdate::kMaxBatchEntries);
            EXPECT_FALSE(batch->complete);
            directory.apply(*batch, now);
            if (!batch->endpoints.empty()) batches.push_back(batch->endpoints);
        }
        return batches;
    }
};

TEST_F(ListUpdateTest, ReturnsAFirstListInBatches) {
    const auto batches = update(many(3000));
    EXPECT_GE(batches.size(), 3000 / ListUpdate::kMaxBatchEntries);
    EXPECT_EQ(directory.size(), 3000u);
    EXPECT_TRUE(directory.has_destination(2999, now));
}

TEST_F(ListUpdateTest, ReturnsNothingForARepeatedList) {
    update(many(3000));
    EXPECT_TRUE(update(many(3000)).empty());
    EXPECT_TRUE(update({}, false).empty());
    EXPECT_EQ(directory.size(), 3000u);
}

// Calls to a draining endpoint must end within 2 s: its entry must not wait behind hundreds of thousands of
// new endpoints.
TEST_F(ListUpdateTest, ReturnsDrainingAndRemovedEndpointsFirst) {
    update(many(3000));
    std::vector<EndpointRecord> next;
    for (std::size_t i = 2000; i < 6000; ++i) next.push_back(record(name(i), static_cast<int>(i)));
    next[999].condition = Condition::Draining;
    next.push_back(record(name(5999), 5999, Condition::Draining));  // the later entry holds
    std::vector<Condition> order;
    for (const auto& batch : update(next))
        for (const EndpointRecord& one : batch) order.push_back(one.condition);
    ASSERT_EQ(order.size(), 2u + 2000u + 2999u);
    EXPECT_EQ(std::count(order.begin(), order.begin() + 2, Condition::Draining), 2);
    EXPECT_EQ(std::count(order.begin() + 2, order.begin() + 2002, Condition::Removed), 2000);
    EXPECT_EQ(std::count(order.begin() + 2002, order.end(), Condition::Ready), 2999);
    EXPECT_EQ(directory.size(), 4000u);
    EXPECT_FALSE(directory.record_of(name(0)));
    EXPECT_EQ(directory.record_of(name(5999))->condition, Condition::Draining);
}

TEST_F(ListUpdateTest, ADroppedUpdateChangesNothing) {
    apply_full(many(10));
    {
        ListUpdate dropped(directory);
        dropped.take(record(name(1), 1, Condition::Draining));
        dropped.take(record("new", 5));
    }
    EXPECT_EQ(directory.size(), 10u);
    EXPECT_FALSE(directory.find("new"));
    EXPECT_EQ(directory.record_of(name(1))->condition, Condition::Ready);
    EXPECT_TRUE(update(many(10)).empty());
}

// ---- a forwarder that receives a long list ----

// A list with as many endpoints as the largest fleet has destinations. Only a few are real; the others get no
// message.
class HugeList : public NodeTest {
protected:
    // Above former limits (20,000 entries read, 100,000 held) and above the 20,000 endpoints that a handover
    // names. Sanitizer builds, which read the list ten times as slowly, use a smaller one.
#ifdef __SANITIZE_ADDRESS__
    static constexpr int kEndpoints = 30'000;
#else
    static constexpr int kEndpoints = 310'000;
#endif

    HugeList() {
        node.config()["limits"]["memory_mb"] = 256;
        node.config()["known"] = list(1, true, {member("s-1", endpoint_stub.address(), 7)});
    }
    /// A list of many endpoints and s-1 of destination 7, which has the given phase.
    std::string huge_list(int revision, const char* phase = "in_service", int most = kEndpoints) {
        std::string text = "{\"revision\":" + std::to_string(revision) + ",\"complete\":true,\"members\":[";
        for (int i = 0; i < most; ++i)
            text += R"({"id":"t-)" + std::to_string(i) +
                    R"(","host_port":"127.0.0.1:9","locality":"a","flavor":"shop","cell":)" +
                    std::to_string(1000 + i) + R"(,"phase":"in_service","size":1.0,"up_since_ms":0},)";
        return text + member("s-1", endpoint_stub.address(), 7, phase).dump() + "]}";
    }
    static void send_list_text(const Exchange& watch, const std::string& body) {
        watch.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    void expect_delivered(const std::string& one) {
        Client client = node.client();
        ASSERT_EQ(enqueue(client, one), "+OK");
        const Exchange call = endpoint_stub.next();
        EXPECT_EQ(call.header("X-Call-Id"), one);
        call.respond(200);
    }
    std::size_t lines_with(const std::string& text) const {
        const std::string log = node.log();
        std::size_t count = 0;
        for (std::size_t at = log.find(text); at != std::string::npos; at = log.find(text, at + 1)) ++count;
        return count;
    }
};

TEST_F(HugeList, IsTakenWhole) {
    node.start_ready();
    send_list_text(next_discovery_request("/v1/servers?from=1"), huge_list(2));
    const Exchange watch = next_discovery_request("/v1/servers?from=2");
    EXPECT_EQ(lines_with("discovery:"), 0u) << node.log();
    Client client = node.client();
    EXPECT_EQ(enqueue(client, "00000000000000b1", "safe", 30000, "B", 1000 + kEndpoints - 1), "+OK");
    EXPECT_EQ(enqueue(client, "00000000000000b2", "safe", 30000, "B", 1000 + kEndpoints),
        "-ERR unknown destination");
    expect_delivered(id);
}

TEST_F(HugeList, EndsWhatItLeavesOutAndASmallOneEndsItsOwn) {
    node.start_ready();
    constexpr int few = 5000;
    send_list_text(next_discovery_request("/v1/servers?from=1"), huge_list(2, "terminating", few));
    const Exchange watch = next_discovery_request("/v1/servers?from=2");
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    EXPECT_TRUE(endpoint_stub.none_within(200ms));  // its endpoint drains
    send_endpoint_list(watch, list(3, true, {member("s-2", endpoint_stub.address(), 7)}));
    EXPECT_EQ(endpoint_stub.next().header("X-Call-Id"), id);
    const Exchange next = next_discovery_request("/v1/servers?from=3");
    EXPECT_EQ(lines_with("discovery:"), 0u) << node.log();
}

// A list that is truncated, malformed in the middle or without an end is rejected as a whole with one log
// line, and the list in force stays.
TEST_F(HugeList, ATruncatedOrMalformedListChangesNothing) {
    node.start_ready();
    constexpr int few = 5000;
    const std::string whole = huge_list(2, "terminating", few);
    const Exchange cut = next_discovery_request("/v1/servers?from=1");
    cut.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(whole.size()) + "\r\n\r\n" +
              whole.substr(0, whole.size() / 2));
    cut.close_connection();
    std::string malformed = whole;
    malformed[malformed.size() / 2] = '\x01';
    send_list_text(next_discovery_request("/v1/servers?from=1"), malformed);
    send_list_text(next_discovery_request("/v1/servers?from=1"), whole.substr(0, whole.size() - 1));
    const Exchange next = next_discovery_request("/v1/servers?from=1");
    EXPECT_EQ(lines_with("discovery: a list refused after"), 2u) << node.log();
    EXPECT_EQ(lines_with("discovery: an unreadable list"), 1u) << node.log();
    EXPECT_EQ(lines_with("discovery:"), 3u) << node.log();
    expect_delivered(id);
}

// Memory is allocated only for bytes that arrive, whatever length the header states, and requests go on.
TEST_F(HugeList, AnAnnouncedLengthAllocatesNoMemory) {
    node.start_ready();
    const Exchange watch = next_discovery_request("/v1/servers?from=1");
    watch.write("HTTP/1.1 200 OK\r\nContent-Length: 4611686018427387904\r\n\r\n{\"revision\"");
    watch.close_connection();
    send_endpoint_list(next_discovery_request("/v1/servers?from=1"), list(2, false, {}));
    next_discovery_request("/v1/servers?from=2");
}

TEST_F(HugeList, AnEndlessListIsRejected) {
    node.config()["limits"]["memory_mb"] = 32;
    node.start_ready();
    const Exchange watch = next_discovery_request("/v1/servers?from=1");
    watch.write("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n{\"members\":[");
    const std::string piece(1 << 20, ' ');
    for (int i = 0; i < 64; ++i) watch.write(piece);
    EXPECT_TRUE(node.logs("the last one stays: more than")) << node.log();
    send_endpoint_list(next_discovery_request("/v1/servers?from=1"), list(2, false, {}));
    next_discovery_request("/v1/servers?from=2");
    expect_delivered(id);
}

// The agent is replaced while its long list is still being applied.
TEST_F(HugeList, AChangeOfAgentsDuringAnUpdateAsksTheNewAgent) {
    HttpStub other;
    node.start_ready();
    send_list_text(next_discovery_request("/v1/servers?from=1"), huge_list(2));
    Json moved = node.config();
    moved["discovery"] = other.address();
    node.reload(moved.dump());
    const Exchange first = other.next();
    EXPECT_EQ(first.request.target(), "/v1/servers");
    send_endpoint_list(first, list(9, true, {member("s-1", endpoint_stub.address(), 7)}));
    EXPECT_TRUE(std::string(other.next().request.target()).starts_with("/v1/servers?from=9&"));
    expect_delivered(id);
}

// A list of this size is not part of the handover: the new process requests it from the agent, and until the
// response arrives an unknown destination may exist.
class HugeHandover : public HugeList {
protected:
    static bool becomes_ready(const Tcp::endpoint& management) {
        const auto until = Clock::now() + kDeadline;
        while (operate(management, "GET", "/ready") != 200)
            if (Clock::now() > until) return false;
        return true;
    }
    /// The next request to the agent that is not a watch. The old process repeats its unanswered watch while
    /// the new process starts.
    Exchange next_request_except_watches() {
        const auto until = Clock::now() + kDeadline;
        while (true) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now());
            Exchange exchange = discovery_stub.next(std::max(left, 0ms));
            if (!std::string(exchange.request.target()).starts_with("/v1/servers?from=")) return exchange;
        }
    }
};
TEST_F(HugeHandover, TheNewOneTakesOverAndAsksForTheList) {
    const Tcp::endpoint before = Node::other_address(), after = Node::other_address();
    node.open_inherited_listener();
    node.config()["management"] = text_of(before);
    node.start_ready();
    send_list_text(next_discovery_request("/v1/servers?from=1"), huge_list(2));
    next_discovery_request("/v1/servers?from=2");
    node.start_successor(after);
    ASSERT_TRUE(becomes_ready(after)) << node.log();
    const Exchange first = next_request_except_watches();
    EXPECT_EQ(first.request.target(), "/v1/servers");
    Client client = node.client();
    EXPECT_TRUE(
        enqueue(client, "00000000000000b1", "safe", 30000, "B", 1000 + kEndpoints - 1).starts_with("-BUSY"));
    send_list_text(first, huge_list(2));
    const Exchange watch = next_discovery_request("/v1/servers?from=2");
    EXPECT_EQ(enqueue(client, "00000000000000b2", "safe", 30000, "B", 1000 + kEndpoints - 1), "+OK");
    expect_delivered(id);
}

}  // namespace
}  // namespace lockgw
