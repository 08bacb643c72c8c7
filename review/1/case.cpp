// A call to an endpoint that has left the list is out while the process is replaced. Is its message kept to
// the zone of that endpoint?
#include "../common/stand_in.hpp"

using namespace review;

namespace {

constexpr int kCell = 7;
constexpr double kTime_ms = 12000;  // of the message
constexpr double kWork_ms = 700;    // of east-1 for a message

Json settings() {
    return Json::parse(R"({
 "az":"east",
 "classes":[
  {"aim_ms":9000.0,"dedup_scope":"zone","effect":"dedup","hard_limit_ms":70000.0,"late_worth":0.6,"name":"digest","streamed":false,"window_ms":40000.0,"worth":1.0},
  {"aim_ms":6000.0,"dedup_scope":"all","effect":"fragile","hard_limit_ms":90000.0,"late_worth":0.7,"name":"invoice","streamed":false,"window_ms":5000.0,"worth":4.0},
  {"aim_ms":5000.0,"dedup_scope":"all","effect":"dedup","hard_limit_ms":45000.0,"late_worth":0.3,"name":"receipt","streamed":false,"window_ms":60000.0,"worth":2.0},
  {"aim_ms":12000.0,"dedup_scope":"all","effect":"retryable","hard_limit_ms":60000.0,"late_worth":0.5,"name":"notice-board","streamed":false,"window_ms":5000.0,"worth":1.0}],
 "clients":{"marks_retry":true},
 "contract":{"answer_slack_ms":20.0,"cold_from":0.08,"drain_grace_ms":2000.0,"fall_ms":4000.0,"fall_multiple":3.0,"must_ask_in_ms":10000.0,"warm_within_ms":18000.0},
 "discovery":"automatic",
 "family_info":{"carriage":[0.0,0.02,0.04,0.07],"loses_worth":"linear","per_call":[40,3],"routes_apart":[false,true],"slots":10,"turned_away_price":0.08},
 "kinds":["carrier","office"],
 "limits":{"cancel":true,"conn_idle_ms":25000.0,"connect_timeout_ms":2500.0,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,"max_attempts":20,"max_retry_after_ms":8000.0,"most_held":300,"peers":false,"probing":true,"retry_after":true,"second_copies":false,"streams_per_conn":8},
 "localities":["north","east","south","west"],
 "me":1,
 "n_instances":3,
 "over_share_worth":0.4,
 "report":{"columns":["x0","x1"],"source":"inline"},
 "tenants":[{"name":"ateneo","portion":0.35,"quota_per_s":28.0},{"name":"bayani","portion":0.25,"quota_per_s":20.0},{"name":"carmen","portion":0.2,"quota_per_s":16.0},{"name":"dalisay","portion":0.12,"quota_per_s":10.0},{"name":"esteban","portion":0.08,"quota_per_s":6.0}],
 "tier":0,
 "tiers":["mail-exchangers"],
 "weights":"nominal",
 "workload":"deliver",
 "worth_by":"request"})");
}

void run(bool trouble) {
    const std::string id = "9b1f03aa5c7e2d41", key = "5c0f6e1a2b3d4c59";
    std::mutex mutex;
    std::map<std::string, std::vector<std::string>> runs;  // the zones whose endpoints ran a message
    std::atomic<int> calls{0};                             // to east-1
    std::atomic<bool> delivered{false};
    const auto ran = [&](const std::string& endpoint, const std::string& zone, const Request& request) {
        const std::lock_guard lock(mutex);
        for (const Delivered& message : messages_of(request)) {
            record.line(
                "endpoint " + endpoint + " in " + zone + ": runs " + message.id + " with key " + message.key);
            runs[message.id].push_back(zone);
        }
    };
    const auto zones_of = [&](const std::string& message) {
        const std::lock_guard lock(mutex);
        return runs[message];
    };

    Agent agent;
    Server other([&](Connection& c, const Request& r) {
        ran("north-9", "north", r);
        return answer_delivered(c, r);
    });
    Server east([&](Connection& c, const Request& r) {
        ++calls;
        record.line("endpoint east-1: call with " + ids_of(r) + " has come");
        sleep_ms(kWork_ms);
        ran("east-1", "east", r);
        if (c.ended_before(now_ms() + 1)) {
            record.line("endpoint east-1: nobody waits for the answer");
            return false;
        }
        record.line("endpoint east-1: answers 200");
        delivered = true;
        return answer_delivered(c, r);
    });
    Server north([&](Connection& c, const Request& r) {
        ran("north-1", "north", r);
        delivered = true;
        return answer_delivered(c, r);
    });

    Platform platform(agent);
    platform.config["settings"] = settings();
    const Json unrelated = member("north-9", other.address(), "north", "carrier", 9);
    platform.config["known"] = {{"revision", 1}, {"complete", true}, {"members", {unrelated}}};
    agent.publish({unrelated});
    const pid_t process = platform.start_ready();

    const auto publish = [&](const std::vector<Json>& entries) {
        agent.publish(entries);
        if (!wait_for(8000, [&] { return agent.told() == agent.revision(); }))
            cannot_run("the list is not asked for");
    };
    publish({member("east-1", east.address(), "east", "carrier", kCell)});
    sleep_ms(200);
    const double sent_at = now_ms();
    const std::string fields =
        "c=digest,t=ateneo,d=" + std::to_string(static_cast<int>(kTime_ms)) + ",k=" + key + ",dest=7";
    if (hand_in(platform.address(), "0", id, fields, "state") != "+OK")
        cannot_run("the message is not taken on");
    if (!wait_for(5000, [&] { return calls == 1; })) cannot_run("no call to east-1");

    // The directory replaces the endpoint, which finishes what it has, by one in another zone. Meanwhile the
    // process is killed, and started again 0.6 s later.
    publish({member("east-1", east.address(), "east", "carrier", kCell, "terminating")});
    sleep_until_ms(sent_at + kWork_ms / 2);
    const double killed_at = now_ms();
    if (trouble) {
        platform.signal(process, SIGKILL);
        platform.wait_end(process, 1000);
    }
    sleep_until_ms(sent_at + kWork_ms + 100);
    agent.publish({member("east-1", east.address(), "east", "carrier", kCell, "terminated"),
        member("north-1", north.address(), "north", "carrier", kCell)});
    sleep_until_ms(killed_at + 600);
    if (trouble) platform.start_ready();
    // Until the message has ended and its notice is no longer due.
    wait_for(sent_at + kTime_ms + 2500 - now_ms(), [&] { return delivered || !agent.notices(id).empty(); });
    sleep_ms(500);
    platform.record_log();

    bool held = true;
    for (const std::string& zone : zones_of(id)) held = held && zone == "east";
    record.line("the message ran " + std::to_string(zones_of(id).size()) + " times");
    if (held && !delivered && agent.notices(id).empty()) cannot_run("the message has not ended");
    judge(held);
}

}  // namespace

int main(int argc, char** argv) { run_case(argc, argv, run); }
