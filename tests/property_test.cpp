#include <array>
#include <map>
#include <random>
#include <set>

#include "helpers.hpp"

namespace cometspoke::testing {
namespace {

// Feeds a Sender with arbitrary legal event sequences (random outcomes, no model of endpoints) and asserts
// the rules that can be checked by the events and actions alone.
class RandomEventTest {
public:
    explicit RandomEventTest(std::uint64_t seed)
        : random_(seed), settings_(make_settings()), sender_(settings_, seed) {
        for (EndpointId id = 0; id < kEndpoints; ++id) update_endpoint(id, Condition::Ready);
    }

    void run(int steps) {
        for (int i = 0; i < steps; ++i) {
            now_ += ms(1 + static_cast<std::int64_t>(random_index(40)));
            if (chance(0.5)) arrive();
            if (chance(0.02)) update_endpoint(static_cast<EndpointId>(random_index(kEndpoints)), condition());
            while (!open_attempts_.empty() && chance(0.35)) finish_attempt();
            sender_.observe(TimerFired{}, now_);
            for (const Action& action : sender_.decide(now_))
                std::visit([this](const auto& a) { handle(a); }, action);
            check_deadlines();
        }
        EXPECT_GT(send_count_, steps / 20);
    }
    const std::vector<std::string>& trace() const { return trace_; }

private:
    static constexpr EndpointId kEndpoints = 9;
    struct MessageRecord {
        MessageEvent event;
        Time deadline{0};
        bool ended = false;
        std::uint32_t attempts = 0;
        int open_attempts = 0;
        std::optional<Time> ambiguous_since;
    };
    struct OpenAttempt {
        MessageId message;
        EndpointId endpoint;
        std::uint32_t attempt;
        Time sent;
    };

    std::size_t random_index(std::size_t count) {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
    }
    bool chance(double probability) { return std::bernoulli_distribution(probability)(random_); }
    Condition condition() {
        return std::array{
            Condition::Ready, Condition::Ready, Condition::Draining, Condition::Removed}[random_index(4)];
    }
    static DestinationId destination_of(EndpointId id) { return id / 3; }
    // A retry-after applies to the destination, or to the endpoint if limits of its kind (1) apply per
    // endpoint.
    static std::int64_t limit_id_of(EndpointId id) {
        return destination_of(id) == 1 ? 100 + id : destination_of(id);
    }

    void update_endpoint(EndpointId id, Condition condition) {
        ListEvent event;
        event.kind = ListUpdateKind::Delta;
        event.entries.push_back(
            {id, destination_of(id), id % 2, static_cast<std::size_t>(destination_of(id)), 0.0, condition});
        conditions_[id] = condition;
        sender_.observe(event, now_);
    }
    void arrive() {
        MessageEvent event;
        event.message = ++last_message_;
        event.destination = static_cast<DestinationId>(random_index(3));
        event.message_class = random_index(4);
        if (event.message_class == kSequential) event.key = random_index(5);
        if (chance(0.5)) event.tenant = 0;
        event.time_left = ms(200 + static_cast<std::int64_t>(random_index(9000)));
        records_[event.message] = {event, now_ + event.time_left, false, 0, 0, std::nullopt};
        if (event.key) messages_by_key_[*event.key].push_back(event.message);
        sender_.observe(event, now_);
    }
    void finish_attempt() {
        const std::size_t index = random_index(open_attempts_.size());
        const OpenAttempt attempt = open_attempts_[index];
        open_attempts_.erase(open_attempts_.begin() + static_cast<std::ptrdiff_t>(index));
        MessageRecord& record = records_.at(attempt.message);
        OutcomeEvent event;
        event.message = attempt.message;
        event.endpoint = attempt.endpoint;
        event.attempt = attempt.attempt;
        event.outcome = chance(0.5) ? Outcome::Delivered : static_cast<Outcome>(1 + random_index(6));
        event.rtt = now_ - attempt.sent;
        if (event.outcome == Outcome::Rejected && chance(0.5))
            event.retry_after = ms(static_cast<std::int64_t>(random_index(900)));
        --record.open_attempts;
        const bool never_ran = event.outcome == Outcome::Rejected || event.outcome == Outcome::ConnectFailed;
        if (!never_ran)
            record.ambiguous_since = std::min(record.ambiguous_since.value_or(attempt.sent), attempt.sent);
        if (event.outcome == Outcome::Delivered) record.ended = true;
        event.terminal = record.ended;
        if (event.retry_after > Time(0))
            retry_after_until_[limit_id_of(attempt.endpoint)] =
                std::max(retry_after_until_[limit_id_of(attempt.endpoint)], now_ + event.retry_after);
        const bool ambiguous = event.outcome == Outcome::TimedOut ||
                               event.outcome == Outcome::ConnectionLost ||
                               event.outcome == Outcome::Cancelled;
        if (record.event.key && ambiguous)
            settled_at_[*record.event.key][attempt.message] = now_ + settings_.ambiguous_settle_time;
        sender_.observe(event, now_);
    }

    void handle(const Send& send) {
        ++send_count_;
        add_to_trace("send", send.message);
        MessageRecord& record = records_.at(send.message);
        const ClassSettings& class_settings = settings_.classes[record.event.message_class];
        ASSERT_FALSE(record.ended);
        ASSERT_EQ(record.open_attempts, 0) << "two attempts at the same time";
        ASSERT_EQ(destination_of(send.endpoint), record.event.destination);
        ASSERT_EQ(conditions_.at(send.endpoint), Condition::Ready)
            << "sent to an endpoint that accepts no calls";
        ASSERT_LE(retry_after_until_[limit_id_of(send.endpoint)], now_)
            << "sent before retry-after has passed";
        if (record.ambiguous_since) {
            ASSERT_NE(class_settings.delivery, DeliverySemantics::AtMostOnce);
            if (class_settings.delivery == DeliverySemantics::Deduplicated) {
                ASSERT_LE(now_, *record.ambiguous_since + class_settings.dedup_window);
            }
        }
        if (record.event.key) check_order(send.message, *record.event.key);
        open_attempts_.push_back({send.message, send.endpoint, record.attempts++, now_});
        ASSERT_LE(record.attempts, settings_.max_attempts);
        ++record.open_attempts;
    }
    void check_order(MessageId id, std::uint64_t key) {
        for (const MessageId earlier : messages_by_key_.at(key)) {
            if (earlier == id) break;
            ASSERT_TRUE(records_.at(earlier).ended && records_.at(earlier).open_attempts == 0)
                << "sent before an earlier message of its key";
            ASSERT_LE(settled_at_[key][earlier], now_) << "sent before ambiguous_settle_time has passed";
        }
    }
    void handle(const Refuse& refuse) {
        const MessageRecord& record = records_.at(refuse.message);
        const DeliverySemantics delivery = settings_.classes[record.event.message_class].delivery;
        if (delivery == DeliverySemantics::AtMostOnce) {
            ASSERT_FALSE(record.ambiguous_since || record.open_attempts > 0)
                << "refused although an attempt may have run";
        }
        end_message(refuse.message);
    }
    void handle(const Fail& fail) { end_message(fail.message); }
    void handle(const CancelAttempt& cancel) {
        ASSERT_LT(cancel.attempt, records_.at(cancel.message).attempts);
    }
    template <class Other>
    void handle(const Other&) {}
    void end_message(MessageId id) {
        add_to_trace("end", id);
        ASSERT_FALSE(records_.at(id).ended) << "two final outcomes";
        records_.at(id).ended = true;
    }
    void check_deadlines() {
        for (auto& [id, record] : records_)
            ASSERT_TRUE(record.ended || record.deadline > now_) << "no final outcome by its deadline";
    }
    void add_to_trace(const char* what, MessageId id) { trace_.push_back(what + std::to_string(id)); }

    std::mt19937_64 random_;
    Settings settings_;
    Sender sender_;
    Time now_ = ms(5000);
    MessageId last_message_ = 0;
    int send_count_ = 0;
    std::map<MessageId, MessageRecord> records_;
    std::map<std::uint64_t, std::vector<MessageId>> messages_by_key_;
    std::map<std::uint64_t, std::map<MessageId, Time>> settled_at_;
    std::map<std::int64_t, Time> retry_after_until_;
    std::map<EndpointId, Condition> conditions_;
    std::vector<OpenAttempt> open_attempts_;
    std::vector<std::string> trace_;
};

TEST(Property, RulesHoldForArbitraryEvents) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        RandomEventTest test(seed);
        test.run(1500);
        if (HasFatalFailure()) FAIL() << "seed " << seed;
    }
}

TEST(Property, SameEventsCauseTheSameActions) {
    RandomEventTest first(7), other(8), again(7);
    first.run(500);
    other.run(500);
    again.run(500);
    EXPECT_EQ(first.trace(), again.trace());
    EXPECT_NE(first.trace(), other.trace());
}

}  // namespace
}  // namespace cometspoke::testing
