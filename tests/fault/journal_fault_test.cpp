// The records of accepted and of ended messages while disk operations fail temporarily.
#include "fault_fixture.hpp"

namespace lockgw {
namespace {

class JournalFaultTest : public FaultNodeTest {
protected:
    static constexpr std::int64_t kAllCalls = 1'000'000;  // at least as many calls as a test makes
};

// Guards against a message that is sent again after its delivery: the delivery could not be recorded because
// the disk was full, and it was still not recorded when the process was killed, long after the disk had space
// again, because nothing else had happened meanwhile.
TEST_F(JournalFaultTest, ADeliveryIsRecordedSoonAfterTheDiskHasSpaceAgain) {
    constexpr std::int64_t failures = 6;
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    const Exchange call = endpoint_stub.next();
    faults.arm(0, {fault::Call::Write, ENOSPC, 0, failures});
    call.respond(200);
    const auto recorded = [&] { return faults->rules[0].seen > failures; };
    EXPECT_TRUE(FaultNodeTest::wait_until(recorded)) << "no further write";
    node.kill();
    node.wait();
    node.start_ready();
    EXPECT_TRUE(endpoint_stub.none_within(300ms));
}

// The same, with a process that ends after SIGTERM.
TEST_F(JournalFaultTest, TerminationWaitsForTheRecordOfADelivery) {
    constexpr std::int64_t failures = 40;  // the retries take some hundred milliseconds
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    const Exchange call = endpoint_stub.next();
    node.terminate();
    faults.arm(0, {fault::Call::Write, ENOSPC, 0, failures});
    call.respond(200);
    EXPECT_EQ(node.wait(), 0);
    EXPECT_EQ(faults.hits(0), failures);
    node.start_ready();
    EXPECT_TRUE(endpoint_stub.none_within(300ms));
}

// Guards against a journal that is set aside although it is readable: the folder could not be written for a
// long time, and only then the journal could not be read temporarily.
TEST_F(JournalFaultTest, AnUnwritableFolderDoesNotCountAsAnUnreadableJournal) {
    constexpr auto longer_than_the_retries = 5200ms;
    constexpr std::int64_t more_opens_than_one_start = 25;
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    endpoint_stub.next();
    node.kill();
    node.wait();
    faults.arm(0, {fault::Call::Rename, EIO, 0, kAllCalls});
    faults.arm(1, {fault::Call::Truncate, EIO, 0, kAllCalls});
    const auto retries_over_at = Clock::now() + longer_than_the_retries;
    node.start();
    ASSERT_TRUE(wait_until([&] { return Clock::now() > retries_over_at; }));
    faults.arm(2, {fault::Call::Open, EIO, 0, more_opens_than_one_start});
    ASSERT_TRUE(wait_until([&] { return faults.hits(2) > 0; }));
    faults.arm(0, {});
    faults.arm(1, {});
    EXPECT_EQ(endpoint_stub.next().header("X-Call-Id"), id) << node.log();
}

}  // namespace
}  // namespace lockgw
