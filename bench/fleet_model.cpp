#include "fleet_model.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <string>

#include "heap_meter.hpp"

namespace cometspoke::bench {
namespace {

/// One forwarder and the arrival process of its messages.
struct Member {
    Member(const FleetOptions& options, std::uint64_t seed, ModelEndpoints& endpoints)
        : forwarder(make_settings(options.workload), seed, endpoints), random(seed) {}

    Time next_due() const { return std::min(next_arrival, forwarder.next_due()); }

    ModelForwarder forwarder;
    std::mt19937_64 random;
    Time next_arrival{0};
};

struct Wakeup {
    Time at{0};
    std::size_t member = 0;
    bool operator>(const Wakeup& other) const {
        return at != other.at ? at > other.at : member > other.member;
    }
};

class Fleet {
public:
    explicit Fleet(const FleetOptions& options)
        : options_(options),
          heap_before_(heap_in_use()),
          start_(std::chrono::steady_clock::now()),
          endpoints_(make_endpoints(options.workload)) {}

    FleetReport run() {
        add_members();
        Time now(0);
        while (!wakeups_.empty() && wakeups_.top().at < options_.span && !time_bound_reached()) {
            const Wakeup wakeup = wakeups_.top();
            wakeups_.pop();
            now = std::max(now, wakeup.at);
            run_member(*members_[wakeup.member], now);
            wakeups_.push({members_[wakeup.member]->next_due(), wakeup.member});
        }
        return report(time_bound_reached() ? now : options_.span);
    }

private:
    bool time_bound_reached() const { return std::chrono::steady_clock::now() - start_ > options_.bound; }

    void add_members() {
        const ListEvent list = make_list(options_.workload);
        for (std::size_t i = 0; i < options_.forwarders && !time_bound_reached(); ++i) {
            members_.push_back(std::make_unique<Member>(options_, i + 1, endpoints_));
            Member& member = *members_.back();
            member.forwarder.add(list);
            member.forwarder.run_iteration(Time(0));
            member.forwarder.reset_costs();
            member.next_arrival = draw_arrival_gap(member);
            wakeups_.push({member.next_due(), i});
            if (i == 0) check_heap_size();
        }
    }
    void check_heap_size() const {
        const std::size_t fleet_heap_bytes = (heap_in_use() - heap_before_) * options_.forwarders;
        if (fleet_heap_bytes <= options_.max_heap_bytes) return;
        throw FleetTooLarge("over " + std::to_string(options_.max_heap_bytes) + " bytes of heap");
    }

    void run_member(Member& member, Time now) {
        if (member.next_arrival <= now) {
            member.forwarder.add(make_message(next_message_++, draw_destination(member)));
            member.next_arrival = now + draw_arrival_gap(member);
        }
        member.forwarder.run_iteration(now);
    }
    Time draw_arrival_gap(Member& member) const {
        const double gap_s = std::exponential_distribution<double>(options_.messages_per_s)(member.random);
        return Time(1 + static_cast<Time::rep>(gap_s * 1e6));
    }
    DestinationId draw_destination(Member& member) const {
        const auto last = static_cast<DestinationId>(options_.workload.destinations) - 1;
        return std::uniform_int_distribution<DestinationId>(0, last)(member.random);
    }

    FleetReport report(Time ran) const {
        FleetReport report;
        report.ran = ran;
        report.heap_bytes = heap_in_use() - heap_before_;
        report.seconds = endpoints_.seconds();
        report.seconds.resize(static_cast<std::size_t>(options_.span / Time(1'000'000)));
        report.adds_up = true;
        for (const auto& member : members_) {
            report.messages += member->forwarder.counts();
            report.turns += member->forwarder.costs();
            report.held += member->forwarder.held();
            report.adds_up = report.adds_up && member->forwarder.adds_up();
        }
        std::uint64_t calls = 0;
        for (const SecondCounts& second : report.seconds) calls += second.calls;
        report.adds_up = report.adds_up && calls == report.messages.attempts;
        return report;
    }

    FleetOptions options_;
    std::size_t heap_before_;
    std::chrono::steady_clock::time_point start_;
    ModelEndpoints endpoints_;
    std::vector<std::unique_ptr<Member>> members_;
    std::priority_queue<Wakeup, std::vector<Wakeup>, std::greater<>> wakeups_;
    MessageId next_message_ = 1;
};

}  // namespace

FleetReport run_fleet(const FleetOptions& options) { return Fleet(options).run(); }

}  // namespace cometspoke::bench
