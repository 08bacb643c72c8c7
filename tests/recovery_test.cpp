/// After each kind of outage a fleet must detect by itself that the endpoint has recovered, whatever the
/// delivery semantics of its messages and the settings. Each cell of the matrix simulates a whole fleet
/// (fleet_world.hpp).
#include <string_view>

#include "fleet_world.hpp"

namespace cometspoke::testing {
namespace {

constexpr Time kTrafficBeforeOutage = ms(10'000);
constexpr Time kTrafficAfterOutage = ms(40'000);
constexpr Time kFinalPeriod = ms(10'000);  // at the end of the traffic; the delivered share is checked in it
constexpr double kMinFinalDeliveredShare = 0.75;  // of the messages offered in kFinalPeriod
/// Of the messages that the oracle, which knows when the endpoint recovers, delivers in the whole run.
constexpr double kMinShareOfOracle = 0.6;
constexpr double kMinSteadyDeliveredShare = 0.95;  // of the messages offered without any outage
constexpr double kOfferedShareOfCapacity = 0.6;    // of the capacity of all endpoints
constexpr std::size_t kKeysPerSender = 8;          // so that one waiting message does not block all others

struct MessageCase {
    const char* name;
    DeliverySemantics delivery;
    DedupScope dedup_scope = DedupScope::All;
    Time dedup_window{0};
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
    {"AtMostOnce", DeliverySemantics::AtMostOnce},
    {"AtMostOnce5s", DeliverySemantics::AtMostOnce, DedupScope::All, Time(0), false, ms(5'000)},
    {"AtMostOnceSequential", DeliverySemantics::AtMostOnce, DedupScope::All, Time(0), true},
};

const MessageCase& find_message_case(std::string_view name) {
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
    {"Rejects", OutageKind::Rejects},
    {"RejectsWithRetryAfter", OutageKind::RejectsWithRetryAfter},
    {"Slow", OutageKind::Slow},
};

constexpr Time kShortOutage = ms(6'000);  // less than warm_up_time
constexpr Time kLongOutage = ms(12'000);  // more than warm_up_time
constexpr Time kBriefOutage = ms(300);    // about one failure per sender

/// A deployment that differs from the default one in one respect.
struct DeploymentCase {
    const char* name;
    void (*change)(FleetPlan&);
};
void set_sender_count(FleetPlan& plan, std::size_t count) { plan.settings.instance_count = count; }
void use_one_sender(FleetPlan& plan) {
    set_sender_count(plan, 1);
    plan.settings.max_calls = 24;  // as many as the default fleet has
}
void use_large_fleet(FleetPlan& plan) {
    set_sender_count(plan, 350);
    plan.endpoints[0].capacity_per_s = 100.0;
}
void limit_to_capacity(FleetPlan& plan) { plan.endpoints[0].limit_per_s = plan.endpoints[0].capacity_per_s; }
void remove_zones(FleetPlan& plan) {
    plan.settings.zones = 0;
    plan.settings.zone = std::nullopt;
}
void use_one_call_per_sender(FleetPlan& plan) {
    plan.settings.max_calls = 1;
    plan.endpoints[0].capacity_per_s = 30.0;  // three calls at a time, each of 100 ms
}
void use_two_endpoints(FleetPlan& plan, double share_of_first) {
    plan.endpoints.push_back(plan.endpoints[0]);
    plan.endpoints[0].capacity_per_s *= share_of_first;
    plan.endpoints[1].capacity_per_s *= 1.0 - share_of_first;
    plan.endpoints[1].zone = plan.settings.zones - 1;
}
// The remaining endpoint has capacity for half of the offered messages.
void fail_larger_of_two(FleetPlan& plan) {
    use_two_endpoints(plan, 0.7);
    plan.endpoints[1].is_spared = true;
}
void use_limits_per_endpoint(FleetPlan& plan) { plan.settings.kinds[0].limits_per_endpoint = true; }

const DeploymentCase kDeployments[] = {
    {"Default", [](FleetPlan&) {}},
    {"NoZone", remove_zones},
    {"OneTenant", [](FleetPlan& plan) { plan.settings.tenants = {{100.0}}; }},
    {"OneCall", use_one_call_per_sender},
    {"OneAttempt", [](FleetPlan& plan) { plan.settings.max_attempts = 1; }},
    {"NoCancel", [](FleetPlan& plan) { plan.settings.can_cancel = false; }},
    {"ListedRate", [](FleetPlan& plan) { plan.settings.listed_rates = true; }},
    {"Limit", limit_to_capacity},
    {"LimitWithRetryAfter",
        [](FleetPlan& plan) { limit_to_capacity(plan), plan.endpoints[0].sends_retry_after = true; }},
    {"FewConnections", [](FleetPlan& plan) { plan.endpoints[0].max_connections = 10; }},
    {"TwoEndpoints", [](FleetPlan& plan) { use_two_endpoints(plan, 0.5); }},
    {"TwoEndpointsWithOwnLimits",
        [](FleetPlan& plan) { use_two_endpoints(plan, 0.5), use_limits_per_endpoint(plan); }},
    {"LargerOfTwoOut", fail_larger_of_two},
    {"LargerOfTwoOutWithOwnLimits",
        [](FleetPlan& plan) { fail_larger_of_two(plan), use_limits_per_endpoint(plan); }},
    {"OneSender", use_one_sender},
    {"OneSenderLimit", [](FleetPlan& plan) { use_one_sender(plan), limit_to_capacity(plan); }},
    {"Fleet30", [](FleetPlan& plan) { set_sender_count(plan, 30); }},
    {"Fleet30Limit", [](FleetPlan& plan) { set_sender_count(plan, 30), limit_to_capacity(plan); }},
    {"Fleet350", use_large_fleet},
    {"Minimal",
        [](FleetPlan& plan) {
            use_one_call_per_sender(plan);
            remove_zones(plan);
            plan.settings.max_attempts = 1;
            plan.settings.can_cancel = false;
        }},
};

struct Cell {
    const MessageCase* message = nullptr;
    const OutageCase* outage = nullptr;
    const DeploymentCase* deployment = nullptr;
    Time outage_duration{0};
};

Settings settings_for(const MessageCase& message) {
    Settings settings = make_settings();
    ClassSettings class_settings = make_class(message.delivery);
    class_settings.dedup_scope = message.dedup_scope;
    class_settings.dedup_window = message.dedup_window;
    class_settings.sequential = message.sequential;
    class_settings.deadline = message.deadline;
    class_settings.target_latency = std::min(class_settings.target_latency, message.deadline / 2);
    settings.classes = {class_settings};
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
        if (cell.outage == nullptr || endpoint.is_spared) continue;
        endpoint.outages = {{cell.outage->kind, kTrafficBeforeOutage,
            kTrafficBeforeOutage + cell.outage_duration, cell.outage_duration > kBriefOutage}};
    }
    plan.offered_per_s = kOfferedShareOfCapacity * capacity_per_s;
    plan.keys_per_sender = cell.message->sequential ? kKeysPerSender : 0;
    plan.traffic_ends = kTrafficBeforeOutage + cell.outage_duration + kTrafficAfterOutage;
    return plan;
}

/// The maximum time from the end of the outage to the first delivery of a call sent after it. All senders
/// together send at least three probes per `overload_window`, and the interval between two probes of a sender
/// is at most one and a half times that of a fair share. Three `overload_window` also suffice for a large
/// fleet, which holds only few messages. A call that hangs may occupy the only call that a sender may have
/// open, or block its key, until its timeout, which is at the deadline at the latest. A retry-after ends with
/// the outage.
Time max_time_to_first_delivery(const Cell& cell, const FleetPlan& plan) {
    const Time hanging_call =
        cell.outage->kind == OutageKind::Hangs ? plan.settings.classes[0].deadline : Time(0);
    return 3 * plan.settings.overload_window + hanging_call + 2 * plan.endpoints[0].service_time;
}

std::string cell_text(const Cell& cell) {
    return std::string(cell.message->name) + "_" + cell.outage->name + "_" + cell.deployment->name + "_" +
           std::to_string(cell.outage_duration.count() / 1000) + "ms";
}
void PrintTo(const Cell& cell, std::ostream* out) { *out << cell_text(cell); }

double share(std::size_t count, std::size_t whole) {
    return static_cast<double>(count) / static_cast<double>(std::max<std::size_t>(1, whole));
}

/// A checker with one message of an at-most-once class, to show that each violation is found.
class RuleCheckerTest : public ::testing::Test {
protected:
    RuleCheckerTest() {
        event_.message = 1;
        event_.time_left = settings_.classes[0].deadline;
        checker_.arrived(0, event_, kRunStart);
    }
    void send(MessageId message, Time now) { checker_.sent(0, {message, 0, ms(1'000), std::nullopt}, now); }
    void end(MessageId message, Outcome outcome, Time sent, Time now, Time retry_after = Time(0)) {
        OutcomeEvent event;
        event.message = message;
        event.outcome = outcome;
        event.retry_after = retry_after;
        checker_.ended(0, event, sent, now);
    }
    void arrive(MessageId message) {
        event_.message = message;
        checker_.arrived(0, event_, kRunStart);
    }

    Settings settings_ = settings_for(find_message_case("AtMostOnce"));
    std::vector<EndpointPlan> endpoints_ = std::vector<EndpointPlan>(1);
    MessageEvent event_;
    RuleChecker checker_{settings_, endpoints_};
};

TEST_F(RuleCheckerTest, AcceptsResendingAfterARejection) {
    ASSERT_EQ(settings_.classes[0].delivery, DeliverySemantics::AtMostOnce);
    send(1, kRunStart);
    end(1, Outcome::Rejected, kRunStart, kRunStart + ms(1));
    send(1, kRunStart + ms(2));
    end(1, Outcome::Delivered, kRunStart + ms(2), kRunStart + ms(3));
    checker_.check_deadline(1);
    EXPECT_EQ(checker_.violation(), "");
}

TEST_F(RuleCheckerTest, FindsResendingAfterAnAmbiguousAttempt) {
    send(1, kRunStart);
    end(1, Outcome::TimedOut, kRunStart, kRunStart + ms(1));
    send(1, kRunStart + ms(2));
    EXPECT_NE(checker_.violation(), "");
}

TEST_F(RuleCheckerTest, FindsMoreCallsThanAllowed) {
    for (MessageId message = 2; message <= settings_.max_calls + 1; ++message) arrive(message);
    for (MessageId message = 1; message <= settings_.max_calls; ++message) send(message, kRunStart);
    EXPECT_EQ(checker_.violation(), "");
    send(settings_.max_calls + 1, kRunStart);
    EXPECT_NE(checker_.violation(), "");
}

TEST_F(RuleCheckerTest, FindsACallBeforeRetryAfterHasPassed) {
    arrive(2);
    send(1, kRunStart);
    end(1, Outcome::Rejected, kRunStart, kRunStart + ms(1), ms(500));
    send(2, kRunStart + ms(500));
    EXPECT_NE(checker_.violation(), "");
}

TEST_F(RuleCheckerTest, FindsAMissingFinalOutcome) {
    checker_.check_deadline(1);
    EXPECT_NE(checker_.violation(), "");
}

TEST_F(RuleCheckerTest, FindsASecondFinalOutcome) {
    checker_.refused(0, 1, kRunStart + ms(1));
    checker_.failed(0, 1, kRunStart + ms(2));
    EXPECT_NE(checker_.violation(), "");
}

TEST(SimulatedEndpoint, WarmsUpLinearlyAndFailsBeyondItsColdCapacity) {
    const Settings settings = make_settings();
    EndpointPlan plan;
    plan.outages = {{OutageKind::RefusesConnects, Time(0), ms(1'000), true}};
    SimulatedEndpoint endpoint(plan, settings);
    const Time outage_end = kRunStart + ms(1'000);
    EXPECT_EQ(endpoint.present_capacity(outage_end - ms(1)), 0.0);
    EXPECT_DOUBLE_EQ(endpoint.capacity_share(outage_end), settings.cold_capacity_share);
    EXPECT_DOUBLE_EQ(endpoint.capacity_share(outage_end + settings.warm_up_time / 2),
        (1.0 + settings.cold_capacity_share) / 2.0);
    EXPECT_DOUBLE_EQ(endpoint.capacity_share(outage_end + settings.warm_up_time), 1.0);
    // 2 x 0.2 x 50 calls per second in 2 s: N = 40, and it withstands N + 2 sqrt N + 2 = 54.6 calls
    for (int call = 0; call < 54; ++call) EXPECT_FALSE(endpoint.is_overloaded_by_call(outage_end));
    EXPECT_TRUE(endpoint.is_overloaded_by_call(outage_end));
    EXPECT_NE(endpoint.outage_at(outage_end), nullptr);
    EXPECT_EQ(endpoint.overload_outages(), 1U);
}

struct SteadyCell {
    const MessageCase* message = nullptr;
    const DeploymentCase* deployment = nullptr;
};
void PrintTo(const SteadyCell& cell, std::ostream* out) {
    *out << cell.message->name << "_" << cell.deployment->name;
}

class SteadyOperation : public ::testing::TestWithParam<SteadyCell> {};

// A failure here is independent of outages.
TEST_P(SteadyOperation, DeliversTheOfferedMessages) {
    FleetPlan plan = plan_for({GetParam().message, nullptr, GetParam().deployment, Time(0)});
    plan.traffic_ends = kTrafficBeforeOutage * 2;
    FleetWorld world(plan);
    world.run();
    const std::size_t offered = world.offered(Time(0), plan.traffic_ends);
    EXPECT_GE(share(world.delivered(Time(0), plan.traffic_ends), offered), kMinSteadyDeliveredShare);
    EXPECT_EQ(world.overload_outages(), 0U);
}

class Recovery : public ::testing::TestWithParam<Cell> {};

TEST_P(Recovery, DeliversAgainAfterTheOutage) {
    const Cell& cell = GetParam();
    const FleetPlan plan = plan_for(cell);
    const Time outage_end = kTrafficBeforeOutage + cell.outage_duration;
    FleetWorld world(plan);
    world.run();
    if (HasFailure()) return;

    const auto first = world.first_delivery_sent_since(outage_end);
    const Time max_time = max_time_to_first_delivery(cell, plan);
    EXPECT_TRUE(first && *first - outage_end <= max_time)
        << "first delivery "
        << (first ? std::to_string((*first - outage_end).count() / 1000) + " ms" : "never")
        << " after the end of the outage, at most " << max_time.count() / 1000 << " ms";

    const Time final_period_start = plan.traffic_ends - kFinalPeriod;
    const std::size_t delivered_in_final_period = world.delivered(final_period_start, plan.traffic_ends);
    EXPECT_GE(share(delivered_in_final_period, world.offered(final_period_start, plan.traffic_ends)),
        kMinFinalDeliveredShare)
        << "in the final period";

    const std::size_t delivered_in_total = world.delivered(Time(0), plan.traffic_ends);
    EXPECT_GE(share(delivered_in_total, world.delivered_by_oracle()), kMinShareOfOracle)
        << "delivered " << delivered_in_total << " of " << world.offered(Time(0), plan.traffic_ends)
        << ", the oracle " << world.delivered_by_oracle();
    EXPECT_EQ(world.overload_outages(), 0U) << "overloaded again at its cold capacity";
}

/// Covers each pair of message and outage, of message and deployment, and of outage and deployment, and each
/// duration.
std::vector<Cell> all_pairs() {
    std::vector<Cell> cells;
    for (std::size_t message_index = 0; message_index < std::size(kMessages); ++message_index)
        for (std::size_t deployment_index = 0; deployment_index < std::size(kDeployments);
             ++deployment_index) {
            const OutageCase& outage = kOutages[(message_index + deployment_index) % std::size(kOutages)];
            const Time outage_duration = (message_index + deployment_index / std::size(kOutages)) % 2 == 0
                                             ? kShortOutage
                                             : kLongOutage;
            cells.push_back(
                {&kMessages[message_index], &outage, &kDeployments[deployment_index], outage_duration});
        }
    return cells;
}
/// At-most-once messages reveal the least about an endpoint, so all outages are tested in all deployments.
std::vector<Cell> all_at_most_once_cells() {
    std::vector<Cell> cells;
    for (const OutageCase& outage : kOutages)
        for (const DeploymentCase& deployment : kDeployments)
            cells.push_back({&find_message_case("AtMostOnce5s"), &outage, &deployment, kLongOutage});
    return cells;
}
/// Outages with one or few failures, after which the endpoint has its full capacity again.
std::vector<Cell> all_brief_outages() {
    std::vector<Cell> cells;
    for (const MessageCase& message : kMessages)
        for (const OutageCase& outage : kOutages)
            cells.push_back({&message, &outage, &kDeployments[0], kBriefOutage});
    return cells;
}

std::vector<SteadyCell> all_steady_cells() {
    std::vector<SteadyCell> cells;
    for (const char* name : {"Retryable", "AtMostOnce"})
        for (const DeploymentCase& deployment : kDeployments)
            cells.push_back({&find_message_case(name), &deployment});
    return cells;
}

std::string cell_name(const ::testing::TestParamInfo<Cell>& info) { return cell_text(info.param); }

std::string steady_name(const ::testing::TestParamInfo<SteadyCell>& info) {
    return std::string(info.param.message->name) + "_" + info.param.deployment->name;
}

INSTANTIATE_TEST_SUITE_P(All, SteadyOperation, ::testing::ValuesIn(all_steady_cells()), steady_name);
INSTANTIATE_TEST_SUITE_P(Pairs, Recovery, ::testing::ValuesIn(all_pairs()), cell_name);
INSTANTIATE_TEST_SUITE_P(AllAtMostOnce, Recovery, ::testing::ValuesIn(all_at_most_once_cells()), cell_name);
INSTANTIATE_TEST_SUITE_P(BriefOutages, Recovery, ::testing::ValuesIn(all_brief_outages()), cell_name);

}  // namespace
}  // namespace cometspoke::testing
