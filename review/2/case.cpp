// A call with several messages is out while one of them runs out of time and the process is replaced. Does
// the next message of its key wait for the end of that call?
#include "../common/stand_in.hpp"

using namespace review;

namespace {

constexpr int kCell = 7, kOtherCell = 9;
constexpr int kEarlierTime_ms = 5000;  // of the earlier message
constexpr double kRest_ms = 2000;      // settle_after_doubt_ms
const std::string kKey = "00103bc49aa18e2d", kOtherKey = "0006483caaef320d";

Json settings() {
    return Json::parse(R"({
 "az":"kumamoto-hq",
 "classes":[
  {"aim_ms":2500.0,"dedup_scope":"all","effect":"dedup","hard_limit_ms":20000.0,"late_worth":0.3,"name":"posting","sequential":true,"streamed":false,"window_ms":8000.0,"worth":1.0}],
 "clients":{"marks_retry":true},
 "contract":{"answer_slack_ms":20.0,"cold_from":0.31,"drain_grace_ms":2000.0,"fall_ms":3000.0,"fall_multiple":1.5,"must_ask_in_ms":10000.0,"settle_after_doubt_ms":2000.0,"warm_within_ms":14000.0},
 "discovery":"automatic",
 "family_info":{"carriage":[0.0],"loses_worth":"linear","per_call":[20,1],"routes_apart":[false,false],"slots":13,"turned_away_price":0.05},
 "kinds":["large-partner","small-partner"],
 "limits":{"cancel":true,"conn_idle_ms":15000.0,"connect_timeout_ms":1500.0,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,"max_attempts":12,"max_retry_after_ms":2000.0,"most_held":232,"peers":false,"probing":true,"retry_after":true,"second_copies":false,"streams_per_conn":8},
 "localities":["kumamoto-hq"],
 "me":0,
 "n_instances":3,
 "over_share_worth":0.05,
 "report":{"columns":["x0","x1"],"source":"inline"},
 "tenants":[{"name":"fukuoka-studio","portion":0.5,"quota_per_s":38.0},{"name":"kumamoto-studio","portion":0.32,"quota_per_s":24.0},{"name":"oita-studio","portion":0.18,"quota_per_s":14.0}],
 "tier":0,
 "tiers":["partner-systems"],
 "weights":"rough",
 "workload":"deliver",
 "worth_by":"request"})");
}

void run(bool trouble) {
    const std::string earlier = "9b1f03aa5c7e2d41", later = "5c0f6e1a2b3d4c59",
                      companion = "1987c3755d3a91c4";
    std::mutex mutex;
    std::map<std::string, double> begun,
        ended;  // of the last call with each message that was not turned away
    const auto begin = [&](const std::string& endpoint, const Request& request) {
        const std::lock_guard lock(mutex);
        record.line("endpoint " + endpoint + ": call with " + ids_of(request) + " has come");
        const double now = now_ms();
        for (const Delivered& message : messages_of(request)) begun[message.id] = now;
    };
    const auto end = [&](const std::string& endpoint, const Request& request, const std::string& how) {
        const std::lock_guard lock(mutex);
        record.line("endpoint " + endpoint + ": call with " + ids_of(request) + " " + how);
        for (const Delivered& message : messages_of(request)) ended[message.id] = now_ms();
    };
    const auto time_of = [&](const std::map<std::string, double>& times, const std::string& id) {
        const std::lock_guard lock(mutex);
        const auto found = times.find(id);
        return found == times.end() ? -1.0 : found->second;
    };

    Agent agent;
    std::atomic<int> calls{0};
    // Turns the first call away with a wait, as above its limit, and is silent from the second on.
    Server first([&](Connection& c, const Request& r) {
        if (++calls == 1) {
            record.line("endpoint p-1: turns " + ids_of(r) + " away, Retry-After: 1.2");
            return c.answer(429, "Retry-After: 1.2\r\n");
        }
        begin("p-1", r);
        while (!c.ended_before(now_ms() + 60000)) continue;
        end("p-1", r, "was ended by the forwarder without an answer");
        return false;
    });
    Server second([&](Connection& c, const Request& r) {
        begin("p-2", r);
        sleep_ms(120);
        end("p-2", r, "is answered as delivered");
        return answer_delivered(c, r);
    });

    // Most of the traffic goes to another destination, so that the silent endpoint has a small share of it.
    std::atomic<int> other_calls{0};
    Server other([&](Connection& c, const Request& r) {
        ++other_calls;
        sleep_ms(120);
        return answer_delivered(c, r);
    });

    Platform platform(agent);
    platform.config["settings"] = settings();
    const Json one =
        member("p-1", first.address(), "kumamoto-hq", "large-partner", kCell, "in_service", 30.0);
    const Json unrelated =
        member("q-1", other.address(), "kumamoto-hq", "small-partner", kOtherCell, "in_service", 30.0);
    platform.config["known"] = {{"revision", 1}, {"complete", true}, {"members", {one, unrelated}}};
    agent.publish({one, unrelated});
    const pid_t old = platform.start_ready();

    const auto take_on = [&](const std::string& id, const std::string& key, int time_ms,
                             const std::string& body) {
        const std::string fields =
            "c=posting,t=fukuoka-studio,d=" + std::to_string(time_ms) + ",k=" + id + ",dest=7";
        if (hand_in(platform.address(), key, id, fields, body) != "+OK")
            cannot_run("a message is not taken on");
    };
    std::atomic<bool> stopping{false};
    std::thread traffic([&] {
        for (int count = 0; !stopping; ++count) {
            char id[17];
            std::snprintf(id, sizeof id, "00000000%08x", count + 1);
            const std::string fields = std::string("c=posting,t=fukuoka-studio,d=8000,k=") + id + ",dest=9";
            ask(platform.address(), {"ENQUEUE", "0", id, fields, "other traffic"});
            sleep_ms(250);
        }
    });
    const struct Join {
        std::atomic<bool>& stopping;
        std::thread& thread;
        ~Join() {
            stopping = true;
            thread.join();
        }
    } join{stopping, traffic};

    take_on(companion, kOtherKey, 12000, "other");
    if (!wait_for(5000, [&] { return calls == 1; })) cannot_run("no first call");
    sleep_ms(100);
    // Both wait, and travel in one call when the wait is over.
    const double taken_at = now_ms();
    take_on(earlier, kKey, kEarlierTime_ms, "balance 1");
    if (!wait_for(6000, [&] { return time_of(begun, earlier) >= 0; })) cannot_run("no second call");
    if (time_of(begun, companion) != time_of(begun, earlier))
        cannot_run("the two messages travel in separate calls");
    take_on(later, kKey, 20000, "balance 2");
    agent.publish(
        {member("p-2", second.address(), "kumamoto-hq", "large-partner", kCell, "in_service", 30.0)});
    if (!wait_for(8000, [&] { return agent.told() == agent.revision(); }))
        cannot_run("the list is not asked for");

    // The earlier message runs out of time; its call goes on.
    if (!wait_for(taken_at + 7000 - now_ms(), [&] { return !agent.notices(earlier).empty(); }))
        cannot_run("the earlier message has not ended");
    sleep_ms(300);
    if (time_of(ended, earlier) >= 0) cannot_run("the call of the earlier message has ended with it");
    if (time_of(begun, later) >= 0) cannot_run("the later message was sent before the disruption");

    if (trouble) platform.replace(old);
    wait_for(20000, [&] { return time_of(begun, later) >= 0 && time_of(ended, earlier) >= 0; });
    sleep_ms(300);
    platform.record_log();

    const double later_begun = time_of(begun, later), earlier_ended = time_of(ended, earlier);
    if (later_begun < 0 || earlier_ended < 0) cannot_run("the later message was not sent");
    record.line("of the other destination's messages " + std::to_string(other_calls) + " were called");
    record.line("the later message was sent " + std::to_string(later_begun - earlier_ended) +
                " ms after the end of the call with the earlier one, and " +
                std::to_string(later_begun - taken_at - kEarlierTime_ms) + " ms after the end of its time");
    // The attempt of the earlier message is over with its call. Even if it counted as over with the message's
    // time, its key would rest from then.
    judge(later_begun >= std::min(earlier_ended, taken_at + kEarlierTime_ms) + kRest_ms - 50);
}

}  // namespace

int main(int argc, char** argv) { run_case(argc, argv, run); }
