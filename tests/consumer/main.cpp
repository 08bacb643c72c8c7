#include <cometspoke/sender.hpp>
#include <iostream>

using namespace cometspoke;

int main() {
    Settings settings;
    settings.max_calls = 4;
    settings.max_held_messages = 100;
    settings.max_attempts = 3;
    settings.kinds.resize(1);
    ClassSettings class_settings;
    class_settings.target_latency = std::chrono::seconds(2);
    class_settings.deadline = std::chrono::seconds(10);
    settings.classes.push_back(class_settings);

    Sender sender(settings, 7);            // a seed: equal seeds and events give equal actions
    Time now = std::chrono::seconds(100);  // the caller's clock, which never goes back

    ListEvent list;
    list.entries.push_back({.endpoint = 0, .destination = 57});
    sender.observe(list, now);
    sender.observe(MessageEvent{.message = 1, .destination = 57, .time_left = std::chrono::seconds(10)}, now);

    bool sent = false;
    for (const Action& action : sender.decide(now))  // the caller carries actions out in order
        if (const auto* send = std::get_if<Send>(&action)) sent = send->message == 1 && send->endpoint == 0;
    if (!sent) return 1;

    now += std::chrono::milliseconds(80);
    sender.observe(OutcomeEvent{.message = 1,
                       .outcome = Outcome::Delivered,
                       .terminal = true,
                       .rtt = std::chrono::milliseconds(80)},
        now);
    sender.decide(now);
    std::cout << "delivered\n";
    return 0;
}
