#include "endpoint_caller.hpp"

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

/// From the first byte of a response to its last.
constexpr auto kMaxResponseDuration = 1s;
/// A response that the endpoint wrote while its call was given up arrives within this round-trip time.
constexpr auto kMaxLateResponseWait = 200ms;
/// Failed connects without a route, 5 ms apart, are a local error up to this number; any further one counts
/// against the endpoint.
constexpr int kMaxConnectsWithoutRoute = 20;
/// Reads of a response that arrived before its call was given up.
constexpr int kMaxReadsOnGiveUp = 8;
/// A Retry-After is honoured up to this time or this number of the longest deadlines, whichever is longer.
constexpr auto kMinRetryAfterLimit = 60s;
constexpr int kRetryAfterLimitInDeadlines = 5;
/// A shorter idle time is not regarded as the cause of a reset.
constexpr auto kMinIdleReuseLimit = 50ms;
/// A reset lowers the idle time that allows reuse to the connection's idle time divided by this.
constexpr int kIdleReuseDivisor = 4;
/// The limit doubles after each such period without a reset.
constexpr auto kIdleReuseDoublingTime = 10s;
/// Some endpoints send more than the response, straight after it. A connection must have been quiet for this
/// long before it carries another call, or the surplus would be read as the response to that call.
constexpr auto kQuietTimeAfterResponse = 2ms;
/// Set by the protocol.
constexpr std::size_t kMaxBatchBodyBytes = 64 * 1024;

/// No outage lasts long enough to justify a longer wait, and one corrupt value must not block a destination
/// for good.
Time max_retry_after(const Config& config) {
    Time longest{0};
    for (const auto& kind : config.settings.classes) longest = std::max(longest, kind.deadline);
    return std::max<Time>(kMinRetryAfterLimit, kRetryAfterLimitInDeadlines * longest);
}

std::string base64(const std::string& bytes) {
    using namespace boost::archive::iterators;
    using Digits = base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
    std::string text(Digits(bytes.begin()), Digits(bytes.end()));
    return text.append((3 - bytes.size() % 3) % 3, '=');
}

/// The size that an attempt takes up in the body of a batch call.
std::size_t size_in_batch(const OutgoingAttempt& attempt) {
    constexpr std::size_t kNamesBytes = 64;  // with the id, quotes and commas
    return kNamesBytes + 2 * attempt.key.size() + (attempt.body.size() + 2) / 3 * 4;
}

std::string batch_body(const std::vector<OutgoingAttempt>& attempts) {
    Json batch = Json::array();
    for (const OutgoingAttempt& attempt : attempts) {
        Json entry{
            {"id", cometspoke::settings::format_message_id(attempt.message)}, {"body", base64(attempt.body)}};
        if (!attempt.key.empty()) entry["key"] = attempt.key;
        batch.push_back(std::move(entry));
    }
    return batch.dump();
}

}  // namespace

class EndpointConnection : public std::enable_shared_from_this<EndpointConnection> {
    /// Wraps a handler so that it is ignored once its call has ended or the connection was closed.
    template <class Handler>
    auto guarded(Handler handler) {
        return [self = shared_from_this(), generation = generation_, handler](auto error, auto&&...) {
            if (generation == self->generation_) handler(error);
        };
    }

public:
    EndpointConnection(EndpointCaller& caller, EndpointId endpoint, const Tcp::endpoint& address)
        : caller_(caller), endpoint_(endpoint), address_(address), socket_(caller.io_), timer_(caller.io_) {}

    EndpointId endpoint() const { return endpoint_; }
    const Tcp::endpoint& address() const { return address_; }
    Clock::time_point started_at() const { return started_at_; }

    void start(std::vector<OutgoingAttempt> attempts) {
        started_at_ = Clock::now();
        idle_before_call_ = socket_.is_open() ? std::optional(started_at_ - idle_since_) : std::nullopt;
        ++generation_;
        request_started_ = false;
        attempts_ = std::move(attempts);
        early_outcomes_.assign(attempts_.size(), std::nullopt);
        response_ = ResponseReader(is_batch());
        retry_after_end_.reset();
        if (!socket_.is_open()) return connect_for_call();
        socket_.cancel();  // the wait for a close by the endpoint while the connection was idle
        write_request_when_quiet();
    }

    /// The call goes on while another of its messages is awaited: a retry of the cancelled message before the
    /// connection is closed would leave two copies of it active at once.
    void cancel(MessageId message) {
        for (std::size_t i = 0; i < attempts_.size(); ++i)
            if (attempts_[i].message == message && !early_outcomes_[i])
                early_outcomes_[i] = request_started_ ? Outcome::Cancelled : Outcome::Withheld;
        if (!has_awaited_attempt())
            request_started_ ? give_up(Outcome::Cancelled) : end_call(Outcome::Cancelled);
    }

    /// Keeps the connection open without a call for up to `duration`, so that it is closed before the
    /// endpoint may close it. A close by the endpoint is noticed at once.
    void stay_idle(Clock::duration duration) {
        ++generation_;
        idle_since_ = Clock::now();
        set_timer(idle_since_ + duration);
        socket_.async_wait(
            Tcp::socket::wait_read, guarded([this](auto) { caller_.close_connection(shared_from_this()); }));
    }
    Clock::duration idle_time() const { return Clock::now() - idle_since_; }
    bool quiet() { return is_quiet(socket_); }
    void close() {
        ++generation_;
        boost::system::error_code ignored;
        timer_.cancel();
        socket_.close(ignored);
    }

private:
    void connect_for_call() {
        set_timer(std::min(start_deadline(),
            started_at_ + std::min<Clock::duration>(longest_timeout(), caller_.config_.connect_timeout)));
        connect();
    }

    /// A connection on which more than the response has arrived is replaced before anything is written to it.
    void write_request_when_quiet() {
        const auto quiet_at = idle_since_ + kQuietTimeAfterResponse;
        if (Clock::now() >= quiet_at) return write_request();
        timer_.expires_at(quiet_at);
        timer_.async_wait(guarded([this](auto cancelled) {
            if (cancelled) return;
            if (quiet()) return start_connected();  // Messages may have ended meanwhile.
            counters().add(Counter::StaleConnections);
            boost::system::error_code ignored;
            socket_.close(ignored);
            idle_before_call_.reset();
            connect_for_call();
        }));
    }
    void connect() {
        local_shortage_ = false;
        socket_.async_connect(address_, guarded([this](auto error) {
            const SocketResult result = classify(error);
            const bool unreachable =
                result == SocketResult::NoRoute && ++connects_without_route_ > kMaxConnectsWithoutRoute;
            if (is_local_error(result) && !unreachable) return connect_later();
            if (result != SocketResult::Done) return end_call(Outcome::ConnectFailed);
            socket_.set_option(Tcp::no_delay(true), error);
            socket_.non_blocking(true, error);
            start_connected();
        }));
    }
    /// Retries after a local error. Nothing has reached the endpoint, so the call may still be made until its
    /// time is up.
    void connect_later() {
        boost::system::error_code ignored;
        socket_.close(ignored);
        local_shortage_ = true;
        counters().add(Counter::ConnectRetries);
        const auto timer = std::make_shared<asio::steady_timer>(caller_.io_, kShortageRetryDelay);
        timer->async_wait(guarded([this, timer](auto) { connect(); }));
    }

    void set_timer(Clock::time_point expiry) {
        timer_.expires_at(expiry);
        timer_.async_wait(guarded([this, expiry](auto cancelled) {
            if (!cancelled && expiry == timer_.expiry()) on_timer();
        }));
    }
    void on_timer() {
        if (attempts_.empty()) return caller_.close_connection(shared_from_this());
        // The start deadline and the shortage are local: they say nothing about the endpoint.
        if (!request_started_ && (local_shortage_ || Clock::now() >= start_deadline()))
            return end_call(Outcome::Withheld);
        // The system may have sent the last byte of the request before the event loop reports it, so a
        // request whose writing has started counts as sent.
        request_started_ ? give_up(Outcome::TimedOut) : end_call(Outcome::ConnectFailed);
    }

    bool is_batch() const { return attempts_.size() > 1; }
    bool has_awaited_attempt() const {
        return std::any_of(
            early_outcomes_.begin(), early_outcomes_.end(), [](const auto& outcome) { return !outcome; });
    }
    Time longest_timeout() const {
        Time longest{0};
        for (const OutgoingAttempt& attempt : attempts_) longest = std::max(longest, attempt.timeout);
        return longest;
    }

    /// The earliest time after which one of the messages must not start any more.
    Clock::time_point start_deadline() const {
        auto earliest = Clock::time_point::max();
        for (const OutgoingAttempt& attempt : attempts_)
            if (attempt.start_within) earliest = std::min(earliest, started_at_ + *attempt.start_within);
        return earliest;
    }

    /// Continues the call on a connection that was established, or became quiet, after the call was decided.
    /// Attempts that may not start any more are removed from the call; the others go on.
    void start_connected() {
        const bool address_valid = caller_.has_address(endpoint_, address_);
        std::vector<OutgoingAttempt> started, withheld;
        for (std::size_t i = 0; i < attempts_.size(); ++i) {
            const bool may_start = address_valid && !early_outcomes_[i] &&
                                   caller_.may_start_(attempts_[i].message, attempts_[i].attempt);
            (may_start ? started : withheld).push_back(std::move(attempts_[i]));
        }
        attempts_ = std::move(started);
        early_outcomes_.assign(attempts_.size(), std::nullopt);
        response_ = ResponseReader(is_batch());
        attempts_.empty() ? caller_.add_idle(shared_from_this()) : write_request();
        std::vector<OutcomeEvent> events(withheld.size());
        for (OutcomeEvent& event : events) event.outcome = Outcome::Withheld;
        report(withheld, std::move(events));
    }

    void write_request() {
        request_started_ = true;
        const auto time_left = started_at_ + longest_timeout() - Clock::now();
        set_timer(started_at_ + longest_timeout());
        request_ = {http::verb::post, is_batch() ? "/v1/messages:batch" : "/v1/messages", 11};
        request_.set(http::field::host, caller_.config_.name);
        const auto budget = std::chrono::duration_cast<std::chrono::milliseconds>(time_left).count();
        request_.set("X-Budget-Ms", std::to_string(std::max<std::int64_t>(1, budget)));
        if (is_batch()) {
            request_.body() = batch_body(attempts_);
        } else {
            OutgoingAttempt& attempt = attempts_.front();
            request_.set("X-Call-Id", cometspoke::settings::format_message_id(attempt.message));
            if (!attempt.key.empty()) request_.set("Idempotency-Key", attempt.key);
            request_.body() = std::move(attempt.body);
        }
        request_.content_length(request_.body().size());
        request_bytes_ = serialize_http(request_);
        write_all(socket_, request_bytes_, guarded([this](auto error) {
            if (error) return end_call(Outcome::ConnectFailed);
            wait_for_response();
        }));
    }

    void wait_for_response() {
        // Whatever error the wait reports, only a read tells whether the connection has ended.
        socket_.async_wait(Tcp::socket::wait_read, guarded([this](auto error) {
            classify(error) == SocketResult::Cancelled ? on_connection_end() : read_response();
        }));
    }
    void read_response() {
        const ReadResult read_result = read_available(socket_, asio::buffer(caller_.read_buffer_));
        if (read_result.result == SocketResult::NotReady) return wait_for_response();
        if (read_result.result != SocketResult::Done) return on_connection_end();
        const bool is_first_read = response_.empty();
        switch (parse_response(read_result.count)) {
            case ResponseReader::State::Complete:
                return finish_response();
            case ResponseReader::State::Malformed:
                return end_call(Outcome::MalformedResponse);
            case ResponseReader::State::Incomplete:
                break;
        }
        // A response that has started must end soon: its call counts against the maximum number of calls, and
        // some responses never end.
        if (!attempts_.empty() && is_first_read && !response_.empty())
            set_timer(std::min<Clock::time_point>(
                started_at_ + longest_timeout(), Clock::now() + kMaxResponseDuration));
        // A delivery whose header is complete is reported without waiting for the body, which has no meaning.
        if (!attempts_.empty() && !is_batch() && response_.has_ok_status() && response_.header_complete()) {
            caller_.add_lingering(shared_from_this());
            report_call(outcomes());
        }
        wait_for_response();
    }
    /// A Retry-After counts from when the endpoint wrote it, which is now at the latest. It is reported at
    /// once where the rest of the response may take long or the call already has its outcome.
    ResponseReader::State parse_response(std::size_t count) {
        const auto state = response_.feed({caller_.read_buffer_.data(), count});
        const auto retry_after = response_.retry_after(max_retry_after(caller_.config_));
        if (!retry_after || retry_after_end_) return state;
        retry_after_end_ = Clock::now() + *retry_after;
        if (state == ResponseReader::State::Incomplete || attempts_.empty())
            caller_.on_retry_after_({endpoint_, *retry_after});
        return state;
    }
    /// Ends the call from this side. A response that has already arrived still decides the outcome, and one
    /// that is still on its way may carry a Retry-After.
    void give_up(Outcome otherwise) {
        ReadResult read_result;
        for (int reads = 0; reads < kMaxReadsOnGiveUp; ++reads) {
            read_result = read_available(socket_, asio::buffer(caller_.read_buffer_));
            if (read_result.result != SocketResult::Done) break;
            const auto state = parse_response(read_result.count);
            if (state == ResponseReader::State::Complete) return finish_response();
            if (state == ResponseReader::State::Malformed) break;
        }
        if (!response_.empty()) otherwise = Outcome::MalformedResponse;
        const bool await_late_response = read_result.result == SocketResult::NotReady;
        const auto self = shared_from_this();
        end_call(otherwise, await_late_response);
        if (!await_late_response) return;
        ++generation_;  // the result of the write does not matter any more
        half_closed_ = true;
        boost::system::error_code ignored;
        socket_.shutdown(Tcp::socket::shutdown_send, ignored);
        set_timer(Clock::now() + kMaxLateResponseWait);
        wait_for_response();
    }
    /// The endpoint closed the connection, which may be the end of a response without a length.
    void on_connection_end() {
        if (response_.end_of_stream() == ResponseReader::State::Complete) return finish_response();
        if (!attempts_.empty() && response_.empty() && idle_before_call_)
            caller_.record_idle_reset(endpoint_, *idle_before_call_);
        end_call(response_.empty() ? Outcome::ConnectionLost : Outcome::MalformedResponse);
    }

    std::vector<OutcomeEvent> outcomes() const {
        const bool load_reports = caller_.config_.load_reports;
        if (!is_batch()) return {response_.outcome(load_reports)};
        std::vector<MessageId> messages;
        for (const OutgoingAttempt& attempt : attempts_) messages.push_back(attempt.message);
        return response_.outcomes(messages, load_reports);
    }
    void finish_response() {
        const auto self = shared_from_this();
        auto events = attempts_.empty() ? std::vector<OutcomeEvent>() : outcomes();
        const auto attempts = std::exchange(attempts_, {});
        // The connection is released first: the decision on this outcome may use it.
        response_.allows_reuse() && !half_closed_ ? caller_.add_idle(self) : caller_.close_connection(self);
        report(attempts, std::move(events));
    }
    /// Ends the call without further reads, so that what has arrived so far decides. A status line with 200
    /// proves delivery by itself where the call carries one message; anything else proves nothing unless the
    /// whole response is well-formed.
    void end_call(Outcome otherwise, bool await_late_response = false) {
        std::vector<OutcomeEvent> events(attempts_.size());
        for (std::size_t i = 0; i < events.size(); ++i) {
            events[i].outcome = early_outcomes_[i].value_or(otherwise);
            if (!is_batch() && response_.has_ok_status())
                events[i].outcome = Outcome::Delivered, events[i].terminal = true;
        }
        const auto self = shared_from_this();
        await_late_response ? caller_.add_lingering(self) : caller_.close_connection(self);
        report_call(std::move(events));
    }
    void report_call(std::vector<OutcomeEvent> events) {
        report(std::exchange(attempts_, {}), std::move(events));
    }
    void report(const std::vector<OutgoingAttempt>& attempts, std::vector<OutcomeEvent> events) {
        if (attempts.empty()) return;
        for (std::size_t i = 0; i < attempts.size(); ++i) {
            events[i].message = attempts[i].message;
            events[i].endpoint = attempts[i].endpoint;
            events[i].attempt = attempts[i].attempt;
            // The endpoint accepted this connection before, so it is closed for another reason.
            if (idle_before_call_) events[i].connection_limit_reached = false;
            if (retry_after_end_)
                events[i].retry_after =
                    std::max(Time(0), std::chrono::ceil<Time>(*retry_after_end_ - Clock::now()));
            events[i].rtt = std::chrono::duration_cast<Time>(Clock::now() - started_at_);
        }
        caller_.report_outcomes(events, attempts_.empty());
    }

    EndpointCaller& caller_;
    EndpointId endpoint_;
    Tcp::endpoint address_;
    Tcp::socket socket_;
    asio::steady_timer timer_;
    std::uint64_t generation_ = 0;                        // of the handlers that are still valid
    std::vector<OutgoingAttempt> attempts_;               // of the call, until their outcomes are reported
    std::vector<std::optional<Outcome>> early_outcomes_;  // of cancelled attempts
    bool request_started_ = false;                        // the first byte may have been written
    bool half_closed_ = false;                            // the call was given up
    bool local_shortage_ = false;                         // connecting waits for a resource of this machine
    int connects_without_route_ = 0;                      // in a row
    Clock::time_point started_at_{}, idle_since_{};
    std::optional<Clock::time_point> retry_after_end_;  // from the response
    std::optional<Clock::duration> idle_before_call_;   // unset on the first call of a connection
    http::request<http::string_body> request_;
    std::string request_bytes_;  // used until the request is written
    ResponseReader response_;
};

EndpointCaller::EndpointCaller(asio::io_context& io, const Config& config, std::size_t max_connections,
    MayStart may_start, OnRetryAfter on_retry_after, OnOutcome on_outcome)
    : io_(io),
      config_(config),
      max_connections_(max_connections),
      may_start_(std::move(may_start)),
      on_retry_after_(std::move(on_retry_after)),
      on_outcome_(std::move(on_outcome)) {}
EndpointCaller::~EndpointCaller() = default;

void EndpointCaller::set_address(EndpointId endpoint, const Tcp::endpoint& address, std::size_t kind) {
    const auto [state, inserted] = endpoints_.emplace(endpoint, EndpointState{address, kind});
    state->second.kind = kind;
    if (inserted || state->second.address == address) return;
    state->second.address = address;
    close_idle(endpoint);
}

bool EndpointCaller::has_address(EndpointId endpoint, const Tcp::endpoint& address) const {
    const auto state = endpoints_.find(endpoint);
    return state != endpoints_.end() && state->second.address == address;
}

/// Another endpoint may get the same address, so no connection to the removed endpoint may carry calls.
void EndpointCaller::remove_endpoint(EndpointId endpoint) {
    endpoints_.erase(endpoint);
    close_idle(endpoint);
}

void EndpointCaller::start(std::vector<OutgoingAttempt> attempts) {
    std::map<EndpointId, std::vector<OutgoingAttempt>> calls;  // the call of each endpoint that is not full
    std::map<EndpointId, std::size_t> bytes;
    for (OutgoingAttempt& attempt : attempts) {
        const auto state = endpoints_.find(attempt.endpoint);
        const std::size_t max_messages =
            state != endpoints_.end() ? config_.settings.kinds[state->second.kind].max_messages_per_call : 1;
        const EndpointId endpoint = attempt.endpoint;
        const std::size_t size = size_in_batch(attempt);
        if (bytes[endpoint] + size > kMaxBatchBodyBytes)
            start_call(std::exchange(calls[endpoint], {})), bytes[endpoint] = 0;
        bytes[endpoint] += size;
        calls[endpoint].push_back(std::move(attempt));
        if (calls[endpoint].size() >= max_messages)
            start_call(std::exchange(calls[endpoint], {})), bytes[endpoint] = 0;
    }
    for (auto& [endpoint, call] : calls) start_call(std::move(call));
}

void EndpointCaller::start_call(std::vector<OutgoingAttempt> attempts) {
    if (attempts.empty()) return;
    // The endpoint measures a call's time by its first message, which must not expire while the call is
    // awaited.
    std::stable_sort(attempts.begin(), attempts.end(),
        [](const OutgoingAttempt& a, const OutgoingAttempt& b) { return a.deadline > b.deadline; });
    const EndpointId endpoint = attempts.front().endpoint;
    Connection connection = take_idle(endpoint);
    const auto state = endpoints_.find(endpoint);
    if (connection) {  // the request is written at once
        std::erase_if(attempts, [this](const OutgoingAttempt& attempt) {
            const bool may_start = may_start_(attempt.message, attempt.attempt);
            if (!may_start) post_outcome(attempt, Outcome::Withheld);
            return !may_start;
        });
        if (attempts.empty()) return connection->close();
    } else {
        if (state == endpoints_.end() || !make_room()) {
            for (const OutgoingAttempt& attempt : attempts) post_outcome(attempt, Outcome::Withheld);
            return;
        }
        connection = std::make_shared<EndpointConnection>(*this, endpoint, state->second.address);
    }
    for (const OutgoingAttempt& attempt : attempts)
        connections_by_attempt_.emplace(std::pair(attempt.message, attempt.attempt), connection);
    ++active_call_count_;
    connection->start(std::move(attempts));
}

void EndpointCaller::post_outcome(const OutgoingAttempt& attempt, Outcome outcome) {
    OutcomeEvent event;
    event.message = attempt.message;
    event.endpoint = attempt.endpoint;
    event.attempt = attempt.attempt;
    event.outcome = outcome;
    asio::post(io_, [this, event] { on_outcome_(event); });
}

void EndpointCaller::cancel(MessageId message, std::uint32_t attempt) {
    const auto found = connections_by_attempt_.find({message, attempt});
    if (found != connections_by_attempt_.end()) Connection(found->second)->cancel(message);
}

void EndpointCaller::close_idle(EndpointId endpoint) {
    const auto idle = idle_;
    for (const Connection& connection : idle)
        if (connection->endpoint() == endpoint) close_connection(connection);
}

void EndpointCaller::close_all_idle() {
    for (const Connection& connection : std::exchange(idle_, {})) connection->close();
    for (const Connection& connection : std::exchange(lingering_, {})) connection->close();
}

std::vector<EndpointCaller::ActiveCall> EndpointCaller::active_calls() const {
    std::map<const EndpointConnection*, ActiveCall> calls;
    for (const auto& [attempt, connection] : connections_by_attempt_) {
        ActiveCall& call = calls[connection.get()];
        call.endpoint = connection->endpoint();
        call.started_at = connection->started_at();
        call.attempts.push_back(attempt);
    }
    std::vector<ActiveCall> sorted;
    for (auto& [connection, call] : calls) sorted.push_back(std::move(call));
    std::sort(sorted.begin(), sorted.end(),
        [](const ActiveCall& a, const ActiveCall& b) { return a.started_at < b.started_at; });
    return sorted;
}

EndpointCaller::Connection EndpointCaller::take_idle(EndpointId endpoint) {
    while (true) {
        const auto found = std::find_if(idle_.rbegin(), idle_.rend(),
            [endpoint](const Connection& candidate) { return candidate->endpoint() == endpoint; });
        if (found == idle_.rend()) return nullptr;
        const Connection connection = *found;
        idle_.erase(std::next(found).base());
        if (connection->idle_time() <= idle_reuse_limit(endpoint) && connection->quiet()) return connection;
        counters().add(Counter::StaleConnections);
        connection->close();
    }
}

Clock::duration EndpointCaller::IdleReuseLimit::at(Clock::time_point now) const {
    const auto doublings = (now - lowered_at) / kIdleReuseDoublingTime;
    const bool unlimited = limit == Clock::duration::max() || doublings >= 20;
    return unlimited ? Clock::duration::max() : limit * (1 << doublings);
}
void EndpointCaller::IdleReuseLimit::lower(Clock::duration idle_time, Clock::time_point now) {
    limit = std::min(at(now), std::max<Clock::duration>(kMinIdleReuseLimit, idle_time / kIdleReuseDivisor));
    lowered_at = now;
}

Clock::duration EndpointCaller::idle_reuse_limit(EndpointId endpoint) const {
    const auto now = Clock::now();
    const auto state = endpoints_.find(endpoint);
    return std::min(common_idle_reuse_limit_.at(now),
        state != endpoints_.end() ? state->second.idle_reuse_limit.at(now) : Clock::duration::max());
}

/// One endpoint's process may have died. Resets by two endpoints in short succession point to the network
/// path, so the limit that is common to all endpoints is lowered as well.
void EndpointCaller::record_idle_reset(EndpointId endpoint, Clock::duration idle_time) {
    if (idle_time < kMinIdleReuseLimit) return;
    const auto now = Clock::now();
    if (last_reset_at_ && last_reset_endpoint_ != endpoint && now - *last_reset_at_ < kIdleReuseDoublingTime)
        common_idle_reuse_limit_.lower(idle_time, now);
    if (const auto state = endpoints_.find(endpoint); state != endpoints_.end())
        state->second.idle_reuse_limit.lower(idle_time, now);
    last_reset_endpoint_ = endpoint;
    last_reset_at_ = now;
}

void EndpointCaller::add_idle(const Connection& connection) {
    std::erase(lingering_, connection);
    // The connection is closed a tenth before the configured limit, because a request that crosses the
    // endpoint's close ends with a reset.
    const auto duration = config_.settings.connection_idle_limit * 9 / 10;
    if (!has_address(connection->endpoint(), connection->address()) || duration <= Time(0))
        return connection->close();
    idle_.push_back(connection);
    connection->stay_idle(duration);
}

void EndpointCaller::add_lingering(const Connection& connection) { lingering_.push_back(connection); }

void EndpointCaller::close_connection(const Connection& connection) {
    std::erase(idle_, connection);
    std::erase(lingering_, connection);
    connection->close();
}

/// Keeps the number of connections under the descriptor limit. An idle connection is closed first, then one
/// whose call has its outcome.
bool EndpointCaller::make_room() {
    const std::size_t available = max_connections_ - std::min(reserved_connections_, max_connections_ / 2);
    if (active_call_count_ + idle_.size() + lingering_.size() < available) return true;
    if (!idle_.empty())
        close_connection(Connection(idle_.front()));
    else if (!lingering_.empty())
        close_connection(Connection(lingering_.front()));
    return active_call_count_ + idle_.size() + lingering_.size() < available;
}

void EndpointCaller::report_outcomes(const std::vector<OutcomeEvent>& outcomes, bool call_ended) {
    if (call_ended) --active_call_count_;
    for (const OutcomeEvent& outcome : outcomes)
        connections_by_attempt_.erase({outcome.message, outcome.attempt});
    for (const OutcomeEvent& outcome : outcomes) on_outcome_(outcome);
}

}  // namespace lockgw
