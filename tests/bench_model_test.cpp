/// Tests of the models of the scale bench: endpoints, workload, forwarders, fleets, and the growth rates of
/// its table.
#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "endpoint_model.hpp"
#include "fleet_model.hpp"
#include "model_forwarder.hpp"
#include "scale_series.hpp"
#include "workload.hpp"

namespace cometspoke::bench {
namespace {

constexpr Time kSecond{1'000'000};

TEST(ModelEndpoints, RejectsCallsAboveItsLimitInEachSecond) {
    EndpointModel model;
    model.limit_per_s = 2.0;
    ModelEndpoints endpoints({model});
    EXPECT_EQ(endpoints.call(0, Time(0), kSecond).outcome, Outcome::Delivered);
    EXPECT_EQ(endpoints.call(0, Time(1), kSecond).outcome, Outcome::Delivered);
    const CallResult rejected = endpoints.call(0, Time(2), kSecond);
    EXPECT_EQ(rejected.outcome, Outcome::Rejected);
    ASSERT_TRUE(rejected.report);
    EXPECT_EQ(rejected.report->remaining_share, 0.0);
    EXPECT_EQ(rejected.report->limit_per_s, 2.0);
    EXPECT_EQ(endpoints.call(0, kSecond, kSecond).outcome, Outcome::Delivered);
    ASSERT_EQ(endpoints.seconds().size(), 2u);
    EXPECT_EQ(endpoints.seconds()[0].calls, 3u);
    EXPECT_EQ(endpoints.seconds()[0].turned_away, 1u);
    EXPECT_EQ(endpoints.seconds()[0].most_at_one, 3u);
}

TEST(ModelEndpoints, IsDownForAPeriodThenRecovers) {
    EndpointModel model;
    model.down_from = kSecond;
    model.down_until = 2 * kSecond;
    ModelEndpoints endpoints({model});
    EXPECT_EQ(endpoints.call(0, Time(0), kSecond).outcome, Outcome::Delivered);
    EXPECT_EQ(endpoints.call(0, kSecond, kSecond).outcome, Outcome::ConnectFailed);
    EXPECT_EQ(endpoints.call(0, 2 * kSecond, kSecond).outcome, Outcome::Delivered);
    EXPECT_EQ(endpoints.seconds()[1].to_down, 1u);
}

TEST(ModelEndpoints, UnresponsiveEndpointEndsCallAtTimeout) {
    EndpointModel model;
    model.down_from = Time(0);
    model.down_mode = DownMode::NoResponse;
    ModelEndpoints endpoints({model});
    const CallResult result = endpoints.call(0, Time(0), kSecond);
    EXPECT_EQ(result.outcome, Outcome::TimedOut);
    EXPECT_EQ(result.duration, kSecond);
}

TEST(Workload, DownDestinationsMatchTheShareAndExcludeTheLast) {
    for (const std::size_t destinations : {100, 1'000, 10'000, 310'000}) {
        const auto down = down_destinations(destinations, kDownShare);
        EXPECT_NEAR(static_cast<double>(down.size()), kDownShare * static_cast<double>(destinations), 1.0);
        EXPECT_LT(down.back(), static_cast<DestinationId>(destinations) - 1);
    }
    EXPECT_EQ(down_destinations(100, 1.0).size(), 100u);
}

TEST(ModelForwarder, DeliversAMessageAndCountsIt) {
    WorkloadOptions options;
    options.destinations = 1;
    ModelEndpoints endpoints(make_endpoints(options));
    ModelForwarder forwarder(make_settings(options), 1, endpoints);
    forwarder.add(make_list(options));
    forwarder.add(make_message(1, 0));
    forwarder.run_iteration(Time(0));
    EXPECT_EQ(forwarder.counts().sent, 1u);
    EXPECT_EQ(forwarder.held(), 1u);
    EXPECT_TRUE(forwarder.adds_up());
    for (Time now(0); forwarder.held() > 0 && now < kSecond;) {
        now = forwarder.next_due();
        forwarder.run_iteration(now);
    }
    EXPECT_EQ(forwarder.counts().served, 1u);
    EXPECT_TRUE(forwarder.adds_up());
}

TEST(FleetModel, CountsAddUpAcrossAnOutage) {
    FleetOptions options;
    options.forwarders = options.workload.forwarders = 5;
    options.workload.destinations = 50;
    options.workload.down_share = 0.2;
    options.workload.down_from = kSecond;
    options.workload.down_until = 2 * kSecond;
    const FleetReport report = run_fleet(options);
    EXPECT_TRUE(report.adds_up);
    EXPECT_GT(report.messages.offered, 0u);
    EXPECT_EQ(report.messages.offered,
        report.messages.served + report.messages.refused + report.messages.failed + report.held);
    EXPECT_EQ(report.seconds[0].to_down, 0u);
    EXPECT_GT(report.seconds[1].to_down, 0u);
    EXPECT_EQ(report.seconds[3].to_down, 0u);
}

TEST(FleetModel, ThrowsAboveTheHeapLimit) {
    FleetOptions options;
    options.forwarders = 100;
    options.max_heap_bytes = 1'000;
    EXPECT_THROW(run_fleet(options), FleetTooLarge);
}

TEST(Growth, IsMeasuredOverTheLastDecade) {
    const auto linear = growth_of({{1, 900}, {100, 200}, {1000, 2000}});
    ASSERT_TRUE(linear);
    EXPECT_NEAR(linear->per_unit, 2.0, 1e-9);
    ASSERT_TRUE(linear->exponent);
    EXPECT_NEAR(*linear->exponent, 1.0, 1e-9);
    const auto flat = growth_of({{100, 0}, {1000, 0}});
    ASSERT_TRUE(flat);
    EXPECT_EQ(flat->per_unit, 0.0);
    EXPECT_FALSE(flat->exponent);
    EXPECT_FALSE(growth_of({{1, 5}, {1000, 5}}));
}

}  // namespace
}  // namespace cometspoke::bench
