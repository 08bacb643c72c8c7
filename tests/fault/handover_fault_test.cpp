// The handover to a new process while system calls fail temporarily.
#include "false_claim.hpp"
#include "fault_fixture.hpp"

namespace lockgw {
namespace {

class HandoverFaultTest : public FaultNodeTest {
protected:
    HandoverFaultTest() : old_address(node.other_address()), new_address(node.other_address()) {
        node.open_inherited_listener();
        node.config()["management"] = text_of(old_address);
    }

    static constexpr std::int64_t kAllCalls = 1'000'000;  // at least as many calls as a test makes

    static constexpr std::size_t kMaxJournalBytes = 3 << 20;

    Tcp::endpoint old_address, new_address;
};

// Guards against a process that can never be replaced because it could not listen on its local socket at its
// start.
TEST_F(HandoverFaultTest, ListeningOnTheLocalSocketIsRetried) {
    faults.arm(0, {fault::Call::Listen, EADDRINUSE, 1});  // the first call listens on the operators' address
    node.start_ready();
    ASSERT_EQ(faults.hits(0), 1);
    node.start_successor(new_address);
    EXPECT_TRUE(wait_until_ready(new_address)) << node.log();
}

// Guards against a new process that exits, or starts without messages, if the journal cannot be opened
// temporarily.
TEST_F(HandoverFaultTest, OpeningTheJournalIsRetriedAfterTheOldProcessReleasedIt) {
    node.config()["settings"]["family_info"]["slots"] = 1;
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    const Exchange call = endpoint_stub.next();
    constexpr int opens_of_one_start = 4;  // configuration, folder, lock; the boot id is not counted
    faults.arm(0, {fault::Call::Open, ENFILE, opens_of_one_start - 1, 30});
    node.start_successor(new_address);
    EXPECT_TRUE(wait_until_ready(new_address)) << node.log();
    EXPECT_GT(faults.hits(0), 0);
    call.respond(200);
    EXPECT_TRUE(endpoint_stub.none_within(300ms));
}

// Guards against a notice that is never sent: the end of the message could not be recorded, and then another
// process claimed the folder and sent nothing more.
TEST_F(HandoverFaultTest, AnUnrecordedEndIsNotifiedAfterAnOfferIsWithdrawn) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    const Exchange call = endpoint_stub.next();
    faults.arm(0, {fault::Call::Write, ENOSPC, 0, kAllCalls});
    call.respond(500);  // the message may have run, so it ends at once
    ASSERT_TRUE(node.logs("cannot be written"));
    FalseClaim claimant(node.state());
    claimant.send({{"step", "claim"}});
    ASSERT_EQ(claimant.receive()["step"], "offer");
    faults.arm(0, {});
    // the offer is withdrawn without a further step
    EXPECT_EQ(first_notice(), (Json{{"ref", id}, {"result", "dead"}}));
}

// Guards against a new process that sends a message again that the old process delivered but could not
// record.
TEST_F(HandoverFaultTest, AnUnrecordedDeliveryIsRecordedBeforeTheNewProcessTakesOver) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    const Exchange call = endpoint_stub.next();
    faults.arm(0, {fault::Call::Write, ENOSPC, 0, kAllCalls});
    call.respond(200);
    ASSERT_TRUE(node.logs("cannot be written"));
    FalseClaim claimant(node.state());
    claimant.send({{"step", "claim"}});
    ASSERT_EQ(claimant.receive()["step"], "offer");
    faults.arm(0, {});
    claimant.send({{"step", "ready"}});
    ASSERT_EQ(claimant.receive()["step"], "go");
    EXPECT_TRUE(Journal(node.state(), kMaxJournalBytes).entries().empty());
}

}  // namespace
}  // namespace lockgw
