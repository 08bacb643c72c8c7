#include "endpoint_caller.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

#include "http_bytes.hpp"
#include "response_reader.hpp"
#include "socket_io.hpp"

namespace lockgw {

namespace http = boost::beast::http;
using cometspoke::Outcome;
using cometspoke::OutcomeEvent;
using cometspoke::Time;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

constexpr auto kAnswerWait = 1s;        // from the first byte of an answer to its last
constexpr auto kCrossing = 200ms;       // there and back: an answer that was written as its call was given up
constexpr int kMostMissingRoutes = 20;  // connects without a route, 5 ms apart, before the target is to blame
constexpr int kMostReads = 8;           // of one that came before that
constexpr auto kLeastWait = 60s;        // a told wait is believed so far,
constexpr int kWaitDeadlines = 5;       // or so many of the longest deadlines
constexpr auto kLeastTrust = 50ms;      // a shorter rest is not to blame for a reset
constexpr int kTrustFall = 4;           // after one a rest is trusted for so small a part of that one,
constexpr auto kTrustRise = 10s;        // and for twice as long after each such time without another
constexpr std::size_t kMostBatchBody = 64 * 1024;  // the protocol's limit

/// No outage lasts so long that a longer wait would be worth heeding, and one spoilt figure must not shut a
/// destination for good.
Time longest_wait(const Config& config) {
    Time longest{0};
    for (const auto& kind : config.settings.classes) longest = std::max(longest, kind.deadline);
    return std::max<Time>(kLeastWait, kWaitDeadlines * longest);
}

std::string base64(const std::string& bytes) {
    using namespace boost::archive::iterators;
    using Digits = base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
    std::string text(Digits(bytes.begin()), Digits(bytes.end()));
    return text.append((3 - bytes.size() % 3) % 3, '=');
}

/// Of an attempt in the body of a call with several.
std::size_t size_in_batch(const OutgoingAttempt& attempt) {
    constexpr std::size_t names = 64;  // with the id, quotes and commas
    return names + 2 * attempt.key.size() + (attempt.body.size() + 2) / 3 * 4;
}

std::string batch_of(const std::vector<OutgoingAttempt>& attempts) {
    Json batch = Json::array();
    for (const OutgoingAttempt& attempt : attempts) {
        Json one{
            {"id", cometspoke::settings::format_message_id(attempt.message)}, {"body", base64(attempt.body)}};
        if (!attempt.key.empty()) one["key"] = attempt.key;
        batch.push_back(std::move(one));
    }
    return batch.dump();
}

}  // namespace

class EndpointConnection : public std::enable_shared_from_this<EndpointConnection> {
    /// Handlers of an earlier call or of a closed connection must not touch the present one.
    template <class Handler>
    auto guarded(Handler handler) {
        return [self = shared_from_this(), turn = turn_, handler](auto failed, auto&&...) {
            if (turn == self->turn_) handler(failed);
        };
    }

public:
    EndpointConnection(EndpointCaller& owner, EndpointId endpoint, const Tcp::endpoint& address)
        : owner_(owner), endpoint_(endpoint), address_(address), socket_(owner.io_), timer_(owner.io_) {}

    EndpointId endpoint() const { return endpoint_; }
    const Tcp::endpoint& address() const { return address_; }
    Clock::time_point begun() const { return begun_; }

    void start(std::vector<OutgoingAttempt> attempts) {
        begun_ = Clock::now();
        rested_ = socket_.is_open() ? std::optional(begun_ - idle_since_) : std::nullopt;
        ++turn_;
        writing_ = false;
        call_ = std::move(attempts);
        given_up_.assign(call_.size(), std::nullopt);
        answer_ = ResponseReader(several());
        wait_until_.reset();
        if (socket_.is_open()) {
            socket_.cancel();  // the watch over an idle connection
            return write();
        }
        wait_until(std::min(
            begin_by(), begun_ + std::min<Clock::duration>(longest(), owner_.config_.connect_timeout)));
        connect();
    }

    /// The call goes on while it carries another message that is waited for: to repeat this one before the
    /// connection is closed would put two copies side by side.
    void cancel(MessageId message) {
        for (std::size_t i = 0; i < call_.size(); ++i)
            if (call_[i].message == message && !given_up_[i])
                given_up_[i] = writing_ ? Outcome::Cancelled : Outcome::Withheld;
        if (!waited_for()) writing_ ? give_up(Outcome::Cancelled) : end(Outcome::Cancelled);
    }

    /// Idle: a target's close is noticed at once, and it is left before the target may close it.
    void idle_for(Clock::duration span) {
        ++turn_;
        idle_since_ = Clock::now();
        wait_until(idle_since_ + span);
        socket_.async_wait(
            Tcp::socket::wait_read, guarded([this](auto) { owner_.drop(shared_from_this()); }));
    }
    Clock::duration rested() const { return Clock::now() - idle_since_; }
    /// A close that has come and that the loop has not told yet would end the next call as a reset.
    bool still_open() {
        char byte;
        ssize_t got = -1;
        do got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        while (got < 0 && errno == EINTR);
        return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }
    void close() {
        ++turn_;
        boost::system::error_code ignored;
        timer_.cancel();
        socket_.close(ignored);
    }

private:
    void connect() {
        short_of_ = false;
        socket_.async_connect(address_, guarded([this](auto failed) {
            const SocketResult result = classify(failed);
            const bool unreachable =
                result == SocketResult::NoRoute && ++missing_routes_ > kMostMissingRoutes;
            if (is_local_error(result) && !unreachable) return connect_later();
            if (result != SocketResult::Done) return end(Outcome::ConnectFailed);
            socket_.set_option(Tcp::no_delay(true), failed);
            socket_.non_blocking(true, failed);
            begin();
        }));
    }
    /// Nothing has reached the target: until its time is up the call is still to be made.
    void connect_later() {
        boost::system::error_code ignored;
        socket_.close(ignored);
        short_of_ = true;
        counters().add(Counter::ConnectRetries);
        const auto pause = std::make_shared<asio::steady_timer>(owner_.io_, kShortageRetryDelay);
        pause->async_wait(guarded([this, pause](auto) { connect(); }));
    }

    void wait_until(Clock::time_point when) {
        timer_.expires_at(when);
        timer_.async_wait(guarded([this, when](auto cancelled) {
            if (!cancelled && when == timer_.expiry()) expire();
        }));
    }
    void expire() {
        if (call_.empty()) return owner_.drop(shared_from_this());
        // the bound or the shortage is our own: it says nothing of the target
        if (!writing_ && (short_of_ || Clock::now() >= begin_by())) return end(Outcome::Withheld);
        // whether its last byte has gone is known to the system sooner than told here
        writing_ ? give_up(Outcome::TimedOut) : end(Outcome::ConnectFailed);
    }

    bool several() const { return call_.size() > 1; }
    bool waited_for() const {
        return std::any_of(given_up_.begin(), given_up_.end(), [](const auto& outcome) { return !outcome; });
    }
    Time longest() const {
        Time longest{0};
        for (const OutgoingAttempt& attempt : call_) longest = std::max(longest, attempt.timeout);
        return longest;
    }

    /// The earliest moment after which one of its messages must not begin any more.
    Clock::time_point begin_by() const {
        auto latest = Clock::time_point::max();
        for (const OutgoingAttempt& attempt : call_)
            if (attempt.start_within) latest = std::min(latest, begun_ + *attempt.start_within);
        return latest;
    }

    /// The connection is up, perhaps late. Those that may not begin any more leave the others of their call.
    void begin() {
        const bool here = owner_.leads_to(endpoint_, address_);
        std::vector<OutgoingAttempt> stay, leave;
        for (std::size_t i = 0; i < call_.size(); ++i) {
            const bool may = here && !given_up_[i] && owner_.begin_(call_[i].message, call_[i].attempt);
            (may ? stay : leave).push_back(std::move(call_[i]));
        }
        call_ = std::move(stay);
        given_up_.assign(call_.size(), std::nullopt);
        answer_ = ResponseReader(several());
        call_.empty() ? owner_.now_idle(shared_from_this()) : write();
        std::vector<OutcomeEvent> told(leave.size());
        for (OutcomeEvent& one : told) one.outcome = Outcome::Withheld;
        report(leave, std::move(told));
    }

    void write() {
        writing_ = true;
        const auto left = begun_ + longest() - Clock::now();
        wait_until(begun_ + longest());
        request_ = {http::verb::post, several() ? "/v1/messages:batch" : "/v1/messages", 11};
        request_.set(http::field::host, owner_.config_.name);
        const auto budget = std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
        request_.set("X-Budget-Ms", std::to_string(std::max<std::int64_t>(1, budget)));
        if (several()) {
            request_.body() = batch_of(call_);
        } else {
            OutgoingAttempt& only = call_.front();
            request_.set("X-Call-Id", cometspoke::settings::format_message_id(only.message));
            if (!only.key.empty()) request_.set("Idempotency-Key", only.key);
            request_.body() = std::move(only.body);
        }
        request_.content_length(request_.body().size());
        bytes_ = serialize_http(request_);
        write_all(socket_, bytes_, guarded([this](auto failed) {
            if (failed) return end(Outcome::ConnectFailed);
            read();
        }));
    }

    void read() {
        // whatever the wait says, the read tells whether the connection has ended
        socket_.async_wait(Tcp::socket::wait_read,
            guarded([this](auto failed) { classify(failed) == SocketResult::Cancelled ? ended() : take(); }));
    }
    void take() {
        const ReadResult read_result = read_available(socket_, asio::buffer(owner_.in_));
        if (read_result.result == SocketResult::NotReady) return read();
        if (read_result.result != SocketResult::Done) return ended();
        const bool first = answer_.empty();
        switch (feed(read_result.count)) {
            case ResponseReader::State::Complete:
                return finish();
            case ResponseReader::State::Malformed:
                return end(Outcome::MalformedResponse);
            case ResponseReader::State::Incomplete:
                break;
        }
        // An answer that has begun must end soon: it holds a slot, and some never end.
        if (!call_.empty() && first && !answer_.empty())
            wait_until(std::min<Clock::time_point>(begun_ + longest(), Clock::now() + kAnswerWait));
        // Delivered, and the head is read: the outcome must not wait for a body that means nothing.
        if (!call_.empty() && !several() && answer_.has_ok_status() && answer_.header_complete()) {
            owner_.finishing(shared_from_this());
            deliver(outcomes());
        }
        read();
    }
    /// A wait binds from when it was written, which is now at the latest: the rest may be long in coming, and
    /// the call may have its outcome.
    ResponseReader::State feed(std::size_t count) {
        const auto state = answer_.feed({owner_.in_.data(), count});
        const auto wait = answer_.retry_after(longest_wait(owner_.config_));
        if (!wait || wait_until_) return state;
        wait_until_ = Clock::now() + *wait;
        if (state == ResponseReader::State::Incomplete || call_.empty()) owner_.waits_({endpoint_, *wait});
        return state;
    }
    /// By us. An answer that has come meanwhile still tells how it ended; one that crosses this, for how long
    /// to wait.
    void give_up(Outcome otherwise) {
        ReadResult read_result;
        for (int reads = 0; reads < kMostReads; ++reads) {
            read_result = read_available(socket_, asio::buffer(owner_.in_));
            if (read_result.result != SocketResult::Done) break;
            const auto state = feed(read_result.count);
            if (state == ResponseReader::State::Complete) return finish();
            if (state == ResponseReader::State::Malformed) break;
        }
        if (!answer_.empty()) otherwise = Outcome::MalformedResponse;
        const bool crossing = read_result.result == SocketResult::NotReady;
        const auto self = shared_from_this();
        end(otherwise, crossing);
        if (!crossing) return;
        ++turn_;  // the end of its write is of no interest any more
        half_closed_ = true;
        boost::system::error_code ignored;
        socket_.shutdown(Tcp::socket::shutdown_send, ignored);
        wait_until(Clock::now() + kCrossing);
        read();
    }
    /// By the target: that may be the end of an answer which tells no length.
    void ended() {
        if (answer_.end_of_stream() == ResponseReader::State::Complete) return finish();
        if (!call_.empty() && answer_.empty() && rested_) owner_.lost(endpoint_, *rested_);
        end(answer_.empty() ? Outcome::ConnectionLost : Outcome::MalformedResponse);
    }

    std::vector<OutcomeEvent> outcomes() const {
        const bool reports = owner_.config_.load_reports;
        if (!several()) return {answer_.outcome(reports)};
        std::vector<MessageId> messages;
        for (const OutgoingAttempt& attempt : call_) messages.push_back(attempt.message);
        return answer_.outcomes(messages, reports);
    }
    void finish() {
        const auto self = shared_from_this();
        auto told = call_.empty() ? std::vector<OutcomeEvent>() : outcomes();
        const auto call = std::exchange(call_, {});
        // first: the decision on this outcome may want the connection
        answer_.allows_reuse() && !half_closed_ ? owner_.now_idle(self) : owner_.drop(self);
        report(call, std::move(told));
    }
    /// Nothing more is read: what has come so far decides. A first line of 200 is true by itself where it
    /// speaks of one message; nothing else proves anything unless the whole answer is sound.
    void end(Outcome otherwise, bool crossing = false) {
        std::vector<OutcomeEvent> told(call_.size());
        for (std::size_t i = 0; i < told.size(); ++i) {
            told[i].outcome = given_up_[i].value_or(otherwise);
            if (!several() && answer_.has_ok_status())
                told[i].outcome = Outcome::Delivered, told[i].terminal = true;
        }
        const auto self = shared_from_this();
        crossing ? owner_.finishing(self) : owner_.drop(self);
        deliver(std::move(told));
    }
    void deliver(std::vector<OutcomeEvent> told) { report(std::exchange(call_, {}), std::move(told)); }
    void report(const std::vector<OutgoingAttempt>& call, std::vector<OutcomeEvent> told) {
        if (call.empty()) return;
        for (std::size_t i = 0; i < call.size(); ++i) {
            told[i].message = call[i].message;
            told[i].endpoint = call[i].endpoint;
            told[i].attempt = call[i].attempt;
            if (rested_)
                told[i].connection_limit_reached = false;  // it was let in before: closed for another reason
            if (wait_until_)
                told[i].retry_after = std::max(Time(0), std::chrono::ceil<Time>(*wait_until_ - Clock::now()));
            told[i].rtt = std::chrono::duration_cast<Time>(Clock::now() - begun_);
        }
        owner_.ended(told, call_.empty());
    }

    EndpointCaller& owner_;
    EndpointId endpoint_;
    Tcp::endpoint address_;
    Tcp::socket socket_;
    asio::steady_timer timer_;
    std::uint64_t turn_ = 0;
    std::vector<OutgoingAttempt> call_;  // until their outcomes are told
    std::vector<std::optional<Outcome>> given_up_;
    bool writing_ = false;      // the call has begun
    bool half_closed_ = false;  // its call was given up
    bool short_of_ = false;     // the connect waits for what this machine lacks
    int missing_routes_ = 0;    // in a row
    Clock::time_point begun_{}, idle_since_{};
    std::optional<Clock::time_point> wait_until_;  // told by its answer
    std::optional<Clock::duration> rested_;        // before its call, where it carried one before
    http::request<http::string_body> request_;
    std::string bytes_;  // of the request, while they are written
    ResponseReader answer_;
};

EndpointCaller::EndpointCaller(asio::io_context& io, const Config& config, std::size_t most_connections,
    Begin begin, Waits waits, Done done)
    : io_(io),
      config_(config),
      most_(most_connections),
      begin_(std::move(begin)),
      waits_(std::move(waits)),
      done_(std::move(done)) {}
EndpointCaller::~EndpointCaller() = default;

void EndpointCaller::set_address(EndpointId endpoint, const Tcp::endpoint& address, std::size_t kind) {
    const auto [found, fresh] = places_.emplace(endpoint, Place{address, kind});
    found->second.kind = kind;
    if (fresh || found->second.address == address) return;
    found->second.address = address;
    close_idle(endpoint);
}

bool EndpointCaller::leads_to(EndpointId endpoint, const Tcp::endpoint& address) const {
    const auto place = places_.find(endpoint);
    return place != places_.end() && place->second.address == address;
}

/// Another target may get its address: no connection made to the one that has gone may carry its calls.
void EndpointCaller::remove_endpoint(EndpointId endpoint) {
    places_.erase(endpoint);
    close_idle(endpoint);
}

void EndpointCaller::start(std::vector<OutgoingAttempt> attempts) {
    std::map<EndpointId, std::vector<OutgoingAttempt>> calls;  // one for each target that is not full yet
    std::map<EndpointId, std::size_t> bytes;
    for (OutgoingAttempt& attempt : attempts) {
        const auto place = places_.find(attempt.endpoint);
        const std::size_t most =
            place != places_.end() ? config_.settings.kinds[place->second.kind].max_messages_per_call : 1;
        const EndpointId endpoint = attempt.endpoint;
        const std::size_t size = size_in_batch(attempt);
        if (bytes[endpoint] + size > kMostBatchBody)
            start_call(std::exchange(calls[endpoint], {})), bytes[endpoint] = 0;
        bytes[endpoint] += size;
        calls[endpoint].push_back(std::move(attempt));
        if (calls[endpoint].size() >= most)
            start_call(std::exchange(calls[endpoint], {})), bytes[endpoint] = 0;
    }
    for (auto& [endpoint, call] : calls) start_call(std::move(call));
}

void EndpointCaller::start_call(std::vector<OutgoingAttempt> attempts) {
    if (attempts.empty()) return;
    // The other side reckons a call's time by its first message: that must not be over while it is waited
    // for.
    std::stable_sort(attempts.begin(), attempts.end(),
        [](const OutgoingAttempt& a, const OutgoingAttempt& b) { return a.deadline > b.deadline; });
    const EndpointId endpoint = attempts.front().endpoint;
    Connection connection = take_idle(endpoint);
    const auto place = places_.find(endpoint);
    if (connection) {  // written at once
        std::erase_if(attempts, [this](const OutgoingAttempt& attempt) {
            const bool may = begin_(attempt.message, attempt.attempt);
            if (!may) not_sent(attempt, Outcome::Withheld);
            return !may;
        });
        if (attempts.empty()) return connection->close();
    } else {
        if (place == places_.end() || !make_room()) {
            for (const OutgoingAttempt& attempt : attempts) not_sent(attempt, Outcome::Withheld);
            return;
        }
        connection = std::make_shared<EndpointConnection>(*this, endpoint, place->second.address);
    }
    for (const OutgoingAttempt& attempt : attempts)
        attempts_.emplace(std::pair(attempt.message, attempt.attempt), connection);
    ++calls_;
    connection->start(std::move(attempts));
}

void EndpointCaller::not_sent(const OutgoingAttempt& attempt, Outcome outcome) {
    OutcomeEvent event;
    event.message = attempt.message;
    event.endpoint = attempt.endpoint;
    event.attempt = attempt.attempt;
    event.outcome = outcome;
    asio::post(io_, [this, event] { done_(event); });
}

void EndpointCaller::cancel(MessageId message, std::uint32_t attempt) {
    const auto found = attempts_.find({message, attempt});
    if (found != attempts_.end()) Connection(found->second)->cancel(message);
}

void EndpointCaller::close_idle(EndpointId endpoint) {
    const auto all = idle_;
    for (const Connection& connection : all)
        if (connection->endpoint() == endpoint) drop(connection);
}

void EndpointCaller::close_all_idle() {
    for (const Connection& connection : std::exchange(idle_, {})) connection->close();
    for (const Connection& connection : std::exchange(finishing_, {})) connection->close();
}

std::vector<EndpointCaller::ActiveCall> EndpointCaller::active_calls() const {
    std::map<const EndpointConnection*, ActiveCall> calls;
    for (const auto& [attempt, connection] : attempts_) {
        ActiveCall& call = calls[connection.get()];
        call.endpoint = connection->endpoint();
        call.started_at = connection->begun();
        call.attempts.push_back(attempt);
    }
    std::vector<ActiveCall> all;
    for (auto& [connection, call] : calls) all.push_back(std::move(call));
    std::sort(all.begin(), all.end(),
        [](const ActiveCall& a, const ActiveCall& b) { return a.started_at < b.started_at; });
    return all;
}

EndpointCaller::Connection EndpointCaller::take_idle(EndpointId endpoint) {
    while (true) {
        const auto found = std::find_if(idle_.rbegin(), idle_.rend(),
            [endpoint](const Connection& one) { return one->endpoint() == endpoint; });
        if (found == idle_.rend()) return nullptr;
        const Connection connection = *found;
        idle_.erase(std::next(found).base());
        if (connection->rested() <= trusted(endpoint) && connection->still_open()) return connection;
        connection->close();
    }
}

Clock::duration EndpointCaller::IdleTrust::now(Clock::time_point time) const {
    const auto doubled = (time - at) / kTrustRise;
    const bool whole = span == Clock::duration::max() || doubled >= 20;
    return whole ? Clock::duration::max() : span * (1 << doubled);
}
void EndpointCaller::IdleTrust::lose(Clock::duration rested, Clock::time_point time) {
    span = std::min(now(time), std::max<Clock::duration>(kLeastTrust, rested / kTrustFall));
    at = time;
}

Clock::duration EndpointCaller::trusted(EndpointId endpoint) const {
    const auto time = Clock::now();
    const auto place = places_.find(endpoint);
    return std::min(
        trust_.now(time), place != places_.end() ? place->second.trust.now(time) : Clock::duration::max());
}

/// One target's process may have died; where another cuts calls off soon after, it is the way there.
void EndpointCaller::lost(EndpointId endpoint, Clock::duration rested) {
    if (rested < kLeastTrust) return;
    const auto time = Clock::now();
    if (lost_at_ && lost_last_ != endpoint && time - *lost_at_ < kTrustRise) trust_.lose(rested, time);
    if (const auto place = places_.find(endpoint); place != places_.end())
        place->second.trust.lose(rested, time);
    lost_last_ = endpoint;
    lost_at_ = time;
}

void EndpointCaller::now_idle(const Connection& connection) {
    std::erase(finishing_, connection);
    // a tenth before the told limit: a request that crosses the target's close ends as a reset
    const auto span = config_.settings.connection_idle_limit * 9 / 10;
    if (!leads_to(connection->endpoint(), connection->address()) || span <= Time(0))
        return connection->close();
    idle_.push_back(connection);
    connection->idle_for(span);
}

void EndpointCaller::finishing(const Connection& connection) { finishing_.push_back(connection); }

void EndpointCaller::drop(const Connection& connection) {
    std::erase(idle_, connection);
    std::erase(finishing_, connection);
    connection->close();
}

/// Under the limit of descriptors: an idle connection goes first, then one whose call has its outcome.
bool EndpointCaller::make_room() {
    const std::size_t most = most_ - std::min(elsewhere_, most_ / 2);
    if (calls_ + idle_.size() + finishing_.size() < most) return true;
    if (!idle_.empty())
        drop(Connection(idle_.front()));
    else if (!finishing_.empty())
        drop(Connection(finishing_.front()));
    return calls_ + idle_.size() + finishing_.size() < most;
}

void EndpointCaller::ended(const std::vector<OutcomeEvent>& outcomes, bool over) {
    if (over) --calls_;
    for (const OutcomeEvent& outcome : outcomes) attempts_.erase({outcome.message, outcome.attempt});
    for (const OutcomeEvent& outcome : outcomes) done_(outcome);
}

}  // namespace lockgw
