#include "management.hpp"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <optional>
#include <utility>

#include "http_bytes.hpp"
#include "socket_io.hpp"

namespace lockgw {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using namespace std::chrono_literals;

namespace {

constexpr auto kWholeCall = 5s;   // from connecting to the call's last byte: some write in small pieces
constexpr auto kCloseAfter = 1s;  // for the answer to be taken
constexpr auto kAcceptPause = 20ms;
constexpr std::uint32_t kMostHeader = 4096;
constexpr std::uint64_t kMostBody = 4096;  // no call needs one; a short one is passed over

struct Known {
    std::string_view path;
    http::verb method;
    OperatorCommand order;
    bool names_endpoint;
};
constexpr Known kCalls[] = {
    {"/ready", http::verb::get, OperatorCommand::Ready, false},
    {"/endpoints/disable", http::verb::post, OperatorCommand::Disable, true},
    {"/endpoints/enable", http::verb::post, OperatorCommand::Enable, true},
    {"/drain", http::verb::post, OperatorCommand::Drain, false},
    {"/undrain", http::verb::post, OperatorCommand::Undrain, false},
    {"/counters", http::verb::get, OperatorCommand::Counters, false},
};

int hex_digit(char letter) {
    static constexpr std::string_view digits = "0123456789abcdef0123456789ABCDEF";
    const auto at = digits.find(letter);
    return at == std::string_view::npos ? -1 : static_cast<int>(at % 16);
}
/// "%2D" as the byte that it stands for; none where an escape makes no sense.
std::optional<std::string> unescaped(std::string_view text) {
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            plain += text[i];
            continue;
        }
        if (i + 2 >= text.size()) return std::nullopt;
        const int high = hex_digit(text[i + 1]), low = hex_digit(text[i + 2]);
        if (high < 0 || low < 0) return std::nullopt;
        plain += static_cast<char>(high * 16 + low);
        i += 2;
    }
    return plain;
}
/// The value of `name` in a query; none where it is missing, empty or cannot be read.
std::optional<std::string> value_of(std::string_view query, std::string_view name) {
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(pair.size() + 1, query.size()));
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos || pair.substr(0, equals) != name) continue;
        const auto value = unescaped(pair.substr(equals + 1));
        return value && !value->empty() ? value : std::nullopt;
    }
    return std::nullopt;
}

}  // namespace

OperatorReply parse_operator_call(http::verb method, std::string_view target, OperatorCall& call) {
    const std::size_t mark = std::min(target.find('?'), target.size());
    const std::string_view path = target.substr(0, mark);
    const auto known = std::find_if(
        std::begin(kCalls), std::end(kCalls), [path](const Known& one) { return one.path == path; });
    if (known == std::end(kCalls)) return {http::status::not_found, "no such call"};
    if (known->method != method) return {http::status::method_not_allowed, "not by this method"};
    call.command = known->order;
    if (!known->names_endpoint) return {};
    const auto who = value_of(target.substr(std::min(mark + 1, target.size())), "who");
    if (!who) return {http::status::bad_request, "who is missing"};
    call.endpoint = *who;
    return {};
}

/// One connection: one call, its answer, and a close.
class ManagementSession : public std::enable_shared_from_this<ManagementSession> {
    template <class Next>
    auto guarded(Next next) {
        return [self = shared_from_this(), next](auto failed, auto&&...) {
            if (self->closed_) return;
            failed ? self->fail(failed) : next(*self);
        };
    }

public:
    ManagementSession(Tcp::socket socket, Management& owner) : stream_(std::move(socket)), owner_(owner) {}

    void start(Management::Sessions::iterator place) {
        place_ = place;
        parser_.header_limit(kMostHeader);
        parser_.body_limit(kMostBody);
        stream_.expires_after(kWholeCall);
        http::async_read(stream_, buffer_, parser_, guarded([](ManagementSession& self) { self.handle(); }));
    }
    /// A whole call waits for its answer or has it.
    bool asked() const { return asked_; }
    void close() {
        if (std::exchange(closed_, true)) return;
        const auto self = shared_from_this();
        owner_.sessions_.erase(place_);
        stream_.close();
    }

private:
    void handle() {
        asked_ = true;
        stream_.expires_never();
        OperatorCall call;
        const auto target = parser_.get().target();
        const OperatorReply read =
            parse_operator_call(parser_.get().method(), {target.data(), target.size()}, call);
        if (read.status != http::status::ok) return answer(read);
        owner_.handle_(call, [self = shared_from_this()](OperatorReply verdict) {
            if (!self->closed_) self->answer(verdict);
        });
    }
    void fail(beast::error_code failed) {
        const bool unreadable =
            failed.category() == http::make_error_code(http::error::bad_method).category();
        if (asked_ || !unreadable || failed == http::error::end_of_stream) return close();
        answer({http::status::bad_request, "not a call"});
    }
    void answer(const OperatorReply& verdict) {
        asked_ = true;
        answer_ = {verdict.status, 11, verdict.text + "\n"};
        answer_.set(http::field::content_type, "text/plain");
        answer_.keep_alive(false);
        answer_.prepare_payload();
        stream_.expires_after(kCloseAfter);
        bytes_ = serialize_http(answer_);
        beast::error_code ignored;
        stream_.socket().non_blocking(true, ignored);
        write_all(stream_.socket(), bytes_, guarded([](ManagementSession& self) { self.finish(); }));
    }
    /// Closing with bytes unread would reset the connection and might take the answer with it.
    void finish() {
        beast::error_code ignored;
        stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
        rest_.resize(1024);
        discard();
    }
    void discard() {
        stream_.async_read_some(
            asio::buffer(rest_), guarded([](ManagementSession& self) { self.discard(); }));
    }

    beast::tcp_stream stream_;
    Management& owner_;
    Management::Sessions::iterator place_;
    beast::flat_buffer buffer_;
    http::request_parser<http::string_body> parser_;
    http::response<http::string_body> answer_;
    std::string bytes_;  // of the answer, while they are written
    std::string rest_;
    bool asked_ = false, closed_ = false;
};

Management::Management(asio::io_context& io, Handle handle)
    : handle_(std::move(handle)), acceptor_(io), pause_(io) {}
Management::~Management() = default;

void Management::listen(const Tcp::endpoint& address) {
    acceptor_.open(address.protocol());
    acceptor_.set_option(Tcp::acceptor::reuse_address(true));
    acceptor_.set_option(kReportAborted);
    acceptor_.bind(address);
    acceptor_.listen();
    accept();
}

void Management::accept() {
    acceptor_.async_accept([this](auto failed, Tcp::socket socket) {
        if (failed == asio::error::operation_aborted) return;
        if (failed) {  // such as one for want of descriptors
            pause_.expires_after(kAcceptPause);
            return pause_.async_wait([this](auto cancelled) {
                if (!cancelled) accept();
            });
        }
        if (sessions_.size() >= kMostConnections) {
            // the longest so of those that have not asked; at worst one whose answer nobody takes
            const auto dawdler = std::find_if(
                sessions_.begin(), sessions_.end(), [](const auto& session) { return !session->asked(); });
            std::shared_ptr(dawdler != sessions_.end() ? *dawdler : sessions_.front())->close();
        }
        const auto session = std::make_shared<ManagementSession>(std::move(socket), *this);
        session->start(sessions_.insert(sessions_.end(), session));
        accept();
    });
}

}  // namespace lockgw
