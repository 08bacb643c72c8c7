/// After each kind of outage a fleet must find out by itself that the endpoint is back, whatever the effect
/// of its messages and the settings. Each cell of the matrix runs a whole fleet in fleet_world.hpp.
#include <string_view>

#include "fleet_world.hpp"

namespace cometspoke::testing {
namespace {

constexpr Time kWarmUp = ms(10'000);       // of traffic before the outage
constexpr Time kAfterReturn = ms(40'000);  // of traffic after it
constexpr Time kJudged = ms(10'000);       // at the end of the traffic
constexpr double kServedAtEnd = 0.75;      // least share delivered of what is offered in kJudged
/// Least share of what the oracle, which alone knows of the return, delivers in the whole run.
constexpr double kOfOracle = 0.6;
constexpr double kServedSteadily = 0.95;  // least share delivered where nothing is out
constexpr double kOfferedPart = 0.6;      // of the capacity
constexpr std::size_t kKeys = 8;          // by sender, so that one waiting message leaves others free

struct MessageCase {
    const char* name;
    DeliverySemantics effect;
    DedupScope scope = DedupScope::All;
    Time window{0};
    bool sequential = false;
    Time deadline = ms(20'000);
};
constexpr MessageCase kMessages[] = {
    {"Retryable", DeliverySemantics::Retryable},
    {"Retryable2s", DeliverySemantics::Retryable, DedupScope::All, Time(0), false, ms(2'000)},
    {"DedupAll1s", DeliverySemantics::Deduplicated, DedupScope::All, ms(1'000)},
    {"DedupAll5s", DeliverySemantics::Deduplicated, DedupScope::All, ms(5'000)},
    {"DedupZone1s", DeliverySemantics::Deduplicated, DedupScope::Zone, ms(1'000)},
    {"DedupZone5s", DeliverySemantics::Deduplicated, DedupScope::Zone, ms(5'000)},
    {"DedupEndpoint1s", DeliverySemantics::Deduplicated, DedupScope::Endpoint, ms(1'000)},
    {"DedupEndpoint5s", DeliverySemantics::Deduplicated, DedupScope::Endpoint, ms(5'000)},
    {"Sequential", DeliverySemantics::Retryable, DedupScope::All, Time(0), true},
    {"Fragile", DeliverySemantics::AtMostOnce},
    {"Fragile5s", DeliverySemantics::AtMostOnce, DedupScope::All, Time(0), false, ms(5'000)},
    {"FragileSequential", DeliverySemantics::AtMostOnce, DedupScope::All, Time(0), true},
};

const MessageCase& message_named(std::string_view name) {
    return *std::find_if(std::begin(kMessages), std::end(kMessages),
        [name](const MessageCase& message) { return message.name == name; });
}

struct OutageCase {
    const char* name;
    OutageKind kind;
};
constexpr OutageCase kOutages[] = {
    {"RefusesConnects", OutageKind::RefusesConnects},
    {"Hangs", OutageKind::Hangs},
    {"ServerErrors", OutageKind::ServerErrors},
    {"Resets", OutageKind::Resets},
    {"Shut", OutageKind::Shut},
    {"ShutUntil", OutageKind::ShutUntil},
    {"Slow", OutageKind::Slow},
};

constexpr Time kShort = ms(6'000);  // less than a warm-up
constexpr Time kLong = ms(12'000);  // more than one
constexpr Time kBlip = ms(300);     // about one failure for each sender

/// A deployment that differs from the plain one in one respect.
struct DeploymentCase {
    const char* name;
    void (*change)(FleetPlan&);
};
void senders(FleetPlan& plan, std::size_t count) { plan.settings.instance_count = count; }
void one_sender(FleetPlan& plan) {
    senders(plan, 1);
    plan.settings.max_calls = 24;  // as many as the plain fleet has
}
void large_fleet(FleetPlan& plan) {
    senders(plan, 350);
    plan.endpoints[0].capacity_per_s = 100.0;
}
void limit(FleetPlan& plan) { plan.endpoints[0].limit_per_s = plan.endpoints[0].capacity_per_s; }
void no_zone(FleetPlan& plan) {
    plan.settings.zones = 0;
    plan.settings.zone = std::nullopt;
}
void one_slot(FleetPlan& plan) {
    plan.settings.max_calls = 1;
    plan.endpoints[0].capacity_per_s = 30.0;  // what three slots carry at 100 ms a call
}
void two_endpoints(FleetPlan& plan, double part_of_first) {
    plan.endpoints.push_back(plan.endpoints[0]);
    plan.endpoints[0].capacity_per_s *= part_of_first;
    plan.endpoints[1].capacity_per_s *= 1.0 - part_of_first;
    plan.endpoints[1].zone = plan.settings.zones - 1;
}
// The other endpoint alone takes half of what is offered.
void larger_of_two_out(FleetPlan& plan) {
    two_endpoints(plan, 0.7);
    plan.endpoints[1].stays_up = true;
}
void routes_apart(FleetPlan& plan) { plan.settings.kinds[0].limits_per_endpoint = true; }

const DeploymentCase kDeployments[] = {
    {"Plain", [](FleetPlan&) {}},
    {"NoZone", no_zone},
    {"OneTenant", [](FleetPlan& plan) { plan.settings.tenants = {{100.0}}; }},
    {"OneSlot", one_slot},
    {"OneAttempt", [](FleetPlan& plan) { plan.settings.max_attempts = 1; }},
    {"NoCancel", [](FleetPlan& plan) { plan.settings.can_cancel = false; }},
    {"ListedRate", [](FleetPlan& plan) { plan.settings.listed_rates = true; }},
    {"Limit", limit},
    {"LimitTold", [](FleetPlan& plan) { limit(plan), plan.endpoints[0].tells_wait = true; }},
    {"FewConnections", [](FleetPlan& plan) { plan.endpoints[0].most_connections = 10; }},
    {"TwoEndpoints", [](FleetPlan& plan) { two_endpoints(plan, 0.5); }},
    {"TwoRoutesApart", [](FleetPlan& plan) { two_endpoints(plan, 0.5), routes_apart(plan); }},
    {"LargerOfTwoOut", larger_of_two_out},
    {"LargerRouteOut", [](FleetPlan& plan) { larger_of_two_out(plan), routes_apart(plan); }},
    {"OneSender", one_sender},
    {"OneSenderLimit", [](FleetPlan& plan) { one_sender(plan), limit(plan); }},
    {"Fleet30", [](FleetPlan& plan) { senders(plan, 30); }},
    {"Fleet30Limit", [](FleetPlan& plan) { senders(plan, 30), limit(plan); }},
    {"Fleet350", large_fleet},
    {"Bare",
        [](FleetPlan& plan) {
            one_slot(plan);
            no_zone(plan);
            plan.settings.max_attempts = 1;
            plan.settings.can_cancel = false;
        }},
};

struct Cell {
    const MessageCase* message = nullptr;
    const OutageCase* outage = nullptr;
    const DeploymentCase* deployment = nullptr;
    Time length{0};
};

Settings settings_for(const MessageCase& message) {
    Settings settings = make_settings();
    ClassSettings kind = make_class(message.effect);
    kind.dedup_scope = message.scope;
    kind.dedup_window = message.window;
    kind.sequential = message.sequential;
    kind.deadline = message.deadline;
    kind.target_latency = std::min(kind.target_latency, message.deadline / 2);
    settings.classes = {kind};
    settings.kinds.resize(1);
    settings.tenants.clear();
    settings.instance_count = 3;
    settings.max_held_messages = 1'000;
    return settings;
}

FleetPlan plan_for(const Cell& cell) {
    FleetPlan plan;
    plan.settings = settings_for(*cell.message);
    plan.endpoints.resize(1);
    cell.deployment->change(plan);
    double capacity_per_s = 0.0;
    for (EndpointPlan& endpoint : plan.endpoints) {
        capacity_per_s += endpoint.capacity_per_s;
        if (cell.outage == nullptr || endpoint.stays_up) continue;
        endpoint.outages = {{cell.outage->kind, kWarmUp, kWarmUp + cell.length, cell.length > kBlip}};
    }
    plan.offered_per_s = kOfferedPart * capacity_per_s;
    plan.keys = cell.message->sequential ? kKeys : 0;
    plan.traffic_ends = kWarmUp + cell.length + kAfterReturn;
    return plan;
}

/// The longest time from the return to the first delivery of a call sent after it. All senders together try
/// at least three times in a `overload_window`, each at most one and a half times as far apart as the even
/// part: three `overload_window` leave room for the few messages that a large fleet holds. A call that hangs
/// may hold the only slot, or the turn of its key, until its time-out, at the deadline at the latest. A told
/// wait ends with the outage.
Time longest_until_delivery(const Cell& cell, const FleetPlan& plan) {
    const Time hung = cell.outage->kind == OutageKind::Hangs ? plan.settings.classes[0].deadline : Time(0);
    return 3 * plan.settings.overload_window + hung + 2 * plan.endpoints[0].service_time;
}

std::string name_of(const Cell& cell) {
    return std::string(cell.message->name) + "_" + cell.outage->name + "_" + cell.deployment->name + "_" +
           std::to_string(cell.length.count() / 1000) + "ms";
}
void PrintTo(const Cell& cell, std::ostream* out) { *out << name_of(cell); }

double share(std::size_t part, std::size_t whole) {
    return static_cast<double>(part) / static_cast<double>(std::max<std::size_t>(1, whole));
}

/// A checker with one message of a fragile class, to show that each breach is found.
class RuleCheckerTest : public ::testing::Test {
protected:
    RuleCheckerTest() {
        event_.message = 1;
        event_.time_left = settings_.classes[0].deadline;
        checker_.arrived(0, event_, kRunStart);
    }
    void send(MessageId message, Time now) { checker_.sent(0, {message, 0, ms(1'000), std::nullopt}, now); }
    void end(MessageId message, Outcome outcome, Time sent, Time now, Time wait = Time(0)) {
        OutcomeEvent event;
        event.message = message;
        event.outcome = outcome;
        event.retry_after = wait;
        checker_.ended(0, event, sent, now);
    }
    void arrive(MessageId message) {
        event_.message = message;
        checker_.arrived(0, event_, kRunStart);
    }

    Settings settings_ = settings_for(message_named("Fragile"));
    std::vector<EndpointPlan> endpoints_ = std::vector<EndpointPlan>(1);
    MessageEvent event_;
    RuleChecker checker_{settings_, endpoints_};
};

TEST_F(RuleCheckerTest, AcceptsARepeatOfWhatNeverRan) {
    ASSERT_EQ(settings_.classes[0].delivery, DeliverySemantics::AtMostOnce);
    send(1, kRunStart);
    end(1, Outcome::Rejected, kRunStart, kRunStart + ms(1));
    send(1, kRunStart + ms(2));
    end(1, Outcome::Delivered, kRunStart + ms(2), kRunStart + ms(3));
    checker_.overdue(1);
    EXPECT_EQ(checker_.breach(), "");
}

TEST_F(RuleCheckerTest, FindsARepeatOfWhatMayHaveRun) {
    send(1, kRunStart);
    end(1, Outcome::TimedOut, kRunStart, kRunStart + ms(1));
    send(1, kRunStart + ms(2));
    EXPECT_NE(checker_.breach(), "");
}

TEST_F(RuleCheckerTest, FindsMoreCallsThanSlots) {
    for (MessageId message = 2; message <= settings_.max_calls + 1; ++message) arrive(message);
    for (MessageId message = 1; message <= settings_.max_calls; ++message) send(message, kRunStart);
    EXPECT_EQ(checker_.breach(), "");
    send(settings_.max_calls + 1, kRunStart);
    EXPECT_NE(checker_.breach(), "");
}

TEST_F(RuleCheckerTest, FindsACallInsideAToldWait) {
    arrive(2);
    send(1, kRunStart);
    end(1, Outcome::Rejected, kRunStart, kRunStart + ms(1), ms(500));
    send(2, kRunStart + ms(500));
    EXPECT_NE(checker_.breach(), "");
}

TEST_F(RuleCheckerTest, FindsAMissingAnswer) {
    checker_.overdue(1);
    EXPECT_NE(checker_.breach(), "");
}

TEST_F(RuleCheckerTest, FindsASecondAnswer) {
    checker_.refused(0, 1, kRunStart + ms(1));
    checker_.failed(0, 1, kRunStart + ms(2));
    EXPECT_NE(checker_.breach(), "");
}

TEST(ModelledEndpoint, WarmsUpEvenlyAndFallsOverBeyondItsColdCapacity) {
    const Settings settings = make_settings();
    EndpointPlan plan;
    plan.outages = {{OutageKind::RefusesConnects, Time(0), ms(1'000), true}};
    ModelledEndpoint endpoint(plan, settings);
    const Time back = kRunStart + ms(1'000);
    EXPECT_EQ(endpoint.present_capacity(back - ms(1)), 0.0);
    EXPECT_DOUBLE_EQ(endpoint.warmth(back), settings.cold_capacity_share);
    EXPECT_DOUBLE_EQ(
        endpoint.warmth(back + settings.warm_up_time / 2), (1.0 + settings.cold_capacity_share) / 2.0);
    EXPECT_DOUBLE_EQ(endpoint.warmth(back + settings.warm_up_time), 1.0);
    // 2 x 0.2 x 50 calls a second in 2 s: N = 40, and it stands N + 2 sqrt N + 2 = 54.6
    for (int call = 0; call < 54; ++call) EXPECT_FALSE(endpoint.falls_over(back));
    EXPECT_TRUE(endpoint.falls_over(back));
    EXPECT_NE(endpoint.outage_at(back), nullptr);
    EXPECT_EQ(endpoint.relapses(), 1U);
}

struct SteadyCell {
    const MessageCase* message = nullptr;
    const DeploymentCase* deployment = nullptr;
};
void PrintTo(const SteadyCell& cell, std::ostream* out) {
    *out << cell.message->name << "_" << cell.deployment->name;
}

class Steady : public ::testing::TestWithParam<SteadyCell> {};

// What fails here fails without any outage.
TEST_P(Steady, DeliversWhatIsOffered) {
    FleetPlan plan = plan_for({GetParam().message, nullptr, GetParam().deployment, Time(0)});
    plan.traffic_ends = kWarmUp * 2;
    FleetWorld world(plan);
    world.run();
    const std::size_t offered = world.offered(Time(0), plan.traffic_ends);
    EXPECT_GE(share(world.served(Time(0), plan.traffic_ends), offered), kServedSteadily);
    EXPECT_EQ(world.relapses(), 0U);
}

class Recovery : public ::testing::TestWithParam<Cell> {};

TEST_P(Recovery, DeliversAgainAfterTheReturn) {
    const Cell& cell = GetParam();
    const FleetPlan plan = plan_for(cell);
    const Time back = kWarmUp + cell.length;
    FleetWorld world(plan);
    world.run();
    if (HasFailure()) return;

    const auto first = world.first_served_since(back);
    const Time longest = longest_until_delivery(cell, plan);
    EXPECT_TRUE(first && *first - back <= longest)
        << "first delivery " << (first ? std::to_string((*first - back).count() / 1000) + " ms" : "never")
        << " after the return, at most " << longest.count() / 1000 << " ms";

    const Time judged = plan.traffic_ends - kJudged;
    const std::size_t late = world.served(judged, plan.traffic_ends);
    EXPECT_GE(share(late, world.offered(judged, plan.traffic_ends)), kServedAtEnd) << "at the end";

    const std::size_t all = world.served(Time(0), plan.traffic_ends);
    EXPECT_GE(share(all, world.served_by_oracle()), kOfOracle)
        << "delivered " << all << " of " << world.offered(Time(0), plan.traffic_ends) << ", the oracle "
        << world.served_by_oracle();
    EXPECT_EQ(world.relapses(), 0U) << "falls over again under its cold capacity";
}

/// Each pair of message and outage, of message and deployment, and of outage and deployment, and each length.
std::vector<Cell> every_pair() {
    std::vector<Cell> cells;
    for (std::size_t m = 0; m < std::size(kMessages); ++m)
        for (std::size_t d = 0; d < std::size(kDeployments); ++d) {
            const OutageCase& outage = kOutages[(m + d) % std::size(kOutages)];
            const Time length = (m + d / std::size(kOutages)) % 2 == 0 ? kShort : kLong;
            cells.push_back({&kMessages[m], &outage, &kDeployments[d], length});
        }
    return cells;
}
/// Fragile messages bring the least news: all their outages in all deployments.
std::vector<Cell> every_fragile_one() {
    std::vector<Cell> cells;
    for (const OutageCase& outage : kOutages)
        for (const DeploymentCase& deployment : kDeployments)
            cells.push_back({&message_named("Fragile5s"), &outage, &deployment, kLong});
    return cells;
}
/// One or few failures, and then all is as before.
std::vector<Cell> every_blip() {
    std::vector<Cell> cells;
    for (const MessageCase& message : kMessages)
        for (const OutageCase& outage : kOutages)
            cells.push_back({&message, &outage, &kDeployments[0], kBlip});
    return cells;
}

std::vector<SteadyCell> every_deployment() {
    std::vector<SteadyCell> cells;
    for (const char* name : {"Retryable", "Fragile"})
        for (const DeploymentCase& deployment : kDeployments)
            cells.push_back({&message_named(name), &deployment});
    return cells;
}

std::string cell_name(const ::testing::TestParamInfo<Cell>& info) { return name_of(info.param); }

std::string steady_name(const ::testing::TestParamInfo<SteadyCell>& info) {
    return std::string(info.param.message->name) + "_" + info.param.deployment->name;
}

INSTANTIATE_TEST_SUITE_P(All, Steady, ::testing::ValuesIn(every_deployment()), steady_name);
INSTANTIATE_TEST_SUITE_P(Pairs, Recovery, ::testing::ValuesIn(every_pair()), cell_name);
INSTANTIATE_TEST_SUITE_P(AllFragile, Recovery, ::testing::ValuesIn(every_fragile_one()), cell_name);
INSTANTIATE_TEST_SUITE_P(Blips, Recovery, ::testing::ValuesIn(every_blip()), cell_name);

}  // namespace
}  // namespace cometspoke::testing
