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

constexpr auto kMaxRequestTime = 5s;     // from the connect to the last byte: some callers send small pieces
constexpr auto kMaxReplyWriteTime = 1s;  // for the caller to read the reply
constexpr auto kAcceptRetryPause = 20ms;
constexpr std::uint32_t kMaxHeaderBytes = 4096;
constexpr std::uint64_t kMaxBodyBytes = 4096;  // no call needs a body; a short one is ignored

struct CallPattern {
    std::string_view path;
    http::verb method;
    OperatorCommand command;
    bool names_endpoint;
};
constexpr CallPattern kCallPatterns[] = {
    {"/ready", http::verb::get, OperatorCommand::Ready, false},
    {"/endpoints/disable", http::verb::post, OperatorCommand::Disable, true},
    {"/endpoints/enable", http::verb::post, OperatorCommand::Enable, true},
    {"/drain", http::verb::post, OperatorCommand::Drain, false},
    {"/undrain", http::verb::post, OperatorCommand::Undrain, false},
    {"/counters", http::verb::get, OperatorCommand::Counters, false},
};

int hex_digit_value(char character) {
    static constexpr std::string_view digits = "0123456789abcdef0123456789ABCDEF";
    const auto position = digits.find(character);
    return position == std::string_view::npos ? -1 : static_cast<int>(position % 16);
}
/// Decodes escapes such as "%2D". Returns nothing if an escape is invalid.
std::optional<std::string> percent_decode(std::string_view text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += text[i];
            continue;
        }
        if (i + 2 >= text.size()) return std::nullopt;
        const int high = hex_digit_value(text[i + 1]), low = hex_digit_value(text[i + 2]);
        if (high < 0 || low < 0) return std::nullopt;
        decoded += static_cast<char>(high * 16 + low);
        i += 2;
    }
    return decoded;
}
/// Returns the value of `name` in a query, or nothing if it is missing, empty or has an invalid escape.
std::optional<std::string> query_value(std::string_view query, std::string_view name) {
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(pair.size() + 1, query.size()));
        const auto separator = pair.find('=');
        if (separator == std::string_view::npos || pair.substr(0, separator) != name) continue;
        const auto value = percent_decode(pair.substr(separator + 1));
        return value && !value->empty() ? value : std::nullopt;
    }
    return std::nullopt;
}

}  // namespace

OperatorReply parse_operator_call(http::verb method, std::string_view target, OperatorCall& call) {
    const std::size_t query_start = std::min(target.find('?'), target.size());
    const std::string_view path = target.substr(0, query_start);
    const auto pattern = std::find_if(std::begin(kCallPatterns), std::end(kCallPatterns),
        [path](const CallPattern& candidate) { return candidate.path == path; });
    if (pattern == std::end(kCallPatterns)) return {http::status::not_found, "no such call"};
    if (pattern->method != method) return {http::status::method_not_allowed, "not by this method"};
    call.command = pattern->command;
    if (!pattern->names_endpoint) return {};
    const auto endpoint = query_value(target.substr(std::min(query_start + 1, target.size())), "who");
    if (!endpoint) return {http::status::bad_request, "who is missing"};
    call.endpoint = *endpoint;
    return {};
}

/// One connection. It reads one call, writes its reply, and closes.
class ManagementSession : public std::enable_shared_from_this<ManagementSession> {
    /// Wraps a completion handler: it does nothing after close(), and passes errors to fail().
    template <class Next>
    auto if_open(Next next) {
        return [self = shared_from_this(), next](auto failed, auto&&...) {
            if (self->closed_) return;
            failed ? self->fail(failed) : next(*self);
        };
    }

public:
    ManagementSession(Tcp::socket socket, Management& owner) : stream_(std::move(socket)), owner_(owner) {}

    void start(Management::Sessions::iterator position) {
        position_ = position;
        parser_.header_limit(kMaxHeaderBytes);
        parser_.body_limit(kMaxBodyBytes);
        stream_.expires_after(kMaxRequestTime);
        http::async_read(stream_, buffer_, parser_, if_open([](ManagementSession& self) { self.handle(); }));
    }
    /// Whether a complete request was received or rejected. It waits for its reply or has it.
    bool has_request() const { return has_request_; }
    void close() {
        if (std::exchange(closed_, true)) return;
        const auto self = shared_from_this();
        owner_.sessions_.erase(position_);
        stream_.close();
    }

private:
    void handle() {
        has_request_ = true;
        stream_.expires_never();
        OperatorCall call;
        const auto target = parser_.get().target();
        const OperatorReply parsed =
            parse_operator_call(parser_.get().method(), {target.data(), target.size()}, call);
        if (parsed.status != http::status::ok) return send_reply(parsed);
        owner_.handle_(call, [self = shared_from_this()](OperatorReply reply) {
            if (!self->closed_) self->send_reply(reply);
        });
    }
    void fail(beast::error_code failed) {
        const bool malformed = failed.category() == http::make_error_code(http::error::bad_method).category();
        if (has_request_ || !malformed || failed == http::error::end_of_stream) return close();
        send_reply({http::status::bad_request, "not a call"});
    }
    void send_reply(const OperatorReply& reply) {
        has_request_ = true;
        response_ = {reply.status, 11, reply.text + "\n"};
        response_.set(http::field::content_type, "text/plain");
        response_.keep_alive(false);
        response_.prepare_payload();
        stream_.expires_after(kMaxReplyWriteTime);
        response_bytes_ = serialize_http(response_);
        beast::error_code ignored;
        stream_.socket().non_blocking(true, ignored);
        write_all(stream_.socket(), response_bytes_,
            if_open([](ManagementSession& self) { self.shut_down_sending(); }));
    }
    /// Shuts down sending only. Closing the socket with data unread would reset the connection, and the
    /// caller might lose the reply.
    void shut_down_sending() {
        beast::error_code ignored;
        stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
        discard_buffer_.resize(1024);
        discard();
    }
    void discard() {
        stream_.async_read_some(
            asio::buffer(discard_buffer_), if_open([](ManagementSession& self) { self.discard(); }));
    }

    beast::tcp_stream stream_;
    Management& owner_;
    Management::Sessions::iterator position_;
    beast::flat_buffer buffer_;
    http::request_parser<http::string_body> parser_;
    http::response<http::string_body> response_;
    std::string response_bytes_;  // the serialized response while it is written
    std::string discard_buffer_;
    bool has_request_ = false, closed_ = false;
};

Management::Management(asio::io_context& io, Handle handle)
    : handle_(std::move(handle)), acceptor_(io), accept_retry_timer_(io) {}
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
        if (failed) {  // for example for lack of descriptors
            accept_retry_timer_.expires_after(kAcceptRetryPause);
            return accept_retry_timer_.async_wait([this](auto cancelled) {
                if (!cancelled) accept();
            });
        }
        if (sessions_.size() >= kMaxConnections) {
            // Closes the oldest connection without a complete request. If there is none, the oldest of all is
            // closed, whose caller may not read its reply.
            const auto idle = std::find_if(sessions_.begin(), sessions_.end(),
                [](const auto& session) { return !session->has_request(); });
            std::shared_ptr(idle != sessions_.end() ? *idle : sessions_.front())->close();
        }
        const auto session = std::make_shared<ManagementSession>(std::move(socket), *this);
        session->start(sessions_.insert(sessions_.end(), session));
        accept();
    });
}

}  // namespace lockgw
