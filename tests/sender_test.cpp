#include <algorithm>
#include <map>
#include <stdexcept>

#include "helpers.hpp"

namespace cometspoke::testing {
namespace {

using Ids = std::vector<MessageId>;

// ---- disabled endpoints ----

TEST(AdministrativeDisable, AppliesWhateverTheListSaysBeforeOrAfter) {
    Rig rig;
    rig.sender.observe(AdminDisableEvent{0, true}, rig.now);  // disabled before any list names it
    rig.list(0, 1);
    rig.arrive(1, 1);
    EXPECT_TRUE(rig.pass(ms(500)).empty());
    rig.list(0, 1, 0, 0.0, Condition::Removed);
    rig.list(0, 1);
    EXPECT_TRUE(rig.pass(ms(500)).empty());
    rig.sender.observe(AdminDisableEvent{0, true}, rig.now);
    // one event enables it, however often it was disabled
    rig.sender.observe(AdminDisableEvent{0, false}, rig.now);
    EXPECT_EQ(rig.pass(ms(1000)).size(), 1u);
}

// The endpoint may have restarted while it was disabled, so the waiting messages must not be sent all at
// once.
TEST(AdministrativeDisable, EndsInASlowStart) {
    const auto sent_within = [](bool disabled) {
        Rig rig;
        rig.list(0, 1);
        if (disabled) rig.sender.observe(AdminDisableEvent{0, true}, rig.now);
        for (MessageId id = 1; id <= 30; ++id) rig.arrive(id, 1);
        if (disabled) rig.sender.observe(AdminDisableEvent{0, false}, rig.now);
        std::size_t count = 0;
        for (int i = 0; i < 50; ++i) {
            const auto sends = rig.sends();
            count += sends.size();
            rig.now += ms(20);
            for (const Send& send : sends) rig.outcome(send, Outcome::Delivered, 0, Time(0), ms(20));
        }
        return count;
    };
    EXPECT_GE(sent_within(false), 29u);
    EXPECT_LE(sent_within(true), 15u);
}

// ---- a Sender that replaces another ----

// Returns a new Sender that has the same endpoint, holds the given messages and has observed the learned
// state of `before`.
Rig make_successor(Rig& before, Settings settings, const std::vector<MessageId>& held) {
    Rig after(std::move(settings));
    after.now = before.now;
    after.list(0, 1);
    for (const MessageId id : held) after.arrive(id, 1);
    for (const LearnedState& state : before.sender.learned_state(before.now))
        after.sender.observe(state, after.now);
    return after;
}

TEST(Successor, ObservesTheRetryAfterOfItsPredecessor) {
    Rig before;
    before.list(0, 1);
    before.arrive(1, 1);
    const auto sends = before.sends();
    ASSERT_EQ(sends.size(), 1u);
    before.outcome(sends[0], Outcome::Rejected, 0, ms(1500));
    before.decide();
    Rig after = make_successor(before, make_settings(), {1});
    EXPECT_TRUE(after.pass(ms(1490)).empty());
    EXPECT_EQ(after.pass(ms(1000)).size(), 1u);
}

TEST(Successor, KnowsOfAnOutage) {
    Rig before;
    before.list(0, 1);
    for (int i = 0; i < 6; ++i) {
        before.arrive(100 + i, 1);
        for (const Send& send : before.sends()) before.outcome(send, Outcome::ServerError);
        before.now += ms(200);
    }
    std::vector<MessageId> held;
    for (MessageId id = 1; id <= 20; ++id) held.push_back(id);
    Rig after = make_successor(before, make_settings(), held);
    EXPECT_LE(after.sends().size(), 1u);  // one probe at most
    Rig unaware;
    unaware.list(0, 1);
    for (const MessageId id : held) unaware.arrive(id, 1);
    EXPECT_GT(unaware.sends().size(), 1u);
}

// The call is on a connection of another process: it counts against max_calls here, and no second attempt of
// its message starts while it is in flight.
TEST(Successor, CountsAnInheritedCall) {
    Settings settings = make_settings();
    settings.max_calls = 1;
    Rig rig(settings);
    rig.list(0, 1);
    MessageEvent inherited{1, 1, kRetryable, std::nullopt, std::nullopt, ms(20000)};
    inherited.attempts = 2;
    rig.sender.observe(inherited, rig.now);
    rig.arrive(2, 1);
    rig.sender.observe(InheritedCall{0, ms(50), {{1, 1}}}, rig.now);
    EXPECT_TRUE(rig.pass(ms(300)).empty());
    rig.outcome(Send{1, 0}, Outcome::ServerError, 1);
    const auto next = rig.pass(ms(2000));
    ASSERT_FALSE(next.empty());
    EXPECT_EQ(next[0].second.message, 2u);
}

// The message of the call has ended and its endpoint is no longer listed: the call still counts against
// max_calls until its outcome.
TEST(Successor, CountsAnInheritedCallOfAnUnknownMessageAndEndpoint) {
    Settings settings = make_settings();
    settings.max_calls = 1;
    Rig rig(settings);
    rig.list(0, 1);
    rig.arrive(2, 1);
    rig.sender.observe(InheritedCall{9, ms(50), {{1, 0}}}, rig.now);
    EXPECT_TRUE(rig.pass(ms(300)).empty());
    rig.outcome(Send{1, 9}, Outcome::Cancelled, 0);
    EXPECT_EQ(rig.sent(), Ids{2});
    rig.pass(ms(3000), ms(100));
}

// The attempt is of a message that has ended. Its key is blocked until its outcome, and rests after it.
TEST(Successor, AnInheritedAttemptBlocksItsKey) {
    Rig rig;
    rig.list(0, 1);
    rig.arrive(2, 1, kSequential, 7);
    rig.sender.observe(InheritedCall{0, ms(50), {{1, 0, 7}}}, rig.now);
    EXPECT_TRUE(rig.pass(ms(300)).empty());
    rig.outcome(Send{1, 0}, Outcome::TimedOut, 0);
    const Time ended_at = rig.now;
    const auto next = rig.pass(ms(2000));
    ASSERT_FALSE(next.empty());
    EXPECT_EQ(next[0].second.message, 2u);
    EXPECT_GE(next[0].first - ended_at, make_settings().ambiguous_settle_time);
}

TEST(Successor, KeepsResting) {
    Rig before;
    before.list(0, 1);
    before.arrive(1, 1, kSequential, 7, ms(200));
    before.decide();
    before.pass(ms(250));
    before.outcome(Send{1, 0}, Outcome::TimedOut, 0);
    const auto rests = before.sender.resting_keys(before.now);
    ASSERT_EQ(rests.size(), 1u);
    EXPECT_EQ(rests[0].key, 7u);
    EXPECT_EQ(rests[0].remaining, make_settings().ambiguous_settle_time);
    Rig after;
    after.list(0, 1);
    after.sender.observe(rests[0], after.now);
    after.arrive(2, 1, kSequential, 7);
    EXPECT_TRUE(after.pass(rests[0].remaining - ms(10)).empty());
    EXPECT_FALSE(after.pass(ms(100)).empty());
}

// A rest of all keys holds for those that have had no message yet, and not for messages without a key.
TEST(Successor, KeepsAllKeysResting) {
    Rig rig;
    rig.list(0, 1);
    rig.sender.observe(KeyRestEvent{std::nullopt, ms(500)}, rig.now);
    rig.arrive(1, 1, kSequential, 7);
    rig.arrive(2, 1);
    const auto sent = rig.pass(ms(450));
    ASSERT_EQ(sent.size(), 1u);
    EXPECT_EQ(sent[0].second.message, 2u);
    EXPECT_FALSE(rig.pass(ms(200)).empty());
}

// ---- changes of the settings ----

TEST(NewSettings, ApplyToNewMessagesAndAllOrNothing) {
    Settings settings = make_settings();
    settings.max_calls = 1;
    Rig rig(settings);
    rig.list(0, 1);
    rig.arrive(1, 1);  // retryable
    const auto first = rig.sends();
    ASSERT_EQ(first.size(), 1u);
    settings.classes = {make_class(DeliverySemantics::AtMostOnce)};
    Settings invalid = settings;
    invalid.max_attempts = 0;
    EXPECT_THROW(rig.sender.observe(SettingsEvent{invalid}, rig.now), std::invalid_argument);
    rig.sender.observe(SettingsEvent{settings}, rig.now);
    rig.outcome(first[0], Outcome::TimedOut);
    EXPECT_EQ(rig.pass(ms(2000)).size(), 1u);                       // a retry of message 1
    EXPECT_THROW(rig.arrive(2, 1, kDedup), std::invalid_argument);  // there is one class now
    settings.kinds.clear();
    EXPECT_THROW(rig.sender.observe(SettingsEvent{settings}, rig.now), std::invalid_argument);
}

// ---- endpoints that are listed again ----

// Calculated by hand: the retry-after is 3 s. The endpoint is removed 0.1 s later for 1.5 s, which is longer
// than the interval at which removed endpoints are examined, so 1.4 s are left when it is listed again.
TEST(ListedAgain, AnEndpointKeepsItsRetryAfter) {
    Rig rig;
    rig.list(0, 1, 1);  // limits per endpoint: the retry-after applies to this endpoint only
    rig.arrive(1, 1);
    const auto first = rig.sends();
    ASSERT_EQ(first.size(), 1u);
    rig.outcome(first[0], Outcome::Rejected, 0, ms(3000));
    EXPECT_TRUE(rig.pass(ms(100)).empty());
    rig.list(0, 1, 1, 0.0, Condition::Removed);
    EXPECT_TRUE(rig.pass(ms(1500)).empty());
    rig.list(0, 1, 1);
    EXPECT_TRUE(rig.pass(ms(1390)).empty());
    EXPECT_FALSE(rig.pass(ms(2000)).empty());
}

// The endpoint failed, was removed from the list and is listed again: it is cold, and its outage is still
// known.
TEST(ListedAgain, AnEndpointThatFailedIsNotOverloaded) {
    const auto sent_within = [](bool failed) {
        Rig rig;
        std::map<MessageId, std::uint32_t> attempts;
        rig.list(0, 1, 1);
        for (MessageId id = 101; failed && id <= 106; ++id) {
            rig.arrive(id, 1, kRetryable, std::nullopt, ms(1500));  // none stays ambiguous
            for (const Send& send : rig.sends())
                rig.outcome(send, Outcome::ServerError, attempts[send.message]++);
            rig.now += ms(200);
        }
        rig.list(0, 1, 1, 0.0, Condition::Removed);
        rig.pass(ms(5000));
        rig.list(0, 1, 1);
        for (MessageId id = 1; id <= 8; ++id) rig.arrive(id, 1);
        return rig.sends().size();
    };
    EXPECT_GE(sent_within(false), 4u);
    EXPECT_LE(sent_within(true), 1u);
}

// ---- calls whose connections are slow to open ----

// Calculated by hand: a retry-after of 500 ms applies from its outcome on to every call of the same limit,
// also to calls that were decided before.
TEST(LateConnection, StartsNoCallAfterARetryAfterADrainOrADisable) {
    const auto may_start_after = [](const auto& change) {
        Rig rig;
        rig.list(0, 1);
        rig.arrive(1, 1);
        rig.arrive(2, 1);
        const auto sends = rig.sends();
        EXPECT_EQ(sends.size(), 2u);
        EXPECT_TRUE(rig.sender.may_start(2, 0, rig.now));
        change(rig, sends[0]);
        return rig.sender.may_start(2, 0, rig.now);
    };
    const auto reject = [](Rig& rig, const Send& first) {
        rig.outcome(first, Outcome::Rejected, 0, ms(500));
    };
    EXPECT_FALSE(may_start_after(reject));
    EXPECT_FALSE(
        may_start_after([&](Rig& rig, const Send& first) { reject(rig, first), rig.now += ms(499); }));
    EXPECT_TRUE(
        may_start_after([&](Rig& rig, const Send& first) { reject(rig, first), rig.now += ms(500); }));
    EXPECT_FALSE(may_start_after([](Rig& rig, const Send&) { rig.list(0, 1, 0, 0.0, Condition::Draining); }));
    EXPECT_FALSE(may_start_after([](Rig& rig, const Send&) { rig.list(0, 1, 0, 0.0, Condition::Removed); }));
    EXPECT_FALSE(may_start_after([](Rig& rig, const Send&) {
        rig.sender.observe(AdminDisableEvent{0, true}, rig.now);
    }));
    EXPECT_FALSE(
        may_start_after([](Rig& rig, const Send&) { rig.sender.observe(AbandonedEvent{2}, rig.now); }));
    // the deadline has passed
    EXPECT_FALSE(may_start_after([](Rig& rig, const Send&) { rig.now += ms(20000); }));
    // Failure: calls written in the last millisecond reached their endpoint after the notice of the end
    EXPECT_FALSE(may_start_after([](Rig& rig, const Send&) { rig.now += ms(19996); }));
    EXPECT_TRUE(may_start_after([](Rig& rig, const Send&) { rig.now += ms(19995); }));
    EXPECT_TRUE(
        may_start_after([](Rig& rig, const Send& first) { rig.outcome(first, Outcome::ServerError); }));
}

// The endpoint is listed for another destination: calls that were decided for the old one may not start, and
// calls in flight still count for the endpoint.
TEST(LateConnection, StartsNoCallForADestinationThatItsEndpointHasLeft) {
    Rig rig;  // max_calls is 8: five calls to one destination
    rig.list(0, 1);
    for (MessageId id = 1; id <= 5; ++id) rig.arrive(id, 1);
    const auto sends = rig.sends();
    ASSERT_EQ(sends.size(), 5u);
    EXPECT_TRUE(rig.sender.may_start(1, 0, rig.now));
    rig.list(0, 2);
    EXPECT_FALSE(rig.sender.may_start(1, 0, rig.now));
    rig.arrive(6, 2);
    EXPECT_TRUE(rig.sends().empty());  // its five calls are still in flight
    for (const Send& send : sends) rig.outcome(send, Outcome::Delivered);
    rig.list(0, 1);
    for (MessageId id = 11; id <= 16; ++id) rig.arrive(id, 1);
    EXPECT_EQ(rig.sends().size(), 5u);  // as many as before
}

// A single attempt is allowed: a withheld call is not counted as one, so the message is sent after a delay
// and may still be refused.
TEST(LateConnection, AWithheldCallIsNoAttempt) {
    Settings settings = make_settings();
    settings.max_attempts = 1;
    Rig rig(settings);
    rig.list(0, 1);
    rig.arrive(1, 1, kFragile);
    const auto first = rig.sends();
    ASSERT_EQ(first.size(), 1u);
    rig.outcome(first[0], Outcome::Withheld);
    const auto retries = rig.pass(ms(1000));
    ASSERT_EQ(retries.size(), 1u);
    EXPECT_EQ(retries[0].second.message, 1u);
    EXPECT_GT(retries[0].first - rig.now + ms(1000), Time(0));  // not at once, which would be a busy loop
    rig.outcome(retries[0].second, Outcome::Rejected);
    EXPECT_EQ(all<Refuse>(rig.decide()).size(), 1u);
}

// ---- mClock tags ----

// One call at a time, weights 1 and 0.5, a call every 0.7 s. Calculated by hand, in seconds from the start:
// both P tags begin at -2; serving 1 gives P1 = max(P1 + 1, now - 1), serving 2 gives P2 = max(P2 + 2, now -
// 2). That is 1 (P1 -1), 2 (P2 0), 1 (0.4), 2 (2), 1 (1.8), 1 (2.8), 2 (4), 1 (3.9), 1 (4.9); the L tags are
// due each time.
TEST(MClockTags, SharesFollowListedRates) {
    Settings settings = make_settings();
    settings.max_calls = 1;
    settings.listed_rates = true;
    Rig rig(settings);
    rig.list(0, 1, 0, 1.0);
    rig.list(1, 2, 0, 0.5);
    for (MessageId id = 1; id <= 9; ++id) rig.arrive(id, 1);
    for (MessageId id = 11; id <= 19; ++id) rig.arrive(id, 2);
    Ids order;
    for (int i = 0; i < 9; ++i) {
        const auto sends = rig.sends();
        ASSERT_EQ(sends.size(), 1u);
        order.push_back(sends[0].message < 10 ? 1 : 2);
        rig.now += ms(700);
        rig.outcome(sends[0], Outcome::Delivered, 0, Time(0), ms(700));
    }
    EXPECT_EQ(order, (Ids{1, 2, 1, 2, 1, 1, 2, 1, 1}));
}

// With a single sender l is the whole listed rate. Calculated by hand, L = now, now+1/l, ... from the arrival
// on.
TEST(MClockTags, LimitSpacesSends) {
    Settings settings = make_settings();
    settings.listed_rates = true;
    Rig rig(settings);
    rig.list(0, 1, 0, 1.4);
    for (MessageId id = 1; id <= 4; ++id) rig.arrive(id, 1);
    EXPECT_EQ(rig.sent(), Ids{1});
    const Time start = rig.now;
    const auto later = rig.pass(ms(1600), ms(1));
    ASSERT_EQ(later.size(), 2u);
    const Time first_gap = later[0].first - start;
    EXPECT_LE(later[1].first - later[0].first, first_gap);
    EXPECT_GE(later[1].first - later[0].first, first_gap - ms(1));  // the clock is read once a millisecond
    EXPECT_GT(first_gap, ms(500));
    EXPECT_LT(first_gap, ms(1000));
}

// Calculated by hand, in seconds from the start, with r = 1, weights 1000 and 2, and 0.3 s a call. R1 = R2 =
// 0: 1 is sent, R1 = 1; then 2 by its R tag, whatever P1 = -0.001 is (R2 = 1.3, P2 = 0);
// then by P tag: 1 at 0.6 (P1 = 0.599, and R1 stays 1), 2 at 0.9 (P2 = 0 is the smaller, R2 stays 1.3); then
// R1 = 1 is due at 1.2.
TEST(MClockTags, ReservationPhaseComesFirst) {
    Settings settings = make_settings();
    settings.max_calls = 1;
    settings.reservation_per_s = 1.0;
    settings.listed_rates = true;
    settings.instance_count = 1;
    Rig rig(settings);
    rig.list(0, 1, 0, 1000.0);
    rig.list(1, 2, 0, 2.0);
    for (MessageId id = 1; id <= 8; ++id) rig.arrive(id, 1);
    for (MessageId id = 11; id <= 14; ++id) rig.arrive(id, 2);
    Ids order;
    for (int i = 0; i < 12; ++i) {
        const auto sends = rig.sends();
        if (sends.empty()) {
            rig.now += ms(300);
            continue;
        }
        order.push_back(sends[0].message);
        rig.now += ms(300);
        rig.outcome(sends[0], Outcome::Delivered);
    }
    ASSERT_GE(order.size(), 5u);
    order.resize(5);
    EXPECT_EQ(order, (Ids{1, 11, 2, 12, 3}));
}

TEST(MClockTags, ArrivalOrderWithinDestination) {
    Rig rig;
    rig.list(0, 1);
    for (MessageId id = 5; id > 0; --id) rig.arrive(id, 1);
    EXPECT_EQ(rig.sent(), (Ids{5, 4, 3, 2, 1}));
}

// A destination that becomes active after a long idle time starts with the tags of the busy one and gets no
// burst.
TEST(MClockTags, AnIdleDestinationStartsWithEqualTags) {
    Settings settings = make_settings();
    settings.max_calls = 2;
    Rig rig(settings);
    rig.list(0, 1);
    rig.list(1, 2);
    for (MessageId id = 1; id <= 20; ++id) rig.arrive(id, 1);
    auto sends = rig.sends();
    for (int i = 0; i < 5; ++i) {
        rig.now += ms(1000);
        rig.outcome(sends[0], Outcome::Delivered);
        sends = rig.sends();
        ASSERT_EQ(sends.size(), 1u);
    }
    for (MessageId id = 101; id <= 110; ++id) rig.arrive(id, 2);
    sends = {sends[0]};
    const auto second = rig.sends();
    ASSERT_EQ(second.size(), 1u);
    EXPECT_EQ(second[0].message, 101u);
    int reactivated = 0;
    std::vector<Send> busy{sends[0], second[0]};
    for (int i = 0; i < 8; ++i) {
        rig.now += ms(1000);
        rig.outcome(busy[0], Outcome::Delivered);
        busy.erase(busy.begin());
        const auto next = rig.sends();
        ASSERT_EQ(next.size(), 1u);
        reactivated += next[0].message > 100;
        busy.push_back(next[0]);
    }
    EXPECT_EQ(reactivated, 4);
}

// l = 1, so L = 1 after the first send. The stall ends at 5 with both L tags in the past: the head may be
// sent, and as L = max(2, 5) = 5 the next one at once, then L = 6; the rest of the backlog is not released.
TEST(MClockTags, TheBacklogIsNotReleasedAtOnceAfterAStall) {
    Settings settings = make_settings();
    settings.listed_rates = true;
    Rig rig(settings);
    rig.list(0, 1, 0, 1.0);
    for (MessageId id = 1; id <= 5; ++id) rig.arrive(id, 1);
    const auto first = rig.sends();
    EXPECT_EQ(first.size(), 1u);
    rig.now += ms(5000);
    rig.outcome(first[0], Outcome::Delivered);
    const auto burst = rig.sends();
    ASSERT_EQ(burst.size(), 2u);
    for (const Send& send : burst) rig.outcome(send, Outcome::Delivered);
    EXPECT_TRUE(rig.pass(ms(980)).empty());
    EXPECT_EQ(rig.pass(ms(40)).size(), 1u);
}

// Two responses in quick succession must not be taken for a service rate of fifty a second. A sender that
// makes only occasional calls needs long for its backlog, so the message that loses most utility by waiting
// is sent first.
TEST(MClockTags, ABacklogIsMeasuredByTheServiceRateOverSeconds) {
    Settings settings = make_settings();
    settings.max_calls = 1;
    settings.instance_count = 100;
    settings.classes[kRetryable].late_utility = 0.5;
    settings.late_decay = LateDecay::Halving;
    Rig rig(settings);
    rig.list(0, 1);
    for (MessageId id = 1; id <= 2; ++id) {
        rig.arrive(id, 1);
        const auto sends = rig.sends();
        ASSERT_EQ(sends.size(), 1u);
        rig.now += ms(20);
        rig.outcome(sends[0], Outcome::Delivered, 0, Time(0), ms(20));
    }
    rig.list(1, 2);
    rig.arrive(3, 2);
    const auto busy = rig.sends();  // the only call allowed
    ASSERT_EQ(busy.size(), 1u);
    for (MessageId id = 4; id <= 9; ++id) rig.arrive(id, 1);
    rig.now += ms(4500);
    rig.arrive(10, 1);
    rig.outcome(busy[0], Outcome::Delivered, 0, Time(0), ms(4500));
    EXPECT_EQ(rig.sent(), Ids{10});
}

// Retries to a destination that returns errors must not use the share of the other destinations.
TEST(MClockTags, RetriesDoNotUseTheShareOfOthers) {
    Settings settings = make_settings();
    settings.max_calls = 1;
    Rig rig(settings);
    rig.list(0, 1);
    rig.list(1, 2);
    for (MessageId id = 1; id <= 9; ++id) rig.arrive(id, 1);
    for (MessageId id = 11; id <= 19; ++id) rig.arrive(id, 2);
    std::map<MessageId, std::uint32_t> attempts;
    int failing = 0, healthy = 0;
    for (int i = 0; i < 400 && healthy < 9; ++i, rig.now += ms(10)) {
        for (const Send& send : rig.sends()) {
            const bool fails = send.message < 10;
            (fails ? failing : healthy)++;
            rig.outcome(send, fails ? Outcome::ServerError : Outcome::Delivered, attempts[send.message]++,
                Time(0), ms(10));
        }
    }
    EXPECT_EQ(healthy, 9);
    EXPECT_LE(failing, 4);
}

TEST(CallLimit, OneDestinationStaysUnderThreeQuartersOfTheCalls) {
    Rig rig;  // max_calls is 8: five calls are less than 3/4, six are not
    rig.list(0, 1);
    for (MessageId id = 1; id <= 8; ++id) rig.arrive(id, 1);
    EXPECT_EQ(rig.sent().size(), 5u);
}

TEST(CallLimit, UnhealthyDestinationsTogetherUseHalf) {
    Rig rig;
    for (EndpointId id = 0; id < 6; ++id) rig.list(id, id);
    MessageId next = 1;
    for (int i = 0; i < 6; ++i) rig.arrive(next++, i);
    EXPECT_EQ(rig.sends().size(), 6u);
    // none responds, so all are unhealthy, and together they may use half of max_calls at most
    const auto probes = rig.pass(ms(8000));
    for (int i = 0; i < 6; ++i) rig.arrive(next++, i);
    EXPECT_TRUE(probes.empty());
    EXPECT_TRUE(rig.sends().empty());
    rig.list(9, 9);
    rig.arrive(99, 9);
    EXPECT_EQ(rig.sent(), Ids{99});
}

// Each message costs the zone cost of the endpoint that it is sent to, and the sender's own zone adds no
// cost. Without zone costs the sender's own zone is preferred.
TEST(EndpointChoice, ALowerZoneCostComesBeforeTheOwnZone) {
    for (const bool zone_costs : {true, false}) {
        Settings settings = make_settings();
        if (zone_costs) settings.zone_costs = {0.06, 0.0};
        Rig rig(settings);
        rig.list(0, 1, 1, 0.0, Condition::Ready, 0);
        rig.list(1, 1, 1, 0.0, Condition::Ready, 1);
        rig.arrive(1, 1);
        const auto sends = rig.sends();
        ASSERT_EQ(sends.size(), 1u);
        EXPECT_EQ(sends[0].endpoint, zone_costs ? 1u : 0u);
    }
}

// ticket3928: an endpoint in an outage must not reduce the calls allowed to the other endpoints of its
// destination, which get its messages.
TEST(CallLimit, AnUnhealthyEndpointDoesNotLimitTheOthersOfItsDestination) {
    Rig rig;  // max_calls is 8
    for (DestinationId destination = 0; destination < 4; ++destination)
        for (EndpointId index = 0; index < 2; ++index)
            rig.list(static_cast<EndpointId>(2 * destination) + index, destination, 1);
    MessageId next = 1;
    for (int i = 0; i < 4; ++i) {  // to both endpoints of each destination in turn; one of them fails
        for (DestinationId destination = 0; destination < 4; ++destination) rig.arrive(next++, destination);
        for (DestinationId destination = 0; destination < 4; ++destination) rig.arrive(next++, destination);
        for (const Send& send : rig.sends())
            for (std::uint32_t attempt = 0; attempt < 4; ++attempt)
                rig.outcome(
                    send, send.endpoint % 2 == 0 ? Outcome::ServerError : Outcome::Delivered, attempt);
    }
    // until the healthy endpoints have received all messages
    for (int i = 0; i < 40 && rig.now < ms(1'020'000); ++i)
        for (const auto& [at, send] : rig.pass(ms(200)))
            for (std::uint32_t attempt = 0; attempt < 4; ++attempt)
                rig.outcome(
                    send, send.endpoint % 2 == 0 ? Outcome::ServerError : Outcome::Delivered, attempt);
    for (DestinationId destination = 0; destination < 4; ++destination)
        for (int i = 0; i < 2; ++i) rig.arrive(next++, destination);
    std::size_t to_healthy = 0;
    for (const Send& send : rig.sends()) to_healthy += send.endpoint % 2;
    EXPECT_GE(to_healthy, 6u);  // four if the half for unhealthy destinations applied
}

// ---- deadlines, retries and order ----

TEST(Deadline, EndsMessagesWaitingOrInFlight) {
    Rig rig;
    rig.list(0, 1);
    rig.arrive(1, 1, kFragile, std::nullopt, ms(500));
    rig.arrive(2, 7, kRetryable, std::nullopt, ms(500));  // no endpoint
    EXPECT_EQ(rig.sent(), Ids{1});
    rig.now += ms(499);
    EXPECT_TRUE(all<Fail>(rig.decide()).empty());
    rig.now += ms(1);
    EXPECT_EQ(all<Fail>(rig.decide()).size(), 2u);
}

TEST(Deadline, SetsATimer) {
    Rig rig;
    rig.arrive(1, 7, kRetryable, std::nullopt, ms(500));
    const auto timers = all<SetTimer>(rig.decide());
    ASSERT_EQ(timers.size(), 1u);
    EXPECT_EQ(timers[0].delay, ms(500));
}

TEST(Delivery, AtMostOnceFailsAfterAnAmbiguousAttempt) {
    Rig rig;
    rig.list(0, 1);
    rig.arrive(1, 1, kFragile);
    const auto sends = rig.sends();
    rig.now += ms(100);
    rig.outcome(sends[0], Outcome::ServerError);
    const auto actions = rig.decide();
    EXPECT_EQ(all<Fail>(actions).size(), 1u);
    EXPECT_TRUE(all<Refuse>(actions).empty());
}

TEST(Delivery, AtMostOnceIsRetriedIfItProvablyDidNotRun) {
    Rig rig;
    rig.list(0, 1);
    rig.arrive(1, 1, kFragile);
    const auto sends = rig.sends();
    rig.now += ms(100);
    rig.outcome(sends[0], Outcome::Rejected);
    EXPECT_EQ(rig.pass(ms(500)).size(), 1u);
}

TEST(Delivery, DeduplicatedIsRetriedOnlyWithinItsWindowFromTheSend) {
    for (const bool inside : {true, false}) {
        Rig rig;
        rig.list(0, 1);
        rig.list(1, 1);
        rig.arrive(1, 1, kDedup);
        const auto first_sends = rig.sends();
        rig.now += inside ? ms(4700) : ms(4950);
        rig.outcome(first_sends[0], Outcome::ConnectionLost);
        int sends = 0, ends = 0;
        for (int i = 0; i < 30; ++i, rig.now += ms(10)) {
            const auto actions = rig.decide();
            sends += static_cast<int>(all<Send>(actions).size());
            ends += static_cast<int>(all<Refuse>(actions).size() + all<Fail>(actions).size());
        }
        EXPECT_EQ(sends, inside ? 1 : 0);
        EXPECT_EQ(ends, inside ? 0 : 1);
    }
}

TEST(Delivery, DeduplicatedWithZoneScopeStaysInItsZone) {
    Settings settings = make_settings();
    settings.classes[kDedup].dedup_scope = DedupScope::Zone;
    Rig rig(settings);
    rig.list(0, 1);
    rig.arrive(1, 1, kDedup);
    const auto sends = rig.sends();
    rig.list(1, 1, 0, 0.0, Condition::Ready, 1);
    rig.list(0, 1, 0, 0.0, Condition::Removed);
    rig.now += ms(100);
    rig.outcome(sends[0], Outcome::ServerError);
    EXPECT_TRUE(rig.pass(ms(3000)).empty());
}

TEST(Delivery, RetriesStopAtMaxAttempts) {
    Rig rig;
    rig.list(0, 1);
    rig.arrive(1, 1);
    std::uint32_t attempt = 0;
    int ends = 0;
    for (int i = 0; i < 1500 && ends == 0; ++i, rig.now += ms(10)) {
        const auto actions = rig.decide();
        for (const Send& send : all<Send>(actions)) rig.outcome(send, Outcome::ServerError, attempt++);
        ends += static_cast<int>(all<Refuse>(actions).size() + all<Fail>(actions).size());
    }
    EXPECT_EQ(attempt, 4u);
    EXPECT_EQ(ends, 1);
}

TEST(EndpointListUpdates, NothingIsSentToDrainingOrRemovedEndpoints) {
    for (const Condition condition : {Condition::Draining, Condition::Removed}) {
        Rig rig;
        rig.list(0, 1);
        rig.list(0, 1, 0, 0.0, condition);
        rig.arrive(1, 1);
        EXPECT_TRUE(rig.sends().empty());
        rig.list(1, 1);
        EXPECT_EQ(rig.sent(), Ids{1});
    }
}

TEST(EndpointListUpdates, AFullListReplacesTheOldOne) {
    Rig rig;
    rig.list(0, 1);
    rig.sender.observe(ListEvent{ListUpdateKind::Full, {{1, 2, 0, 0, 0.0, Condition::Ready}}}, rig.now);
    rig.arrive(1, 1);
    rig.arrive(2, 2);
    EXPECT_EQ(rig.sent(), Ids{2});
}

TEST(RetryAfter, AppliesToTheWholeDestination) {
    Rig rig;
    rig.list(0, 1);
    rig.list(1, 1);
    rig.arrive(1, 1);
    const auto sends = rig.sends();
    rig.outcome(sends[0], Outcome::Rejected, 0, ms(700));
    rig.arrive(2, 1);
    EXPECT_TRUE(rig.pass(ms(690)).empty());
    EXPECT_EQ(rig.pass(ms(300)).size(), 2u);
}

TEST(RetryAfter, AppliesToOneEndpointWithLimitsPerEndpoint) {
    Rig rig;
    rig.list(0, 1, 1);
    rig.list(1, 1, 1);
    rig.arrive(1, 1);
    const auto sends = rig.sends();
    rig.outcome(sends[0], Outcome::Rejected, 0, ms(700));
    rig.arrive(2, 1);
    const auto next = rig.sends();
    ASSERT_EQ(next.size(), 1u);
    EXPECT_NE(next[0].endpoint, sends[0].endpoint);
}

// Each message of one call may get a retry-after of its own, and the longest one applies.
TEST(RetryAfter, TheLongestOfACallApplies) {
    Rig rig;
    rig.list(0, 1, 2);
    for (MessageId id = 1; id <= 3; ++id) rig.arrive(id, 1);
    const auto sends = rig.sends();
    ASSERT_EQ(sends.size(), 3u);
    rig.outcome(sends[0], Outcome::Rejected, 0, ms(300));
    rig.outcome(sends[1], Outcome::Rejected, 0, ms(600));
    rig.outcome(sends[2], Outcome::Rejected, 0, ms(400));
    EXPECT_TRUE(rig.pass(ms(590)).empty());
    EXPECT_FALSE(rig.pass(ms(200)).empty());
}

// After a restart the capacity of the destinations is unknown, and all waiting messages may seem to have no
// utility: the new message must be refused then, not one that was accepted before.
TEST(Overload, MessagesAcceptedBeforeARestartAreKeptRatherThanNewOnes) {
    Settings settings = make_settings();
    settings.instance_count = 300;
    settings.max_held_messages = 10;
    Rig rig(settings);
    for (MessageId id = 1; id <= 9; ++id) rig.arrive(id, static_cast<DestinationId>(id % 3));
    EXPECT_TRUE(rig.decide().size() <= 1u);  // nothing is listed: all of them wait
    rig.arrive(10, 0);
    const auto refused = all<Refuse>(rig.decide());
    ASSERT_EQ(refused.size(), 1u);
    EXPECT_EQ(refused[0].message, 10u);
}

TEST(SequentialMessages, OneAtATimeInArrivalOrder) {
    Rig rig;
    rig.list(0, 1);
    rig.arrive(1, 1, kSequential, 42);
    rig.arrive(2, 1, kSequential, 42);
    rig.arrive(3, 1, kSequential, 43);
    const auto sends = rig.sends();
    ASSERT_EQ(sends.size(), 2u);
    EXPECT_EQ(sends[0].message, 1u);
    EXPECT_EQ(sends[1].message, 3u);
    rig.outcome(sends[0], Outcome::Delivered);
    EXPECT_EQ(rig.sent(), Ids{2});
}

TEST(SequentialMessages, TheNextWaitsUntilThePlatformHasTheNotice) {
    Rig rig;
    rig.arrive(1, 1, kSequential, 42, ms(1000));
    rig.arrive(2, 1, kSequential, 42);
    rig.now += ms(1000);
    EXPECT_EQ(all<Fail>(rig.decide()).size(), 1u);
    rig.list(1, 1);
    EXPECT_TRUE(rig.sends().empty()) << "the notice of the end and the next call would race";
    rig.now += ms(110);
    EXPECT_EQ(rig.sent(), (std::vector<MessageId>{2}));
}

TEST(SequentialMessages, AKeyRestsAfterARestartWhileAnAttemptMayStillRun) {
    Rig rig;
    MessageEvent first{1, 1, kSequential, std::nullopt, 42, ms(20000)};
    first.attempts = 1;
    first.ambiguous_attempt = MessageEvent::AmbiguousAttempt{ms(600), std::nullopt};
    rig.list(1, 1);
    rig.sender.observe(first, rig.now);
    rig.arrive(2, 1, kSequential, 42);
    rig.sender.observe(AbandonedEvent{1}, rig.now);  // abandoned, but it may still run
    EXPECT_TRUE(rig.sends().empty());
    rig.now += ms(310);
    EXPECT_EQ(rig.sent(), (std::vector<MessageId>{2}));
}

TEST(SequentialMessages, AKeyRestsAfterAnAmbiguousOutcome) {
    Rig rig;
    rig.list(0, 1);
    rig.arrive(1, 1, kSequential, 42, ms(1000));
    rig.arrive(2, 1, kSequential, 42);
    const auto sends = rig.sends();
    ASSERT_EQ(sends.size(), 1u);
    rig.now += ms(1000);
    EXPECT_TRUE(rig.sends().empty());  // the first has failed, but its attempt has no outcome yet
    rig.outcome(sends[0], Outcome::TimedOut);
    EXPECT_TRUE(rig.pass(ms(290)).empty());
    EXPECT_EQ(rig.pass(ms(3000)).size(), 1u);
}

// After an outage the sends of any window stay within multiple x current capacity x window x the share of
// this sender.
TEST(SlowStart, SendsStayWithinTheOverloadLimit) {
    Settings settings = make_settings();
    settings.listed_rates = true;
    settings.instance_count = 2;
    Rig rig(settings);
    rig.list(0, 1, 0, 20.0);
    MessageId next = 1;
    for (int i = 0; i < 60; ++i) rig.arrive(next++, 1);
    std::vector<Time> sent;
    std::map<MessageId, std::uint32_t> attempts;
    const Time recovered_at = rig.now + ms(5000);
    while (rig.now < recovered_at + ms(8000)) {
        rig.now += ms(10);
        for (const Send& send : rig.sends()) {
            if (rig.now >= recovered_at) sent.push_back(rig.now);
            rig.outcome(send, rig.now < recovered_at ? Outcome::ConnectionLost : Outcome::Delivered,
                attempts[send.message]++, Time(0), ms(10));
            rig.arrive(next++, 1);
        }
    }
    ASSERT_GT(sent.size(), 5u);
    for (std::size_t i = 0; i < sent.size(); ++i) {
        const auto in_window = std::count_if(sent.begin(), sent.end(),
            [&](Time at) { return at >= sent[i] && at < sent[i] + settings.overload_window; });
        const double warm =
            std::min(1.0, 0.2 + 0.8 * static_cast<double>((sent[i] - recovered_at + ms(2000)).count()) / 1e7);
        EXPECT_LE(static_cast<double>(in_window), 2.0 * warm * 20.0 * 2.0 / 2.0 + 1.0);
    }
}

// ---- health and overload ----

TEST(Health, AnEndpointThatStopsRespondingIsUnhealthyBeforeAnyTimeout) {
    Rig rig;
    rig.list(0, 1);
    rig.arrive(1, 1);
    auto sends = rig.sends();
    rig.now += ms(100);
    rig.outcome(sends[0], Outcome::Delivered);
    rig.arrive(2, 1);
    EXPECT_EQ(rig.sends().size(), 1u);
    rig.pass(ms(800));  // eight typical latencies without a response
    rig.arrive(3, 1, kFragile);
    EXPECT_TRUE(rig.sends().empty());
}

// Incident i02431b: messages to a destination in an outage must not use the memory of the other destinations.
TEST(Overload, RefusesMessagesToTheDestinationInAnOutage) {
    Settings settings = make_settings();
    settings.max_held_messages = 20;
    Rig rig(settings);
    rig.list(0, 1);
    rig.list(1, 2);
    MessageId next = 1;
    for (int i = 0; i < 3; ++i) {
        rig.arrive(next++, 1);
        for (const Send& send : rig.sends()) rig.outcome(send, Outcome::ConnectFailed);
        rig.now += ms(100);
        rig.decide();
    }
    for (int i = 0; i < 12; ++i) rig.arrive(next++, 1);
    rig.decide();
    rig.now += ms(3000);
    std::vector<MessageId> refused;
    for (MessageId id = 100; id < 112; ++id) {
        rig.arrive(id, 2);
        for (const Refuse& refuse : all<Refuse>(rig.decide())) refused.push_back(refuse.message);
    }
    EXPECT_FALSE(refused.empty());
    for (const MessageId id : refused) EXPECT_LT(id, 100u);
}

// A retry whose connection is slow to open must not start after the end of its deduplication window.
TEST(Retries, OfADeduplicatedMessageStartWithinItsWindow) {
    Rig rig;
    rig.list(0, 1);
    rig.arrive(1, 1, kDedup);
    rig.arrive(2, 1, kRetryable);
    for (const Send& send : rig.sends()) {
        EXPECT_FALSE(send.start_within) << send.message;
        rig.outcome(send, Outcome::ServerError);
    }
    const Time first_sent_at = rig.now;
    const auto retries = rig.pass(ms(3000));
    ASSERT_EQ(retries.size(), 2u);
    for (const auto& [at, send] : retries) {
        EXPECT_EQ(send.start_within.has_value(), send.message == 1u);
        EXPECT_EQ(at + send.start_within.value_or(first_sent_at + ms(4900) - at), first_sent_at + ms(4900));
    }
}

// Incident ife484d: a call that is only slow must not be cancelled while no better choice exists.
TEST(Timeouts, ASlowCallIsNotCancelledWithoutReason) {
    Rig rig;
    rig.list(0, 1);
    rig.arrive(1, 1);
    const auto sends = rig.sends();
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_EQ(sends[0].timeout, ms(20000));
    for (int i = 0; i < 100; ++i, rig.now += ms(100)) EXPECT_TRUE(all<CancelAttempt>(rig.decide()).empty());
}

// Incident i94fd2c: while the backlog takes longer than a target latency, messages that lose most utility by
// waiting are sent before messages that keep theirs.
TEST(Overload, UtilityComesBeforeOrderOnlyWhileTheBacklogExceedsATargetLatency) {
    for (const bool backlog : {false, true}) {
        Settings settings = make_settings();
        settings.max_calls = 2;
        settings.late_decay = LateDecay::Halving;
        settings.classes[kDedup].late_utility = 1.0;  // keeps all its utility
        Rig rig(settings);
        rig.list(0, 1);
        for (MessageId id = 1; id <= 3; ++id) {  // two a second
            rig.arrive(id, 1);
            const auto sends = rig.sends();
            ASSERT_EQ(sends.size(), 1u);
            rig.now += ms(500);
            rig.outcome(sends[0], Outcome::Delivered, 0, Time(0), ms(500));
        }
        for (MessageId id = 4; id < (backlog ? 12u : 5u); ++id) rig.arrive(id, 1, kDedup);
        rig.arrive(50, 1, kRetryable);
        EXPECT_EQ(rig.sent(), (Ids{backlog ? MessageId{50} : MessageId{4}}));
    }
}

// Sends one call to each destination, none of which responds for six seconds. Returns the number of cancelled
// calls.
std::size_t cancelled_without_response(std::size_t destinations, std::size_t message_class) {
    Rig rig;  // max_calls is 8
    for (EndpointId id = 0; id < destinations; ++id) {
        rig.list(id, id);
        rig.arrive(id + 1, id, message_class);
    }
    EXPECT_EQ(rig.sends().size(), destinations);
    std::size_t cancelled = 0;
    for (int i = 0; i < 60; ++i, rig.now += ms(100)) cancelled += all<CancelAttempt>(rig.decide()).size();
    return cancelled;
}

// Incident i0760ea: calls without a response must not occupy the half of max_calls that unhealthy
// destinations may use.
TEST(Timeouts, HungCallsAreCancelledWhenUnhealthyDestinationsUseTheirHalf) {
    EXPECT_EQ(cancelled_without_response(4, kRetryable), 4u);
}

// Incident ib08f9d: after a stall of all destinations, at-most-once calls must not occupy max_calls until
// their deadlines.
TEST(Timeouts, HungAtMostOnceCallsAreCancelledWhenMaxCallsIsAlmostReached) {
    EXPECT_EQ(cancelled_without_response(7, kFragile), 7u);
}

// Incident ib08f9d: hung calls use up the half for unhealthy destinations; another unhealthy destination must
// still be probed.
TEST(CallLimit, AnUnhealthyDestinationWithoutCallsIsProbed) {
    Rig rig;  // max_calls is 8
    for (EndpointId id = 0; id < 5; ++id) rig.list(id, id);
    for (MessageId id = 1; id <= 4; ++id) rig.arrive(id, static_cast<DestinationId>(id - 1), kFragile);
    rig.arrive(5, 4);
    const auto sends = rig.sends();
    ASSERT_EQ(sends.size(), 5u);
    rig.pass(ms(3500));
    rig.outcome(sends[4], Outcome::ConnectionLost);
    EXPECT_EQ(rig.pass(ms(2500)).size(), 1u);
}

Settings one_at_most_once_class() {
    Settings settings = make_settings();
    settings.classes = {make_class(DeliverySemantics::AtMostOnce)};
    return settings;
}
/// Fails every message that is sent within `duration`; returns their number.
int fail_all(Rig& rig, Outcome outcome, Time duration) {
    int failed = 0;
    for (const Time end = rig.now + duration; rig.now < end; rig.now += ms(10))
        for (const Send& send : rig.sends()) rig.outcome(send, outcome), ++failed;
    return failed;
}

TEST(Probes, RecoveryIsDetectedWithAtMostOnceMessagesOnly) {
    Rig rig(one_at_most_once_class());
    rig.list(1, 1);
    for (MessageId id = 1; id <= 40; ++id) rig.arrive(id, 1, 0, std::nullopt, ms(60'000));
    const int lost = fail_all(rig, Outcome::ServerError, ms(10'000));
    EXPECT_GE(lost, 4) << "two until the endpoint is unhealthy, then probes";
    EXPECT_LE(lost, 2 + 10'000 / 250) << "the rate of probes is at most one in 250 ms";
    int served = 0;
    for (const Time end = rig.now + ms(15'000); rig.now < end; rig.now += ms(10))
        for (const Send& send : rig.sends()) rig.outcome(send, Outcome::Delivered), ++served;
    EXPECT_EQ(served + lost, 40);
}

TEST(Probes, AnAtMostOnceMessageThatProvablyDidNotRunIsUsedAgain) {
    Settings settings = one_at_most_once_class();
    settings.max_attempts = 1000;
    Rig rig(settings);
    rig.list(1, 1);
    rig.arrive(1, 1, 0, std::nullopt, ms(60'000));
    std::uint32_t attempts = 0;
    for (const Time end = rig.now + ms(12'000); rig.now < end; rig.now += ms(10))
        for (const Send& send : rig.sends()) rig.outcome(send, Outcome::ConnectFailed, attempts++);
    EXPECT_GE(attempts, 6u);
    const auto retries = rig.pass(ms(3000));
    ASSERT_FALSE(retries.empty());
    rig.outcome(retries.front().second, Outcome::Delivered, attempts);
    EXPECT_TRUE(rig.sends().empty());
}

TEST(Probes, AnAtMostOnceMessageIsNotUsedWhileARetryableOneIsAvailable) {
    Settings settings = make_settings();
    settings.max_attempts = 1000;
    Rig rig(settings);
    rig.list(1, 1);
    rig.arrive(1, 1, kRetryable, std::nullopt, ms(60'000));
    rig.arrive(2, 1, kFragile, std::nullopt, ms(60'000));
    for (std::uint32_t attempt = 0; attempt < 2; ++attempt) {  // unhealthy after these two
        rig.now += ms(1000);
        const auto sends = rig.pass(ms(3000));
        ASSERT_FALSE(sends.empty());
        for (const auto& [at, send] : sends)
            if (send.message == 1) rig.outcome(send, Outcome::ServerError, attempt);
        if (attempt == 0 && sends.size() > 1) rig.outcome(sends.back().second, Outcome::ConnectFailed, 0);
    }
    std::uint32_t attempt = 2;
    for (const Time end = rig.now + ms(8000); rig.now < end; rig.now += ms(10))
        for (const Send& send : rig.sends()) {
            EXPECT_EQ(send.message, 1u)
                << "the retryable message is delayed after each failure and is still the one to be sent";
            rig.outcome(send, Outcome::ServerError, attempt++);
        }
    EXPECT_GT(attempt, 4u);
}

TEST(Probes, IntervalsGrowWhileAnEndpointHangs) {
    Rig rig(one_at_most_once_class());
    rig.list(1, 1);
    rig.arrive(1, 1, 0, std::nullopt, ms(200'000));
    rig.outcome(rig.sends().at(0), Outcome::Delivered);  // the typical latency is 100 ms
    rig.arrive(2, 1, 0, std::nullopt, ms(200'000));
    rig.sends();
    rig.pass(ms(2000));  // no response: unhealthy
    for (MessageId id = 3; id <= 30; ++id) rig.arrive(id, 1, 0, std::nullopt, ms(200'000));
    std::vector<Time> probes;
    for (const auto& [at, send] : rig.pass(ms(8000))) probes.push_back(at);  // no response arrives
    ASSERT_GE(probes.size(), 2u);
    EXPECT_LE(probes.size(), 4u) << "the interval grows with one, two and four hung probes";
    for (std::size_t i = 2; i < probes.size(); ++i)
        EXPECT_GT(probes[i] - probes[i - 1], probes[i - 1] - probes[i - 2]);
}

TEST(Probes, HungCallsAreCancelledInFavourOfProbes) {
    Rig rig(one_at_most_once_class());
    rig.list(1, 1);
    rig.arrive(1, 1, 0, std::nullopt, ms(200'000));
    rig.outcome(rig.sends().at(0), Outcome::Delivered);
    for (MessageId id = 2; id <= 30; ++id) rig.arrive(id, 1, 0, std::nullopt, ms(200'000));
    const std::size_t hung = rig.sends().size();
    EXPECT_GE(hung, 4u) << "half of max_calls: an unhealthy endpoint gets no further call";
    std::size_t cancelled = 0, probes = 0;
    for (const Time end = rig.now + ms(20'000); rig.now < end; rig.now += ms(10)) {
        const auto actions = rig.decide();
        probes += all<Send>(actions).size();
        for (const CancelAttempt& cancel : all<CancelAttempt>(actions)) {
            rig.outcome({cancel.message, 1, Time(0), {}}, Outcome::Cancelled);
            ++cancelled;
        }
    }
    EXPECT_GE(cancelled, 1u);
    EXPECT_GE(probes, 2u);
    const auto late = rig.pass(ms(10'000));
    EXPECT_FALSE(late.empty()) << "probing continues";
}

TEST(Probes, CarryNoBatch) {
    Rig rig(one_at_most_once_class());
    rig.list(1, 1, 2);  // four messages per call
    for (MessageId id = 1; id <= 40; ++id) rig.arrive(id, 1, 0, std::nullopt, ms(60'000));
    const auto first = rig.sends();
    for (const Send& send : first) rig.outcome(send, Outcome::ServerError);
    std::vector<Send> probe;
    for (const Time end = rig.now + ms(20'000); rig.now < end && probe.size() != 1; rig.now += ms(10)) {
        probe = rig.sends();
        for (const Send& send : probe) rig.outcome(send, Outcome::ServerError);
    }
    EXPECT_EQ(probe.size(), 1u) << "a probe carries a single message";
}

// Incident i94fd2c: rejections of calls that were sent together count as one outcome and must not mark the
// destination unhealthy.
TEST(Health, RejectionsOfCallsSentTogetherCountOnce) {
    Rig rig;
    rig.list(0, 1);
    for (MessageId id = 1; id <= 4; ++id) rig.arrive(id, 1, kFragile);
    const auto sends = rig.sends();
    ASSERT_EQ(sends.size(), 4u);
    rig.now += ms(50);
    for (const Send& send : sends) rig.outcome(send, Outcome::Rejected);
    // healthy: at-most-once messages are sent, at the rate learned from the rejections
    EXPECT_GE(rig.pass(ms(1500)).size(), 2u);
}

TEST(EndpointListUpdates, WatchIsRepeatedAfterAFailure) {
    Settings settings = make_settings();
    settings.must_subscribe = true;
    Rig rig(settings);
    EXPECT_EQ(all<Watch>(rig.decide()).size(), 1u);
    EXPECT_TRUE(all<Watch>(rig.decide()).empty());
    rig.sender.observe(ListEvent{ListUpdateKind::Failed, {}}, rig.now);
    EXPECT_TRUE(all<Watch>(rig.decide()).empty());
    rig.now += ms(600);
    EXPECT_EQ(all<Watch>(rig.decide()).size(), 1u);
}

TEST(Batches, ABatchIsOneCall) {
    Settings settings = make_settings();
    settings.max_calls = 2;
    Rig rig(settings);
    rig.list(0, 1, 2);
    for (MessageId id = 1; id <= 6; ++id) rig.arrive(id, 1);
    EXPECT_EQ(rig.sent(), (Ids{1, 2, 3, 4}));
}

TEST(Interface, InvalidSettingsThrowAndNameTheSetting) {
    Settings settings = make_settings();
    settings.max_calls = 0;
    try {
        Sender sender(settings, 1);
        FAIL();
    } catch (const std::invalid_argument& error) {
        EXPECT_NE(std::string(error.what()).find("slots"), std::string::npos);
    }
    settings = make_settings();
    settings.warm_up_time = ms(-1);
    EXPECT_THROW(Sender(settings, 1), std::invalid_argument);
    Rig rig;
    EXPECT_THROW(rig.arrive(1, 1, 99), std::invalid_argument);
}

// A list event with one invalid entry changes nothing, so the entries before it are not applied either.
TEST(Interface, AnInvalidListEventIsRejectedAsAWhole) {
    Rig rig;
    ListEvent event;
    event.kind = ListUpdateKind::Full;
    event.entries = {{0, 1, 0, 0, 0.0, Condition::Ready}, {1, 1, 0, 99, 0.0, Condition::Ready}};
    EXPECT_THROW(rig.sender.observe(event, rig.now), std::invalid_argument);
    event.entries = {{0, 1, 0, 0, 0.0, Condition::Ready}, {1, 1, 9, 0, 0.0, Condition::Ready}};
    EXPECT_THROW(rig.sender.observe(event, rig.now), std::invalid_argument);
    rig.arrive(1, 1);
    EXPECT_TRUE(rig.sends().empty());
}

TEST(Interface, UnknownMessagesAreIgnored) {
    Rig rig;
    rig.sender.observe(AbandonedEvent{77}, rig.now);
    rig.outcome(Send{77, 0, Time(0)}, Outcome::Delivered);
    EXPECT_TRUE(all<Send>(rig.decide()).empty());
}

// ---- removed endpoints ----

// An outcome or an ambiguous attempt may still refer to an endpoint that is no longer listed; once neither
// does, the endpoint is released.
TEST(RemovedEndpoint, IsReleasedOnceNothingRefersToIt) {
    Rig rig;
    rig.list(0, 1);
    rig.arrive(1, 1, kDedup);
    const auto sends = rig.sends();
    ASSERT_EQ(sends.size(), 1u);
    const auto released_within = [&rig](Time duration) {
        std::vector<EndpointId> found;
        for (const Time end = rig.now + duration; rig.now < end;) {
            rig.now += ms(100);
            for (const ReleaseEndpoint& release : all<ReleaseEndpoint>(rig.decide()))
                found.push_back(release.endpoint);
        }
        return found;
    };
    rig.list(0, 1, 0, 0.0, Condition::Removed);
    EXPECT_TRUE(released_within(ms(2000)).empty());
    rig.outcome(sends[0], Outcome::ConnectionLost);
    // a retry may be limited to the endpoint of the first attempt
    EXPECT_TRUE(released_within(ms(2000)).empty());
    EXPECT_EQ(released_within(ms(10000)), std::vector<EndpointId>{0});
}

std::size_t sends_with_malformed_responses(int every) {
    Rig rig;
    rig.list(0, 1);
    for (MessageId id = 1; id <= 30; ++id) rig.arrive(id, 1);
    std::map<MessageId, std::uint32_t> attempts;
    std::size_t count = 0;
    for (const Time end = rig.now + ms(3000); rig.now < end; rig.now += ms(10))
        for (const Send& send : rig.sends())
            rig.outcome(send, ++count % every == 0 ? Outcome::MalformedResponse : Outcome::Delivered,
                attempts[send.message]++, Time(0), ms(10));
    return count;
}
// A malformed response shows that the endpoint accepts calls; it is an outage only if almost all responses
// are malformed.
TEST(Health, OccasionalMalformedResponsesAreNoOutage) {
    EXPECT_GT(sends_with_malformed_responses(4), 30u);
    EXPECT_LT(sends_with_malformed_responses(1), 30u);
}

}  // namespace
}  // namespace cometspoke::testing
