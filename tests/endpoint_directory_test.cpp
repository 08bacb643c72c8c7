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

EndpointRecord target(
    const std::string& id, std::int64_t destination, Condition condition = Condition::Ready) {
    EndpointRecord target;
    target.id = id;
    target.destination = destination;
    target.condition = condition;
    return target;
}

class DirectoryTest : public ::testing::Test {
protected:
    Gone whole(std::vector<EndpointRecord> targets) {
        return directory.apply({1, true, std::move(targets)}, now);
    }
    Gone changes(std::vector<EndpointRecord> targets) {
        return directory.apply({1, false, std::move(targets)}, now);
    }

    EndpointDirectory directory;
    EndpointDirectory::Clock::time_point now = EndpointDirectory::Clock::now();
};

// An outcome may still name the old number: it must not count for another target.
TEST_F(DirectoryTest, NeverUsesANumberTwice) {
    changes({target("a", 1)});
    const EndpointId first = *directory.find("a");
    EXPECT_EQ(changes({target("a", 1, Condition::Removed)}), Gone{first});
    directory.forget(first);
    EXPECT_FALSE(directory.find("a"));
    EXPECT_EQ(directory.name_of(first), nullptr);
    changes({target("b", 1), target("a", 1)});
    EXPECT_NE(*directory.find("a"), first);
    EXPECT_NE(*directory.find("b"), first);
}

TEST_F(DirectoryTest, ForgetsNoneThatIsListedAgain) {
    changes({target("a", 1)});
    changes({target("a", 1, Condition::Removed)});
    changes({target("a", 1)});
    directory.forget(*directory.find("a"));
    EXPECT_TRUE(directory.find("a"));
}

TEST_F(DirectoryTest, TellsWhatAWholeListLeavesOut) {
    whole({target("a", 1), target("b", 2)});
    EXPECT_EQ(whole({target("b", 2)}), Gone{*directory.find("a")});
    EXPECT_EQ(changes({}), Gone{});
    EXPECT_EQ(changes({target("never", 3, Condition::Removed)}), Gone{});
    EXPECT_FALSE(directory.find("never"));
}

// While its targets are replaced a destination may have none; one that was never listed does not exist.
TEST_F(DirectoryTest, KnowsADestinationForAWhile) {
    EXPECT_TRUE(directory.empty());
    changes({target("a", 1), target("b", 2, Condition::Draining)});
    EXPECT_FALSE(directory.empty());
    EXPECT_TRUE(directory.has_destination(1, now));
    EXPECT_TRUE(directory.has_destination(2, now));
    EXPECT_FALSE(directory.has_destination(-1, now));
    changes({target("a", 2)});
    EXPECT_TRUE(directory.has_destination(1, now));
    EXPECT_FALSE(directory.has_destination(1, now + 24h));
    EXPECT_TRUE(directory.has_destination(2, now + 24h));
}

// What is compared while a list arrives: an entry that says nothing new, and what it has not named.
TEST_F(DirectoryTest, ComparesAListThatArrives) {
    whole({target("a", 1), target("b", 2), target("c", 3)});
    directory.begin_comparison();
    EXPECT_TRUE(directory.compare(target("a", 1)));
    EXPECT_FALSE(directory.compare(target("b", 2, Condition::Draining)));
    EXPECT_FALSE(directory.compare(target("new", 2)));
    EXPECT_TRUE(directory.compare(target("never", 2, Condition::Removed)));
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
    /// In pieces of so many bytes.
    ListReader::Head read(const std::string& text, std::size_t piece, ListLimits limits = ample()) {
        targets.clear();
        ListReader reader(limits, [this](EndpointRecord target) { targets.push_back(std::move(target)); });
        for (std::size_t at = 0; at < text.size(); at += piece) reader.feed(text.substr(at, piece));
        return reader.finish();
    }
    std::vector<EndpointRecord> targets;
};

// However the bytes come, it says what the same text says as one value.
TEST_F(ListReaderTest, ReadsWhatIsReadAtOnce) {
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
            ASSERT_EQ(targets.size(), expected.endpoints.size());
            for (std::size_t i = 0; i < targets.size(); ++i) {
                EXPECT_EQ(targets[i].id, expected.endpoints[i].id);
                EXPECT_EQ(targets[i].address, expected.endpoints[i].address);
                EXPECT_EQ(targets[i].destination, expected.endpoints[i].destination);
                EXPECT_EQ(targets[i].condition, expected.endpoints[i].condition);
            }
        }
    }
    EXPECT_FALSE(read(R"({"members":[],"complete":false,"revision":1})", 3).complete);
    EXPECT_TRUE(targets.empty());
}

TEST_F(ListReaderTest, RefusesATextThatIsCutAnywhere) {
    const std::string whole =
        list(41, true, {member("s-1", "10.1.0.17:1", 1), member("s-2", "10.1.0.17:2", 2)}).dump();
    read(whole, 11);
    EXPECT_EQ(targets.size(), 2u);
    for (std::size_t cut = 0; cut < whole.size(); ++cut)
        EXPECT_ANY_THROW(read(whole.substr(0, cut), 11)) << cut;
}

TEST_F(ListReaderTest, RefusesWhatIsSpoilt) {
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

// None of them may hold memory, or go on for ever.
TEST_F(ListReaderTest, RefusesWhatNeverEnds) {
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

// ---- what it changes, in slices ----

class ListUpdateTest : public DirectoryTest {
protected:
    static std::string name(std::size_t number) { return "s-" + std::to_string(number); }
    static std::vector<EndpointRecord> many(std::size_t count) {
        std::vector<EndpointRecord> all;
        for (std::size_t i = 0; i < count; ++i) all.push_back(target(name(i), static_cast<int>(i)));
        return all;
    }
    /// All slices, each told to the directory.
    std::vector<std::vector<EndpointRecord>> update(
        const std::vector<EndpointRecord>& arrived, bool complete = true) {
        ListUpdate update(directory);
        for (const EndpointRecord& one : arrived) update.take(one);
        update.finish(complete);
        std::vector<std::vector<EndpointRecord>> slices;
        while (const auto slice = update.next()) {
            EXPECT_LE(slice->endpoints.size(), ListUpdate::kMaxBatchEntries);
            EXPECT_FALSE(slice->complete);
            directory.apply(*slice, now);
            if (!slice->endpoints.empty()) slices.push_back(slice->endpoints);
        }
        return slices;
    }
};

TEST_F(ListUpdateTest, TellsAFirstListInSlices) {
    const auto slices = update(many(3000));
    EXPECT_GE(slices.size(), 3000 / ListUpdate::kMaxBatchEntries);
    EXPECT_EQ(directory.size(), 3000u);
    EXPECT_TRUE(directory.has_destination(2999, now));
}

TEST_F(ListUpdateTest, TellsNothingOfARepeatedList) {
    update(many(3000));
    EXPECT_TRUE(update(many(3000)).empty());
    EXPECT_TRUE(update({}, false).empty());
    EXPECT_EQ(directory.size(), 3000u);
}

// A drain has 2 s from the telling: it must not wait behind hundreds of thousands of new targets.
TEST_F(ListUpdateTest, TellsDrainsAndWhatHasGoneFirst) {
    update(many(3000));
    std::vector<EndpointRecord> next;
    for (std::size_t i = 2000; i < 6000; ++i) next.push_back(target(name(i), static_cast<int>(i)));
    next[999].condition = Condition::Draining;
    next.push_back(target(name(5999), 5999, Condition::Draining));  // the later entry holds
    std::vector<Condition> order;
    for (const auto& slice : update(next))
        for (const EndpointRecord& one : slice) order.push_back(one.condition);
    ASSERT_EQ(order.size(), 2u + 2000u + 2999u);
    EXPECT_EQ(std::count(order.begin(), order.begin() + 2, Condition::Draining), 2);
    EXPECT_EQ(std::count(order.begin() + 2, order.begin() + 2002, Condition::Removed), 2000);
    EXPECT_EQ(std::count(order.begin() + 2002, order.end(), Condition::Ready), 2999);
    EXPECT_EQ(directory.size(), 4000u);
    EXPECT_FALSE(directory.record_of(name(0)));
    EXPECT_EQ(directory.record_of(name(5999))->condition, Condition::Draining);
}

TEST_F(ListUpdateTest, OneThatIsDroppedChangesNothing) {
    whole(many(10));
    {
        ListUpdate dropped(directory);
        dropped.take(target(name(1), 1, Condition::Draining));
        dropped.take(target("new", 5));
    }
    EXPECT_EQ(directory.size(), 10u);
    EXPECT_FALSE(directory.find("new"));
    EXPECT_EQ(directory.record_of(name(1))->condition, Condition::Ready);
    EXPECT_TRUE(update(many(10)).empty());
}

// ---- a forwarder that is told one ----

// Of as many targets as the largest fleet has destinations. Only a few are real: the others get no message.
class HugeList : public NodeTest {
protected:
    // Above the limits there once were (20,000 entries read, 100,000 held) and above the 20,000 that are
    // handed over by name; the whole size of the capacity page only where reading it is not slowed tenfold.
#ifdef __SANITIZE_ADDRESS__
    static constexpr int kTargets = 30'000;
#else
    static constexpr int kTargets = 310'000;
#endif

    HugeList() {
        node.config()["limits"]["memory_mb"] = 256;
        node.config()["known"] = list(1, true, {member("s-1", target.address(), 7)});
    }
    /// s-1 of destination 7 among many; `phase` is its own.
    std::string huge(int revision, const char* phase = "in_service", int most = kTargets) {
        std::string text = "{\"revision\":" + std::to_string(revision) + ",\"complete\":true,\"members\":[";
        for (int i = 0; i < most; ++i)
            text += R"({"id":"t-)" + std::to_string(i) +
                    R"(","host_port":"127.0.0.1:9","locality":"a","flavor":"shop","cell":)" +
                    std::to_string(1000 + i) + R"(,"phase":"in_service","size":1.0,"up_since_ms":0},)";
        return text + member("s-1", target.address(), 7, phase).dump() + "]}";
    }
    static void tell_text(const Exchange& watch, const std::string& body) {
        watch.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    void expect_delivered(const std::string& one) {
        Client client = node.client();
        ASSERT_EQ(enqueue(client, one), "+OK");
        const Exchange call = target.next();
        EXPECT_EQ(call.header("X-Call-Id"), one);
        call.answer(200);
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
    tell_text(agent_request("/v1/servers?from=1"), huge(2));
    const Exchange watch = agent_request("/v1/servers?from=2");
    EXPECT_EQ(lines_with("discovery:"), 0u) << node.log();
    Client client = node.client();
    EXPECT_EQ(enqueue(client, "00000000000000b1", "safe", 30000, "B", 1000 + kTargets - 1), "+OK");
    EXPECT_EQ(
        enqueue(client, "00000000000000b2", "safe", 30000, "B", 1000 + kTargets), "-ERR unknown destination");
    expect_delivered(id);
}

TEST_F(HugeList, EndsWhatItLeavesOutAndASmallOneEndsItsOwn) {
    node.start_ready();
    constexpr int few = 5000;
    tell_text(agent_request("/v1/servers?from=1"), huge(2, "terminating", few));
    const Exchange watch = agent_request("/v1/servers?from=2");
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    EXPECT_TRUE(target.none_within(200ms));  // its target drains
    tell(watch, list(3, true, {member("s-2", target.address(), 7)}));
    EXPECT_EQ(target.next().header("X-Call-Id"), id);
    const Exchange next = agent_request("/v1/servers?from=3");
    EXPECT_EQ(lines_with("discovery:"), 0u) << node.log();
}

// Cut off, spoilt in the middle, or without an end: refused as a whole with one line, the list in force
// stays.
TEST_F(HugeList, OneThatIsCutOrSpoiltChangesNothing) {
    node.start_ready();
    constexpr int few = 5000;
    const std::string whole = huge(2, "terminating", few);
    const Exchange cut = agent_request("/v1/servers?from=1");
    cut.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(whole.size()) + "\r\n\r\n" +
              whole.substr(0, whole.size() / 2));
    cut.hang_up();
    std::string spoilt = whole;
    spoilt[spoilt.size() / 2] = '\x01';
    tell_text(agent_request("/v1/servers?from=1"), spoilt);
    tell_text(agent_request("/v1/servers?from=1"), whole.substr(0, whole.size() - 1));
    const Exchange next = agent_request("/v1/servers?from=1");
    EXPECT_EQ(lines_with("discovery: a list refused after"), 2u) << node.log();
    EXPECT_EQ(lines_with("discovery: an unreadable list"), 1u) << node.log();
    EXPECT_EQ(lines_with("discovery:"), 3u) << node.log();
    expect_delivered(id);
}

// Whatever length its header tells, it takes no memory before it comes, and asking goes on.
TEST_F(HugeList, AToldLengthTakesNoMemory) {
    node.start_ready();
    const Exchange watch = agent_request("/v1/servers?from=1");
    watch.write("HTTP/1.1 200 OK\r\nContent-Length: 4611686018427387904\r\n\r\n{\"revision\"");
    watch.hang_up();
    tell(agent_request("/v1/servers?from=1"), list(2, false, {}));
    agent_request("/v1/servers?from=2");
}

TEST_F(HugeList, OneWithoutAnEndIsRefused) {
    node.config()["limits"]["memory_mb"] = 32;
    node.start_ready();
    const Exchange watch = agent_request("/v1/servers?from=1");
    watch.write("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n{\"members\":[");
    const std::string piece(1 << 20, ' ');
    for (int i = 0; i < 64; ++i) watch.write(piece);
    EXPECT_TRUE(node.logs("the last one stays: more than")) << node.log();
    tell(agent_request("/v1/servers?from=1"), list(2, false, {}));
    agent_request("/v1/servers?from=2");
    expect_delivered(id);
}

// Another agent takes the place of the one whose long list is still being told.
TEST_F(HugeList, AMoveMeanwhileAsksTheNewAgent) {
    HttpStub other;
    node.start_ready();
    tell_text(agent_request("/v1/servers?from=1"), huge(2));
    Json moved = node.config();
    moved["discovery"] = other.address();
    node.reload(moved.dump());
    const Exchange first = other.next();
    EXPECT_EQ(first.request.target(), "/v1/servers");
    tell(first, list(9, true, {member("s-1", target.address(), 7)}));
    EXPECT_TRUE(std::string(other.next().request.target()).starts_with("/v1/servers?from=9&"));
    expect_delivered(id);
}

// So many are not handed over by name: the process that takes over asks the agent, and until it has answered
// a destination that is not known here may exist.
class HugeHandover : public HugeList {
protected:
    static bool says_yes(const Tcp::endpoint& management) {
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
            Exchange exchange = agent.next(std::max(left, 0ms));
            if (!std::string(exchange.request.target()).starts_with("/v1/servers?from=")) return exchange;
        }
    }
};
TEST_F(HugeHandover, TheNewOneTakesOverAndAsksForTheList) {
    const Tcp::endpoint before = Node::other_address(), after = Node::other_address();
    node.hold_listener();
    node.config()["management"] = text_of(before);
    node.start_ready();
    tell_text(agent_request("/v1/servers?from=1"), huge(2));
    agent_request("/v1/servers?from=2");
    node.start_beside(after);
    ASSERT_TRUE(says_yes(after)) << node.log();
    const Exchange first = next_request_except_watches();
    EXPECT_EQ(first.request.target(), "/v1/servers");
    Client client = node.client();
    EXPECT_TRUE(
        enqueue(client, "00000000000000b1", "safe", 30000, "B", 1000 + kTargets - 1).starts_with("-BUSY"));
    tell_text(first, huge(2));
    const Exchange watch = agent_request("/v1/servers?from=2");
    EXPECT_EQ(enqueue(client, "00000000000000b2", "safe", 30000, "B", 1000 + kTargets - 1), "+OK");
    expect_delivered(id);
}

}  // namespace
}  // namespace lockgw
