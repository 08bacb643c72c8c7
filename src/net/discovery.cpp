#include "discovery.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <iostream>
#include <limits>
#include <utility>

#include "counters.hpp"
#include "http_bytes.hpp"
#include "socket_io.hpp"

namespace lockgw {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using namespace std::chrono_literals;
using cometspoke::settings::InvalidInput;

namespace {

// The agent responds to notices at once, and a notice that is 300 ms late is lost. The timeout is therefore
// short: notices on a connection without a response are sent again on another connection. It grows with each
// failure because the machine may be slow.
constexpr auto kMinNoticeTimeout = 100ms;
constexpr auto kMinRetryDelay = 100ms;
constexpr auto kNoticeRetryDelay = 25ms;  // several attempts must fit in the 300 ms that a notice has
constexpr int kMaxNoticeDoublings = 4;
constexpr int kMaxRetryDoublings = 2;  // how often the delay doubles with further failures
constexpr auto kCallInterval = 50ms;   // for each forwarder of the fleet: discovery serves them one by one

// Limits on those delays. A change counts as received 6 s after the agent had it, or 4 s after a change of
// agents, and calls to a draining endpoint must have ended 2 s later. The 6 s cover a watch that gets no
// response, one more call without a response, and one that succeeds.
constexpr auto kMaxChangeDelay = 6000ms;
constexpr auto kMaxFirstCallDelay = 1000ms;
constexpr auto kMaxMoveDelay = 1000ms;
constexpr auto kMaxFailureDelay = 1000ms;
constexpr auto kMaxTimeoutDelay = 400ms;  // shorter because the call has already waited for its timeout
static_assert(CallSchedule::kWatchHold + CallSchedule::kWatchMargin + CallSchedule::kFirstWatchHold +
                  CallSchedule::kFirstWatchMargin + 2 * kMaxTimeoutDelay <
              kMaxChangeDelay);
// The largest body that is read as a whole, which is the protocol's limit on ordinary bodies. A longer one is
// a list of very many endpoints and is read in chunks as it arrives.
constexpr std::size_t kMaxBufferedBodyBytes = 64 * 1024;
// How much of a long body is read in one event-loop iteration: some hundred entries, about a millisecond.
constexpr std::size_t kChunkBytes = 16 * 1024;
// The minimum rate at which a long list extends its deadline: it may arrive over a slow link and be read on a
// small share of a core.
constexpr std::uint64_t kMinBytesPerMs = 256;
// If more endpoints than this are known, even a short list may remove very many of them and is applied in
// batches.
constexpr std::size_t kMaxUnbatchedEndpoints = 2 * ListUpdate::kMaxBatchEntries;
constexpr std::size_t kMaxForwarders = 100'000;
constexpr std::size_t kMaxNoticesPerRequest = 256;

/// A body that allocates memory only for bytes that have arrived, whatever Content-Length says.
struct IncrementalBody {
    using value_type = std::string;
    class reader {
    public:
        template <bool IsRequest, class Fields>
        reader(http::header<IsRequest, Fields>&, value_type& body) : body_(body) {}
        void init(const boost::optional<std::uint64_t>&, beast::error_code& error) { error = {}; }
        template <class Buffers>
        std::size_t put(const Buffers& buffers, beast::error_code& error) {
            const std::size_t before = body_.size();
            for (const auto buffer : beast::buffers_range_ref(buffers))
                body_.append(static_cast<const char*>(buffer.data()), buffer.size());
            error = {};
            return body_.size() - before;
        }
        void finish(beast::error_code& error) { error = {}; }

    private:
        value_type& body_;
    };
};

}  // namespace

/// A keep-alive connection to the agent that carries one request at a time and is replaced after any failure.
///
/// Its handlers share ownership of it and ignore events of earlier requests, so it may be cancelled at any
/// time.
class DiscoveryConnection : public std::enable_shared_from_this<DiscoveryConnection> {
    template <class Next>
    auto if_current(Next next) {
        return [self = shared_from_this(), stream = stream_, request_number = request_number_, next](
                   auto error, auto&&...) {
            if (request_number != self->request_number_) return;
            error ? self->on_error(error) : next(*self);
        };
    }

public:
    /// Receives the status and body of the response, or status 0 and an error text if there was none.
    using OnResponse = std::function<void(unsigned, std::string)>;
    /// Receives each chunk of a long body of a response with status 200. OnResponse does not get these bytes.
    /// If the callback throws, the request fails: OnResponse gets status 0 and the exception's text.
    using OnChunk = std::function<void(std::string_view)>;

    DiscoveryConnection(asio::io_context& io, const Tcp::endpoint& address)
        : io_(io), address_(address), stream_(std::make_shared<beast::tcp_stream>(io)) {}

    /// Without `on_chunk` a long response body is an error.
    void send(http::verb verb, const std::string& path, std::string body, std::chrono::milliseconds timeout,
        OnResponse on_response, OnChunk on_chunk = nullptr) {
        ++request_number_;
        on_response_ = std::move(on_response);
        on_chunk_ = std::move(on_chunk);
        request_ = {verb, path, 11, std::move(body)};
        request_.set(http::field::host, "discovery");
        request_.prepare_payload();
        deadline_ = std::chrono::steady_clock::now() + timeout;
        begin();
    }

    /// Ends the request in progress without calling its callbacks.
    void cancel() {
        ++request_number_;
        on_response_ = nullptr;
        stream_->close();
    }

private:
    void begin() {
        response_started_ = false;
        // What came beyond the last response must not be read as the next one.
        if (stream_->socket().is_open() && !is_quiet(stream_->socket())) {
            counters().add(Counter::StaleConnections);
            reset_connection();
        }
        reused_connection_ = stream_->socket().is_open();
        stream_->expires_at(deadline_);
        if (reused_connection_) return write();
        stream_->async_connect(address_, if_current([](DiscoveryConnection& self) { self.write(); }));
    }
    /// All requests may be repeated. After a local shortage of resources the request is tried again until its
    /// deadline, and so are notices on an idle connection that the agent had closed. A request for the list
    /// is not repeated: an agent that closes many connections at once must not get all of these requests
    /// again at once.
    void on_error(const boost::system::error_code& error) {
        const bool local = is_local_error(classify(error));
        const bool timed_out = error == beast::error::timeout;
        const bool idle_connection = reused_connection_ && request_.method() == http::verb::post;
        if (response_started_ || timed_out || !(local || idle_connection)) return fail(error.message());
        counters().add(Counter::AgentRetries);
        reset_connection();
        if (!local) return begin();
        const auto pause = std::make_shared<asio::steady_timer>(io_, kShortageRetryDelay);
        if (std::chrono::steady_clock::now() + kShortageRetryDelay >= deadline_) return fail(error.message());
        pause->async_wait(if_current([pause](DiscoveryConnection& self) { self.begin(); }));
    }
    void write() {
        request_bytes_ = serialize_http(request_);
        boost::system::error_code ignored;
        stream_->socket().non_blocking(true, ignored);
        // The stream's own timeout applies only to operations of the stream.
        const auto limit = std::make_shared<asio::steady_timer>(io_, deadline_);
        limit->async_wait([stream = stream_](auto cancelled) {
            if (!cancelled) stream->close();
        });
        write_all(stream_->socket(), request_bytes_, [limit, next = if_current([](DiscoveryConnection& self) {
            self.read();
        })](auto error, std::size_t) {
            limit->cancel();
            next(error);
        });
    }
    void read() {
        parser_.emplace();
        parser_->eager(true);
        // The chunks are counted instead: this limit does not apply if the header states a length.
        parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
        streaming_ = false;
        read_some();
    }
    void read_some() {
        http::async_read_some(
            *stream_, buffer_, *parser_, if_current([](DiscoveryConnection& self) { self.on_bytes_read(); }));
    }
    void on_bytes_read() {
        response_started_ = true;
        if (parser_->get().body().size() > kMaxBufferedBodyBytes && !std::exchange(streaming_, true))
            buffer_.reserve(kChunkBytes);
        if (streaming_ && !consume_chunk()) return;
        parser_->is_done() ? finish_response() : read_some();
    }
    bool consume_chunk() try {
        if (!on_chunk_ || parser_->get().result() != http::status::ok)
            throw cometspoke::settings::InvalidInput("a body of more than 64 KiB");
        std::string& body = parser_->get().body();
        const auto more_time = std::chrono::milliseconds(body.size() / kMinBytesPerMs);
        stream_->expires_at(deadline_ += more_time);
        on_chunk_(body);
        body.clear();
        return true;
    } catch (const std::exception& error) {
        fail(error.what());
        return false;
    }
    void finish_response() {
        stream_->expires_never();
        if (!parser_->get().keep_alive() || buffer_.size() > 0) reset_connection();
        std::exchange(on_response_, nullptr)(parser_->get().result_int(), std::move(parser_->get().body()));
    }
    void fail(const std::string& why) {
        reset_connection();
        std::exchange(on_response_, nullptr)(0, why);
    }
    void reset_connection() {
        stream_->close();
        stream_ = std::make_shared<beast::tcp_stream>(io_);
        buffer_.clear();
    }

    asio::io_context& io_;
    Tcp::endpoint address_;
    std::shared_ptr<beast::tcp_stream> stream_;
    std::uint64_t request_number_ = 0;  // identifies the request in progress
    beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    std::string request_bytes_;  // the serialized request while it is written
    std::optional<http::response_parser<IncrementalBody>> parser_;
    std::chrono::steady_clock::time_point deadline_{};  // of the response
    bool response_started_ = false;
    bool reused_connection_ = false;  // the connection carried another request before
    bool streaming_ = false;          // the body is long and is passed on in chunks
    OnResponse on_response_;
    OnChunk on_chunk_;
};

CallSchedule::CallSchedule(std::size_t forwarders, std::uint64_t seed)
    : random_(seed),
      fleet_round_(kCallInterval * static_cast<std::int64_t>(std::min(forwarders, kMaxForwarders))) {}

std::chrono::milliseconds CallSchedule::first_call_delay() {
    return random_up_to(std::min(fleet_round_, kMaxFirstCallDelay));
}
std::chrono::milliseconds CallSchedule::move_delay() {
    return random_up_to(std::min(fleet_round_, kMaxMoveDelay));
}
std::chrono::milliseconds CallSchedule::failure_delay(int failures) {
    return jittered(
        std::min(std::max(kMinRetryDelay, fleet_round_) * backoff_factor(failures), kMaxFailureDelay));
}
std::chrono::milliseconds CallSchedule::timeout_delay(int failures) {
    return jittered(
        std::min(std::max(kMinRetryDelay, fleet_round_) * backoff_factor(failures), kMaxTimeoutDelay));
}
std::chrono::milliseconds CallSchedule::notice_retry_delay(int failures) {
    return jittered(kNoticeRetryDelay * (1 << std::clamp(failures - 1, 0, kMaxNoticeDoublings)));
}

std::chrono::milliseconds CallSchedule::notice_timeout(int failures) {
    return std::min<std::chrono::milliseconds>(
        kWatchMargin, kMinNoticeTimeout * (1 << std::min(failures, 4)));
}

int CallSchedule::backoff_factor(int failures) {
    return 1 << std::clamp(failures - 1, 0, kMaxRetryDoublings);
}
std::chrono::milliseconds CallSchedule::random_up_to(std::chrono::milliseconds duration) {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<std::int64_t>(0, duration.count())(random_));
}
std::chrono::milliseconds CallSchedule::jittered(std::chrono::milliseconds duration) {
    return duration / 2 + random_up_to(duration / 2);
}

Discovery::Discovery(asio::io_context& io, const Config& config, EndpointDirectory& directory, OnList on_list,
    OnNoticeConfirmed on_notice_confirmed)
    : io_(io),
      address_(config.discovery),
      directory_(directory),
      limits_(list_limits(config.memory_bytes, config.max_descriptors)),
      on_list_(std::move(on_list)),
      on_notice_confirmed_(std::move(on_notice_confirmed)),
      schedule_(config.settings.instance_count, config.seed),
      watch_timer_(io),
      notice_timer_(io) {}
Discovery::~Discovery() { cancel_requests(); }

void Discovery::start(std::optional<std::int64_t> known_revision) {
    connect(known_revision, known_revision ? schedule_.first_call_delay() : 0ms);
}

void Discovery::connect(std::optional<std::int64_t> known_revision, std::chrono::milliseconds delay) {
    revision_ = known_revision;
    watch_connection_ = std::make_shared<DiscoveryConnection>(io_, address_);
    notice_connection_ = std::make_shared<DiscoveryConnection>(io_, address_);
    schedule_watch(delay);
    send_notices();
}

/// The new agent has revisions of its own and has not received the notices that the old one did not confirm:
/// the complete list is requested from it, and it gets every unconfirmed notice at once. The last list stays
/// in use until it responds.
void Discovery::move_to(const Tcp::endpoint& address, bool force_reload) {
    if (address == address_ && !force_reload) return;
    cancel_requests();
    address_ = address;
    sending_notices_ = false;
    connect(std::nullopt, schedule_.move_delay());  // all forwarders may change their agent at once
}

void Discovery::suspend() {
    suspended_ = true;
    cancel_requests();
    discard_update();  // the process that continues requests the complete list
}
void Discovery::resume() {
    suspended_ = false;
    sending_notices_ = false;
    start();
}

void Discovery::cancel_requests() {
    ++agent_generation_;
    watch_timer_.cancel();
    notice_timer_.cancel();
    if (watch_connection_) watch_connection_->cancel();
    if (notice_connection_) notice_connection_->cancel();
    if (!batched_list_) discard_update();  // the rest of a partly received list will not arrive
}

/// Requests only changes if a complete list is known: complete lists are expensive for discovery, which has
/// to serve them one by one when many forwarders start. The next watch begins as soon as this one gets a
/// response: an agent treats a watch after a long pause as a new one.
void Discovery::watch() {
    // A response must not interleave with batches that are still being applied.
    watch_deferred_ = batched_list_.has_value();
    if (watch_deferred_) return;
    std::string path = "/v1/servers";
    const auto hold = last_watch_succeeded_ ? CallSchedule::kWatchHold : CallSchedule::kFirstWatchHold;
    if (revision_) path += "?from=" + std::to_string(*revision_) + "&hold_ms=" + std::to_string(hold.count());
    const auto timeout = !revision_              ? CallSchedule::kListTimeout
                         : last_watch_succeeded_ ? hold + CallSchedule::kWatchMargin
                                                 : hold + CallSchedule::kFirstWatchMargin;
    response_deadline_ = std::chrono::steady_clock::now() + timeout;
    watch_connection_->send(
        http::verb::get, path, "", timeout,
        [this](unsigned status, const std::string& body) { on_watch_response(status, body); },
        [this](std::string_view chunk) { read_chunk(chunk); });
}

void Discovery::on_watch_response(unsigned status, const std::string& body) {
    last_watch_succeeded_ = status == 200 && (reader_ ? finish_reading() : apply_short_list(body));
    if (last_watch_succeeded_) {
        watch_failures_ = 0;
        return watch();
    }
    if (status != 200 && reader_)
        std::cerr << "discovery: a list refused after " << reader_->entries()
                  << " entries, the last one stays: " << body << '\n';
    else if (status != 200)
        std::cerr << "discovery: no list: " << status << ' ' << body.substr(0, 80) << '\n';
    discard_update();
    ++watch_failures_;
    const bool timed_out = std::chrono::steady_clock::now() >= response_deadline_;
    schedule_watch(
        timed_out ? schedule_.timeout_delay(watch_failures_) : schedule_.failure_delay(watch_failures_));
}

void Discovery::schedule_watch(std::chrono::milliseconds delay) {
    watch_timer_.expires_after(delay);
    watch_timer_.async_wait([this, agent_generation = agent_generation_](auto cancelled) {
        if (!cancelled && agent_generation == agent_generation_) watch();
    });
}

bool Discovery::apply_short_list(const std::string& body) try {
    const EndpointList list = parse_endpoint_list(Json::parse(body), limits_.entries);
    // Changes apply only to the list for which they were requested; without one they are not a whole list.
    if (!list.complete && !revision_) throw InvalidInput("changes instead of the whole list");
    if (list.complete && directory_.size() > kMaxUnbatchedEndpoints) return start_update(list);
    revision_ = list.revision;
    on_list_(list);
    return true;
} catch (const std::exception& error) {
    std::cerr << "discovery: an unreadable list: " << error.what() << '\n';
    return false;
}

bool Discovery::start_update(const EndpointList& list) {
    update_ = std::make_shared<ListUpdate>(directory_);
    for (const EndpointRecord& endpoint : list.endpoints) update_->take(endpoint);
    start_batches({list.revision, list.complete});
    return true;
}

void Discovery::read_chunk(std::string_view chunk) {
    if (!reader_) {
        update_ = std::make_shared<ListUpdate>(directory_);
        reader_.emplace(
            limits_, [update = update_](EndpointRecord endpoint) { update->take(std::move(endpoint)); });
    }
    reader_->feed(chunk);
}

bool Discovery::finish_reading() try {
    const ListReader::Head head = reader_->finish();
    if (!head.complete && !revision_) throw InvalidInput("changes instead of the whole list");
    reader_.reset();
    start_batches(head);
    return true;
} catch (const std::exception& error) {
    std::cerr << "discovery: an unreadable list: " << error.what() << '\n';
    return false;
}

void Discovery::start_batches(ListReader::Head head) {
    update_->finish(head.complete);
    batched_list_ = BatchedList{head, agent_generation_};
    asio::post(io_, [this] { apply_next_batch(); });
}

void Discovery::apply_next_batch() {
    if (!batched_list_) return;
    if (auto batch = update_->next()) {
        apply_batch(std::move(*batch));
        return asio::post(io_, [this] { apply_next_batch(); });
    }
    const BatchedList list = *std::exchange(batched_list_, std::nullopt);
    update_.reset();
    if (list.agent_generation == agent_generation_) revision_ = list.head.revision;
    if (watch_deferred_) watch();
}

/// An error in one batch must not prevent the others from being applied.
void Discovery::apply_batch(EndpointList batch) try {
    batch.revision = batched_list_->head.revision;
    on_list_(batch);
} catch (const std::exception& error) {
    std::cerr << "discovery: a part of the list is passed over: " << error.what() << '\n';
}

/// Discards all that has arrived of a long list.
void Discovery::discard_update() {
    batched_list_.reset();
    watch_deferred_ = false;
    reader_.reset();
    ListUpdate::discard(io_, std::exchange(update_, nullptr));
}

void Discovery::report(MessageId id, const EndNotice& notice) {
    notices_.insert_or_assign(id, notice);
    send_notices();
}

void Discovery::send_notices() {
    if (!notice_connection_ || suspended_ || sending_notices_ || notices_.empty()) return;
    sending_notices_ = true;
    std::string body;
    std::vector<MessageId> sent;
    for (const auto& [id, notice] : notices_) {
        if (sent.size() == kMaxNoticesPerRequest) break;
        Json line{{"ref", cometspoke::settings::format_message_id(id)},
            {"result", notice.bounced ? "bounced" : "dead"}};
        if (notice.bounced && notice.retry_after > 0ms) line["wait_ms"] = notice.retry_after.count();
        body += line.dump() + "\n";
        sent.push_back(id);
    }
    notice_connection_->send(http::verb::post, "/reports", body, schedule_.notice_timeout(notice_failures_),
        [this, sent = std::move(sent)](unsigned status, const std::string& text) {
            sending_notices_ = false;
            if (status == 204) {
                notice_failures_ = 0;
                for (const MessageId id : sent) notices_.erase(id), on_notice_confirmed_(id);
                return send_notices();
            }
            counters().add(Counter::NoticeFailures);
            std::cerr << "discovery: notices not taken: " << status << ' ' << text.substr(0, 80) << '\n';
            notice_timer_.expires_after(schedule_.notice_retry_delay(++notice_failures_));
            notice_timer_.async_wait([this, agent_generation = agent_generation_](auto cancelled) {
                if (!cancelled && agent_generation == agent_generation_) send_notices();
            });
        });
}

}  // namespace lockgw
