// Destinations get somewhat more than they take, and the process is killed once. Does the restarted process
// call what it finds taken on and untried?
#include <random>

#include "../common/stand_in.hpp"

using namespace review;

namespace {

constexpr int kDestinations = 6;
constexpr double kArrivals_per_s = 3.6;    // of this forwarder, for each destination
constexpr double kLimit_per_s = 6.0;       // of each destination, for all forwarders together
constexpr double kOtherCalls_per_s = 3.0;  // of the other forwarder, for each destination
constexpr double kBurst = 2.0;             // calls that a destination takes at once
constexpr double kTime_ms = 8000;          // of a message
constexpr double kBeforeKill_ms = 20000;
constexpr double kDown_ms = 600;

Json settings() {
    return Json::parse(R"({
 "az":"kumamoto-hq",
 "classes":[
  {"aim_ms":2500.0,"dedup_scope":"all","effect":"fragile","hard_limit_ms":8000.0,"late_worth":0.5,"name":"remittance","streamed":false,"window_ms":5000.0,"worth":3.0}],
 "clients":{"marks_retry":true},
 "contract":{"answer_slack_ms":20.0,"cold_from":0.31,"drain_grace_ms":2000.0,"fall_ms":3000.0,"fall_multiple":1.5,"must_ask_in_ms":10000.0,"warm_within_ms":14000.0},
 "discovery":"automatic",
 "family_info":{"carriage":[0.0],"loses_worth":"linear","per_call":[20,1],"routes_apart":[false,false],"slots":13,"turned_away_price":0.05},
 "kinds":["large-partner","small-partner"],
 "limits":{"cancel":true,"conn_idle_ms":15000.0,"connect_timeout_ms":1500.0,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,"max_attempts":12,"max_retry_after_ms":2000.0,"most_held":232,"peers":false,"probing":true,"retry_after":true,"second_copies":false,"streams_per_conn":8},
 "localities":["kumamoto-hq"],
 "me":0,
 "n_instances":2,
 "over_share_worth":0.05,
 "report":{"columns":["x0","x1"],"source":"inline"},
 "tenants":[{"name":"fukuoka-studio","portion":0.5,"quota_per_s":38.0},{"name":"kumamoto-studio","portion":0.32,"quota_per_s":24.0},{"name":"oita-studio","portion":0.18,"quota_per_s":14.0}],
 "tier":0,
 "tiers":["partner-systems"],
 "weights":"rough",
 "workload":"deliver",
 "worth_by":"request"})");
}

class Random {
public:
    double operator()(double from, double to) {
        const std::lock_guard lock(mutex_);
        return std::uniform_real_distribution<double>(from, to)(engine_);
    }

private:
    std::mutex mutex_;
    std::mt19937_64 engine_{7};
};

/// What this forwarder may call: the plain rate of the destination, less what the other forwarder uses of it.
class Allowance {
public:
    bool take() {
        const std::lock_guard lock(mutex_);
        const double now = now_ms();
        left_ = std::min(kBurst, left_ + (now - at_) / 1000 * (kLimit_per_s - kOtherCalls_per_s));
        at_ = now;
        if (left_ < 1) return false;
        left_ -= 1;
        return true;
    }

private:
    std::mutex mutex_;
    double left_ = kBurst, at_ = 0;
};

struct TakenOn {
    int destination = 0;
    double at = 0;
    int calls = 0;
    bool untried_at_restart = false;
};

void run(bool trouble) {
    Random random;
    std::mutex mutex;
    std::map<std::string, TakenOn> messages;
    std::atomic<bool> used{true}, stopping{false};  // whether the front sends this forwarder messages

    Agent agent;
    Platform platform(agent);
    platform.config["settings"] = settings();
    std::vector<Json> list;
    std::vector<std::unique_ptr<Allowance>> allowances;
    std::vector<std::unique_ptr<Server>> servers;
    for (int destination = 0; destination < kDestinations; ++destination) {
        Allowance& allowance = *allowances.emplace_back(std::make_unique<Allowance>());
        const std::string name = "p-" + std::to_string(destination);
        servers.push_back(std::make_unique<Server>([&, name](Connection& connection, const Request& request) {
            {
                const std::lock_guard lock(mutex);
                for (const Delivered& message : messages_of(request)) ++messages[message.id].calls;
            }
            sleep_ms(random(15, 45));  // on the way
            if (!allowance.take()) {
                record.line("endpoint " + name + ": turns " + ids_of(request) + " away");
                const int wait_ms = static_cast<int>(random(240, 660));
                if (random(0, 1) > 0.4) return connection.answer(429);
                return connection.answer(429, "Retry-After: 0." + std::to_string(wait_ms) + "\r\n");
            }
            sleep_ms(random(88, 150));
            record.line("endpoint " + name + ": runs " + ids_of(request));
            return answer_delivered(connection, request);
        }));
        list.push_back(member(name, servers.back()->address(), "kumamoto-hq", "small-partner", destination,
            "in_service", kLimit_per_s));
    }
    platform.config["known"] = {{"revision", 1}, {"complete", true}, {"members", list}};
    agent.publish(list);
    pid_t process = platform.start_ready();

    const auto client = [&](int destination) {
        double next = now_ms() + destination * 37;
        for (int count = 0; !stopping; ++count) {
            sleep_until_ms(next);
            next += 1000 / kArrivals_per_s * random(0.6, 1.4);
            if (!used) continue;
            char id[17];
            std::snprintf(id, sizeof id, "%08x%08x", 0x9b1f0000 + destination, count);
            const double at = now_ms();
            {
                const std::lock_guard lock(mutex);
                messages[id].destination = destination;
                messages[id].at = at;
            }
            const std::string fields =
                "c=remittance,t=fukuoka-studio,d=8000,dest=" + std::to_string(destination);
            if (hand_in(platform.address(), "0", id, fields, "pay") == "+OK") continue;
            const std::lock_guard lock(mutex);
            messages.erase(id);
        }
    };
    std::vector<std::thread> clients;
    for (int destination = 0; destination < kDestinations; ++destination)
        clients.emplace_back(client, destination);

    sleep_until_ms(kBeforeKill_ms);
    used = false;  // the front, or the other forwarder, has what comes in the meantime
    if (trouble) {
        platform.signal(process, SIGKILL);
        platform.wait_end(process, 1000);
    }
    sleep_ms(kDown_ms);
    std::size_t found = 0;
    const double restart_at = now_ms();
    {
        const std::lock_guard lock(mutex);
        for (auto& [id, message] : messages) {
            message.untried_at_restart = message.calls == 0 && restart_at - message.at <= kTime_ms / 2;
            found += message.untried_at_restart;
        }
    }
    record.line(std::to_string(found) + " messages are untried, with half of their time left");
    if (trouble) process = platform.start_ready();
    used = true;
    sleep_until_ms(restart_at + kTime_ms + 1500);
    stopping = true;
    for (std::thread& thread : clients) thread.join();

    std::size_t given_up = 0, newer_called = 0;
    {
        const std::lock_guard lock(mutex);
        for (const auto& [id, message] : messages) {
            if (message.at > restart_at) newer_called += message.calls > 0;
            if (!message.untried_at_restart || message.calls > 0) continue;
            const auto notices = agent.notices(id);
            record.line("never called: " + id + " for destination " + std::to_string(message.destination) +
                        ", " + (notices.empty() ? "no notice" : "notice " + notices.front()));
            given_up += !notices.empty();
        }
    }
    record.line(std::to_string(given_up) + " of " + std::to_string(found) +
                " were given up with no call; of those taken on later " + std::to_string(newer_called) +
                " were called in that time");
    std::cout << given_up << " of " << found << " given up with no call, " << newer_called
              << " newer ones called" << std::endl;
    if (found < 20) cannot_run("too few messages wait");
    judge(2 * given_up <= found);
}

}  // namespace

int main(int argc, char** argv) { run_case(argc, argv, run); }
