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

// Notices are answered at once, and one that is 300 ms late is lost: on a connection that has fallen silent
// they are not waited for, but told again on another. Longer each time: the machine may be slow.
constexpr auto kNoticesWithin = 100ms;
constexpr auto kRetry = 100ms;       // after a failure,
constexpr auto kNoticeRetry = 25ms;  // after a failure: several are to fit in the 300 ms that a notice has,
constexpr int kNoticeDoublings = 4;
constexpr int kRetryDoublings = 2;  // twice as long after each further failure, so often
constexpr auto kTurn = 50ms;        // of each forwarder of the fleet: discovery answers them in turn

// How far those turns may reach. A change counts as told 6 s after the agent had it, and 4 s after a move;
// calls to what drains must have ended 2 s later. The 6 s hold a watch that falls silent as it is asked, one
// more call without an answer, and one that gets it.
constexpr auto kToldAfter = 6000ms;
constexpr auto kLatestFirst = 1000ms;
constexpr auto kLatestMoved = 1000ms;
constexpr auto kLongestPause = 1000ms;
constexpr auto kLongestAfterSilence = 400ms;  // such a call has cost its own time already
static_assert(CallSchedule::kHold + CallSchedule::kWithin + CallSchedule::kFirstHold +
                  CallSchedule::kFirstWithin + 2 * kLongestAfterSilence <
              kToldAfter);
// Of a body that is read at once, as the protocol allows any; a longer one is a list of very many targets,
// and is read in pieces as it arrives.
constexpr std::size_t kMostAtOnce = 64 * 1024;
// Of a long body in one turn: some hundred entries, about a millisecond.
constexpr std::size_t kPiece = 16 * 1024;
// What a long list may take longer than a short one: it may come over a thin line, and be read on a small
// share of a core.
constexpr std::uint64_t kLeastBytesPerMs = 256;
// Where more targets are known than this, also a short list may mean that very many have gone.
constexpr std::size_t kMostToldAtOnce = 2 * ListUpdate::kSlice;
constexpr std::size_t kMostForwarders = 100'000;
constexpr std::size_t kMostNotices = 256;  // in one request

/// A body that takes memory for what has come, whatever length its header tells.
struct ArrivedBody {
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

/// A kept-alive connection to the agent, one request at a time; it is made anew after any failure.
///
/// Its handlers hold it, and pass over what an earlier request left behind: it may be given up at any moment.
class DiscoveryConnection : public std::enable_shared_from_this<DiscoveryConnection> {
    template <class Next>
    auto guarded(Next next) {
        return [self = shared_from_this(), stream = stream_, turn = turn_, next](auto failed, auto&&...) {
            if (turn != self->turn_) return;
            failed ? self->failed(failed) : next(*self);
        };
    }

public:
    /// The answer's status and body; status 0 where there was no answer.
    using Answered = std::function<void(unsigned, std::string)>;
    /// What has come of a long body of an answer 200, which is then not in what Answered gets. Where it
    /// throws, the answer is over: status 0, and what was thrown as its body.
    using Piece = std::function<void(std::string_view)>;

    DiscoveryConnection(asio::io_context& io, const Tcp::endpoint& address)
        : io_(io), address_(address), stream_(std::make_shared<beast::tcp_stream>(io)) {}

    /// Without `piece` an answer's body may not be long.
    void ask(http::verb verb, const std::string& path, std::string body, std::chrono::milliseconds within,
        Answered answered, Piece piece = nullptr) {
        ++turn_;
        answered_ = std::move(answered);
        piece_ = std::move(piece);
        request_ = {verb, path, 11, std::move(body)};
        request_.set(http::field::host, "discovery");
        request_.prepare_payload();
        until_ = std::chrono::steady_clock::now() + within;
        begin();
    }

    /// Nothing is told any more.
    void give_up() {
        ++turn_;
        answered_ = nullptr;
        stream_->close();
    }

private:
    void begin() {
        stream_->expires_at(until_);
        answer_begun_ = false;
        reused_ = stream_->socket().is_open();
        if (reused_) return write();
        stream_->async_connect(address_, guarded([](DiscoveryConnection& self) { self.write(); }));
    }
    /// All requests may be repeated. What this machine lacked for a moment is tried again within the same
    /// time, and so are notices on a connection that had rested and was ended meanwhile. A call for the list
    /// is not: an agent that ends many at once must not get all of them again at once.
    void failed(const boost::system::error_code& error) {
        const bool local = is_local_error(classify(error));
        const bool timed_out = error == beast::error::timeout;
        const bool rested = reused_ && request_.method() == http::verb::post;
        if (answer_begun_ || timed_out || !(local || rested)) return fail(error.message());
        counters().add(Counter::AgentRetries);
        renew();
        if (!local) return begin();
        const auto pause = std::make_shared<asio::steady_timer>(io_, kShortageRetryDelay);
        if (std::chrono::steady_clock::now() + kShortageRetryDelay >= until_) return fail(error.message());
        pause->async_wait(guarded([pause](DiscoveryConnection& self) { self.begin(); }));
    }
    void write() {
        bytes_ = serialize_http(request_);
        boost::system::error_code ignored;
        stream_->socket().non_blocking(true, ignored);
        // the stream's own limit holds for its own operations only
        const auto limit = std::make_shared<asio::steady_timer>(io_, until_);
        limit->async_wait([stream = stream_](auto cancelled) {
            if (!cancelled) stream->close();
        });
        write_all(stream_->socket(), bytes_, [limit, next = guarded([](DiscoveryConnection& self) {
            self.read();
        })](auto failed, std::size_t) {
            limit->cancel();
            next(failed);
        });
    }
    void read() {
        parser_.emplace();
        parser_->eager(true);
        // the pieces are counted instead: this limit does not hold where the header tells a length
        parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
        in_pieces_ = false;
        read_some();
    }
    void read_some() {
        http::async_read_some(
            *stream_, buffer_, *parser_, guarded([](DiscoveryConnection& self) { self.took_some(); }));
    }
    void took_some() {
        answer_begun_ = true;
        if (parser_->get().body().size() > kMostAtOnce && !std::exchange(in_pieces_, true))
            buffer_.reserve(kPiece);
        if (in_pieces_ && !took_piece()) return;
        parser_->is_done() ? answer() : read_some();
    }
    bool took_piece() try {
        if (!piece_ || parser_->get().result() != http::status::ok)
            throw cometspoke::settings::InvalidInput("a body of more than 64 KiB");
        std::string& body = parser_->get().body();
        const auto more_time = std::chrono::milliseconds(body.size() / kLeastBytesPerMs);
        stream_->expires_at(until_ += more_time);
        piece_(body);
        body.clear();
        return true;
    } catch (const std::exception& bad) {
        fail(bad.what());
        return false;
    }
    void answer() {
        stream_->expires_never();
        if (!parser_->get().keep_alive() || buffer_.size() > 0) renew();
        std::exchange(answered_, nullptr)(parser_->get().result_int(), std::move(parser_->get().body()));
    }
    void fail(const std::string& why) {
        renew();
        std::exchange(answered_, nullptr)(0, why);
    }
    void renew() {
        stream_->close();
        stream_ = std::make_shared<beast::tcp_stream>(io_);
        buffer_.clear();
    }

    asio::io_context& io_;
    Tcp::endpoint address_;
    std::shared_ptr<beast::tcp_stream> stream_;
    std::uint64_t turn_ = 0;  // of the request that is out
    beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    std::string bytes_;  // of the request, while they are written
    std::optional<http::response_parser<ArrivedBody>> parser_;
    std::chrono::steady_clock::time_point until_{};  // the answer is waited for
    bool answer_begun_ = false, reused_ = false;     // on a connection that carried another request before
    bool in_pieces_ = false;                         // its body is long
    Answered answered_;
    Piece piece_;
};

CallSchedule::CallSchedule(std::size_t forwarders, std::uint64_t seed)
    : random_(seed), of_all_(kTurn * static_cast<std::int64_t>(std::min(forwarders, kMostForwarders))) {}

std::chrono::milliseconds CallSchedule::first() { return any_of(std::min(of_all_, kLatestFirst)); }
std::chrono::milliseconds CallSchedule::moved() { return any_of(std::min(of_all_, kLatestMoved)); }
std::chrono::milliseconds CallSchedule::after_failure(int failures) {
    return half_or_more_of(std::min(std::max(kRetry, of_all_) * doubled(failures), kLongestPause));
}
std::chrono::milliseconds CallSchedule::after_silence(int failures) {
    return half_or_more_of(std::min(std::max(kRetry, of_all_) * doubled(failures), kLongestAfterSilence));
}
std::chrono::milliseconds CallSchedule::after_refused_notices(int failures) {
    return half_or_more_of(kNoticeRetry * (1 << std::clamp(failures - 1, 0, kNoticeDoublings)));
}

std::chrono::milliseconds CallSchedule::notices_within(int failures) {
    return std::min<std::chrono::milliseconds>(kWithin, kNoticesWithin * (1 << std::min(failures, 4)));
}

int CallSchedule::doubled(int failures) { return 1 << std::clamp(failures - 1, 0, kRetryDoublings); }
std::chrono::milliseconds CallSchedule::any_of(std::chrono::milliseconds span) {
    return std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(0, span.count())(random_));
}
std::chrono::milliseconds CallSchedule::half_or_more_of(std::chrono::milliseconds span) {
    return span / 2 + any_of(span / 2);
}

Discovery::Discovery(
    asio::io_context& io, const Config& config, EndpointDirectory& directory, Told told, Confirmed confirmed)
    : io_(io),
      address_(config.discovery),
      directory_(directory),
      limits_(list_limits(config.memory_bytes, config.max_descriptors)),
      told_(std::move(told)),
      confirmed_(std::move(confirmed)),
      turns_(config.settings.instance_count, config.seed),
      watch_pause_(io),
      report_pause_(io) {}
Discovery::~Discovery() { leave(); }

void Discovery::start(std::optional<std::int64_t> held) { begin(held, held ? turns_.first() : 0ms); }

void Discovery::begin(std::optional<std::int64_t> held, std::chrono::milliseconds pause) {
    revision_ = held;
    watch_ = std::make_shared<DiscoveryConnection>(io_, address_);
    reports_ = std::make_shared<DiscoveryConnection>(io_, address_);
    watch_after(pause);
    post();
}

/// The new agent counts its own versions and has not seen what the old one did not confirm: the whole list is
/// asked for, and every unconfirmed notice goes to it at once. Until it answers the last list stays in use.
void Discovery::move_to(const Tcp::endpoint& address, bool anew) {
    if (address == address_ && !anew) return;
    leave();
    address_ = address;
    posting_ = false;
    begin(std::nullopt, turns_.moved());  // all forwarders may be told to move at once
}

void Discovery::suspend() {
    suspended_ = true;
    leave();
    refuse();  // whoever goes on asks for the whole list
}
void Discovery::resume() {
    suspended_ = false;
    posting_ = false;
    start();
}

void Discovery::leave() {
    ++stay_;
    watch_pause_.cancel();
    report_pause_.cancel();
    if (watch_) watch_->give_up();
    if (reports_) reports_->give_up();
    if (!telling_) refuse();  // no more of it comes
}

/// Changes alone are asked for wherever a whole list is known: whole ones cost discovery much, and at a start
/// of many it has to answer them in turn. Renewed as soon as it is answered: a watch that rests for long is a
/// new one.
void Discovery::watch() {
    watch_waits_ = telling_.has_value();  // an answer must not cross what is still told
    if (watch_waits_) return;
    std::string path = "/v1/servers";
    const auto hold = heard_ ? CallSchedule::kHold : CallSchedule::kFirstHold;
    if (revision_) path += "?from=" + std::to_string(*revision_) + "&hold_ms=" + std::to_string(hold.count());
    const auto within = !revision_ ? CallSchedule::kListWithin
                        : heard_   ? hold + CallSchedule::kWithin
                                   : hold + CallSchedule::kFirstWithin;
    silent_at_ = std::chrono::steady_clock::now() + within;
    watch_->ask(
        http::verb::get, path, "", within,
        [this](unsigned status, const std::string& body) { answered(status, body); },
        [this](std::string_view piece) { read_piece(piece); });
}

void Discovery::answered(unsigned status, const std::string& body) {
    heard_ = status == 200 && (reader_ ? read_to_the_end() : watched(body));
    if (heard_) {
        watch_failures_ = 0;
        return watch();
    }
    if (status != 200 && reader_)
        std::cerr << "discovery: a list refused after " << reader_->entries()
                  << " entries, the last one stays: " << body << '\n';
    else if (status != 200)
        std::cerr << "discovery: no list: " << status << ' ' << body.substr(0, 80) << '\n';
    refuse();
    ++watch_failures_;
    const bool silent = std::chrono::steady_clock::now() >= silent_at_;
    watch_after(silent ? turns_.after_silence(watch_failures_) : turns_.after_failure(watch_failures_));
}

void Discovery::watch_after(std::chrono::milliseconds pause) {
    watch_pause_.expires_after(pause);
    watch_pause_.async_wait([this, stay = stay_](auto cancelled) {
        if (!cancelled && stay == stay_) watch();
    });
}

bool Discovery::watched(const std::string& body) try {
    const EndpointList list = parse_endpoint_list(Json::parse(body), limits_.entries);
    // Changes build on the list that they were asked for; without one they say nothing whole.
    if (!list.complete && !revision_) throw InvalidInput("changes instead of the whole list");
    if (list.complete && directory_.size() > kMostToldAtOnce) return update_by(list);
    revision_ = list.revision;
    told_(list);
    return true;
} catch (const std::exception& bad) {
    std::cerr << "discovery: an unreadable list: " << bad.what() << '\n';
    return false;
}

bool Discovery::update_by(const EndpointList& list) {
    update_ = std::make_shared<ListUpdate>(directory_);
    for (const EndpointRecord& target : list.endpoints) update_->take(target);
    tell({list.revision, list.complete});
    return true;
}

void Discovery::read_piece(std::string_view piece) {
    if (!reader_) {
        update_ = std::make_shared<ListUpdate>(directory_);
        reader_.emplace(
            limits_, [update = update_](EndpointRecord target) { update->take(std::move(target)); });
    }
    reader_->feed(piece);
}

bool Discovery::read_to_the_end() try {
    const ListReader::Head head = reader_->finish();
    if (!head.complete && !revision_) throw InvalidInput("changes instead of the whole list");
    reader_.reset();
    tell(head);
    return true;
} catch (const std::exception& bad) {
    std::cerr << "discovery: an unreadable list: " << bad.what() << '\n';
    return false;
}

void Discovery::tell(ListReader::Head head) {
    update_->finish(head.complete);
    telling_ = Telling{head, stay_};
    asio::post(io_, [this] { tell_slice(); });
}

void Discovery::tell_slice() {
    if (!telling_) return;
    if (auto slice = update_->next()) {
        tell_one(std::move(*slice));
        return asio::post(io_, [this] { tell_slice(); });
    }
    const Telling told = *std::exchange(telling_, std::nullopt);
    update_.reset();
    if (told.stay == stay_) revision_ = told.head.revision;
    if (watch_waits_) watch();
}

/// A fault in one slice must not keep back the others.
void Discovery::tell_one(EndpointList slice) try {
    slice.revision = telling_->head.revision;
    told_(slice);
} catch (const std::exception& bad) {
    std::cerr << "discovery: a part of the list is passed over: " << bad.what() << '\n';
}

/// What has arrived of a long list counts for nothing.
void Discovery::refuse() {
    telling_.reset();
    watch_waits_ = false;
    reader_.reset();
    ListUpdate::discard(io_, std::exchange(update_, nullptr));
}

void Discovery::report(MessageId id, const EndNotice& notice) {
    notices_.insert_or_assign(id, notice);
    post();
}

void Discovery::post() {
    if (!reports_ || suspended_ || posting_ || notices_.empty()) return;
    posting_ = true;
    std::string body;
    std::vector<MessageId> sent;
    for (const auto& [id, notice] : notices_) {
        if (sent.size() == kMostNotices) break;
        Json line{{"ref", cometspoke::settings::format_message_id(id)},
            {"result", notice.bounced ? "bounced" : "dead"}};
        if (notice.bounced && notice.retry_after > 0ms) line["wait_ms"] = notice.retry_after.count();
        body += line.dump() + "\n";
        sent.push_back(id);
    }
    reports_->ask(http::verb::post, "/reports", body, turns_.notices_within(report_failures_),
        [this, sent = std::move(sent)](unsigned status, const std::string& text) {
            posting_ = false;
            if (status == 204) {
                report_failures_ = 0;
                for (const MessageId id : sent) notices_.erase(id), confirmed_(id);
                return post();
            }
            counters().add(Counter::NoticeFailures);
            std::cerr << "discovery: notices not taken: " << status << ' ' << text.substr(0, 80) << '\n';
            report_pause_.expires_after(turns_.after_refused_notices(++report_failures_));
            report_pause_.async_wait([this, stay = stay_](auto cancelled) {
                if (!cancelled && stay == stay_) post();
            });
        });
}

}  // namespace lockgw
