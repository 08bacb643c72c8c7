#include "client_server.hpp"

#include <fcntl.h>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <iostream>
#include <utility>

#include "socket_io.hpp"

namespace lockgw {

using cometspoke::settings::index_of;
using cometspoke::settings::InvalidInput;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

// The pause after a failed accept, for example one that failed for lack of descriptors.
constexpr auto kAcceptRetryPause = 20ms;
// After this many accept errors in a row, accepting pauses.
constexpr int kMaxConsecutiveAcceptErrors = 64;
constexpr auto kExpiryCheckInterval = 200ms;
constexpr auto kMaxWaitForFirstCommand = 2s;
constexpr auto kMaxPartialCommandTime = 2s;  // the time for the rest of a command to arrive
// From the connect to the end of the first command: a client that sends none must have its error within 3 s.
constexpr auto kMaxTimeToFirstCommand = 2600ms;
constexpr auto kMaxReplyWriteTime = 2s;  // the time for a client to read its reply
// Some clients begin a request before the last one has its reply and so are never between two requests. When
// connections are to be closed, they are refused after this time.
constexpr auto kMaxTimeToCloseBetweenRequests = 2s;
constexpr auto kMaxLingerTime = 500ms;  // the time for a client to read the last reply, such as -ERR
constexpr auto kMaxIdleTime = std::chrono::seconds(60);  // between requests
// The idle limit when more than half of the allowed connections are open.
constexpr auto kMaxIdleTimeWhenCrowded = std::chrono::seconds(2);
// The first request of a connection younger than this is probably on its way.
constexpr auto kNewConnectionGrace = 100ms;
// Incomplete commands may take 1/8 of the memory limit.
constexpr std::size_t kPartialCommandMemoryDivisor = 8;
// A session that holds no more than this is never rejected for the memory of
// all: the connections are few enough.
constexpr std::size_t kSmallSessionBytes = 4096;
// A longer text of PING is not sent back, and error messages are cut: the reply
// of a client that does not read it is held in memory.
constexpr std::size_t kMaxPingBytes = 1024;
constexpr std::size_t kMaxErrorBytes = 200;
// The number of bytes that are read and discarded after the last reply.
constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;
constexpr double kMaxDeadline_ms = 86.4e6;  // one day: no class holds a message for longer
constexpr std::size_t kMaxKeyBytes = 128;

template <class T>
T parse_number(std::string_view text, const char* what) {
    T value{};
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        throw InvalidInput(std::string("bad number for ") + what);
    return value;
}

/// The fields of an ENQUEUE command: names and values such as "c=notice,t=acme,d=8000". Unknown names are
/// ignored, and the last value of a name counts. Nothing is allocated, since the text may hold thousands of
/// names.
class Fields {
public:
    /// The text must outlive the object. Throws if a name has no value.
    explicit Fields(std::string_view text) {
        while (!text.empty()) {
            const std::string_view pair = text.substr(0, text.find(','));
            const std::size_t separator = pair.find('=');
            if (separator == std::string_view::npos) throw InvalidInput("a name without a value");
            set(pair.substr(0, separator), pair.substr(separator + 1));
            text.remove_prefix(std::min(pair.size() + 1, text.size()));
        }
    }
    bool contains(std::string_view name) const { return values_[index_of_name(name)].has_value(); }
    /// Throws if the name is missing.
    std::string value(std::string_view name) const {
        const auto& value = values_[index_of_name(name)];
        if (!value) throw InvalidInput("missing " + std::string(name));
        return std::string(*value);
    }

private:
    static constexpr std::array<std::string_view, 5> kNames{"c", "t", "d", "k", "dest"};
    static std::size_t index_of_name(std::string_view name) {
        return static_cast<std::size_t>(std::find(kNames.begin(), kNames.end(), name) - kNames.begin());
    }
    void set(std::string_view name, std::string_view value) {
        const std::size_t index = index_of_name(name);
        if (index < values_.size()) values_[index] = value;
    }
    std::array<std::optional<std::string_view>, kNames.size()> values_;
};

/// The key is sent as a header of the HTTP call, so it must not contain anything that could end a header
/// line.
void check_key(const std::string& key) {
    if (key.size() > kMaxKeyBytes) throw InvalidInput("k is too long");
    for (const char character : key)
        if (character <= ' ' || character > '~') throw InvalidInput("k holds an unprintable character");
}

/// Parses the first argument of ENQUEUE, which has up to 16 hex digits. A value of zero means no key.
std::optional<std::uint64_t> parse_order_key(const std::string& text) {
    constexpr std::size_t max_digits = 16;
    if (text.empty() || text.size() > max_digits ||
        text.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
        throw InvalidInput("the order key is not 1 to 16 hex digits");
    const std::uint64_t key = std::stoull(text, nullptr, 16);
    return key == 0 ? std::nullopt : std::optional(key);
}

}  // namespace

Message message_of(
    const resp::Command& command, const Config& config, PersistentTime now, cometspoke::Time& left) {
    if (command.size() != 5) throw InvalidInput("wrong number of arguments for ENQUEUE");
    const Fields fields(command[3]);
    Message message;
    message.id = cometspoke::settings::parse_message_id(command[2]);
    message.message_class = fields.value("c");
    const std::size_t index = index_of(config.names.classes, message.message_class, "class");
    if (!config.names.tenants.empty()) {
        message.tenant = fields.value("t");
        index_of(config.names.tenants, message.tenant, "tenant");
    }
    message.class_settings = config.settings.classes[index];
    if (message.class_settings->sequential) message.order_key = parse_order_key(command[1]);
    const bool key_required = message.class_settings->delivery == cometspoke::DeliverySemantics::Deduplicated;
    if (key_required || fields.contains("k")) message.key = fields.value("k");
    check_key(message.key);
    message.destination = parse_number<std::int64_t>(fields.value("dest"), "dest");
    const auto left_ms = parse_number<double>(fields.value("d"), "d");
    if (!(left_ms >= 0 && left_ms <= kMaxDeadline_ms)) throw InvalidInput("bad number for d");
    // The deadline of the class limits the one that the client asks for.
    left = std::min(cometspoke::settings::from_ms(left_ms), message.class_settings->deadline);
    message.deadline = now + left;
    message.body = command[4];
    return message;
}

/// One connection. It reads a command, has it handled, and writes the reply before it reads the next command.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
public:
    using State = ClientServer::State;

    ClientSession(Tcp::socket socket, ClientServer& owner) : socket_(std::move(socket)), owner_(owner) {}

    void start() {
        boost::system::error_code ignored;
        socket_.set_option(Tcp::no_delay(true), ignored);
        socket_.non_blocking(true, ignored);
        auto& sessions = owner_.sessions_[state_];
        position_ = sessions.insert(sessions.end(), shared_from_this());
        ++owner_.connection_count_;
        wait_for_data();
    }

    Clock::time_point state_since() const { return state_since_; }
    /// Whether its command has been incomplete for too long.
    bool command_overdue(Clock::time_point now) const {
        return now - state_since_ >= kMaxPartialCommandTime ||
               (!had_command_ && now - connected_at_ >= kMaxTimeToFirstCommand);
    }
    std::size_t held_bytes() const { return held_bytes_; }
    /// Whether the socket has data that was not read yet. Closing now would lose a request.
    bool has_unread_data() {
        boost::system::error_code failed;
        return socket_.available(failed) > 0;
    }

    void close() {
        if (closed_) return;
        closed_ = true;
        boost::system::error_code ignored;
        socket_.close(ignored);
        const auto self = shared_from_this();
        owner_.sessions_[state_].erase(position_);
        --owner_.connection_count_;
        owner_.held_bytes_ -= std::exchange(held_bytes_, 0);
        owner_.accept();
        if (owner_.empty()) owner_.emptied_();
    }

    void send_reply(std::string text) {
        if (!closed_) write(std::move(text));
    }
    bool client_has_left() { return closed_ || peer_has_left(socket_); }
    /// Ends a connection between requests. All its requests have their replies, and data that arrives from
    /// now on belongs to requests that are not read.
    void close_gracefully() {
        closing_ = true;
        shut_down_sending();
    }
    /// Writes an error as the last reply and closes the connection after it.
    void reject(const std::string& why) { end_with("ERR " + why); }
    /// Refuses a request that is not handled: its client may send it again on another connection.
    void refuse() { end_with("BUSY"); }

private:
    void end_with(const std::string& error) {
        closing_ = true;
        parser_.clear();
        count_held();
        write(resp::error(error));
    }
    void set_state(State state) {
        state_since_ = Clock::now();
        auto& sessions = owner_.sessions_[state];
        sessions.splice(sessions.end(), owner_.sessions_[state_], position_);
        state_ = state;
    }

    /// A waiting connection has no read buffer of its own, because many connections send nothing.
    void wait_for_data() {
        if (std::exchange(waiting_for_data_, true)) return;
        socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](auto failed) {
            self->waiting_for_data_ = false;
            if (self->closed_) return;
            // An error of the wait is ignored because the read reports the end of the connection.
            classify(failed) == SocketResult::Cancelled ? self->close() : self->read_available();
        });
    }
    void read_available() try {
        const ReadResult read = lockgw::read_available(socket_, asio::buffer(owner_.read_buffer_));
        if (read.result == SocketResult::NotReady) return wait_for_data();
        if (read.result != SocketResult::Done) return close();
        if (closing_) return discard(read.count);
        parser_.feed({owner_.read_buffer_.data(), read.count});
        process_next_command();
    } catch (const std::exception& error) {
        std::cerr << "client: " << error.what() << '\n';
        close();
    }

    void process_next_command() try {
        const auto command = parser_.next();
        count_held();
        if ((command || parser_.has_partial_command()) && owner_.closes_at_next_request()) return refuse();
        if (command) {
            had_command_ = true;
            set_state(State::AwaitingReply);
            return owner_.handle(*command, shared_from_this());
        }
        if (parser_.has_partial_command()) {
            if (state_ != State::PartialCommand) set_state(State::PartialCommand);
            owner_.limit_held_bytes();
            if (closing_) return;
        } else {
            if (owner_.closing_between_requests_since_ && state_ != State::NoCommandYet && !has_unread_data())
                return close_gracefully();
            if (state_ == State::WritingReply)
                set_state(State::Idle);  // An empty command does not restart the idle time.
            owner_.accept();  // At the limit this connection may be closed in favor of one that waits.
            if (closed_) return;
        }
        wait_for_data();
    } catch (const resp::ProtocolError& error) {
        reject(error.what());
    }

    void count_held() {
        owner_.held_bytes_ += parser_.held_bytes() - held_bytes_;
        held_bytes_ = parser_.held_bytes();
    }

    void write(std::string text) {
        set_state(State::WritingReply);
        reply_ = std::move(text);
        write_all(socket_, reply_, [self = shared_from_this()](const auto& failed, std::size_t) {
            if (self->closed_) return;
            if (failed) return self->close();
            self->closing_ ? self->shut_down_sending() : self->process_next_command();
        });
    }

    /// Shuts down sending only. Closing the socket with data unread, or just before data arrives, would reset
    /// the connection, and the client might lose a reply.
    void shut_down_sending() {
        set_state(State::Closing);
        boost::system::error_code ignored;
        socket_.shutdown(Tcp::socket::shutdown_send, ignored);
        wait_for_data();
    }
    void discard(std::size_t count) {
        discarded_bytes_ += count;
        discarded_bytes_ > kMaxDiscardedBytes ? close() : wait_for_data();
    }

    Tcp::socket socket_;
    ClientServer& owner_;
    State state_ = State::NoCommandYet;
    ClientServer::Sessions::iterator position_;
    const Clock::time_point connected_at_ = Clock::now();
    Clock::time_point state_since_ = connected_at_;
    bool had_command_ = false;
    resp::Parser parser_;
    std::string reply_;
    std::size_t held_bytes_ = 0, discarded_bytes_ = 0;
    bool waiting_for_data_ = false, closing_ = false, closed_ = false;
};

ClientServer::ClientServer(asio::io_context& io, const Config& config, const PersistentClock& clock,
    std::size_t max_connections, Enqueue enqueue, Emptied emptied)
    : io_(io),
      config_(config),
      clock_(clock),
      max_connections_(max_connections),
      enqueue_(std::move(enqueue)),
      emptied_(std::move(emptied)),
      acceptor_(io),
      accept_retry_timer_(io),
      expiry_timer_(io) {}
ClientServer::~ClientServer() = default;

void ClientServer::open() try {
    if (acceptor_.is_open()) return;
    if (config_.inherited_listener) {
        // Programs that this process starts must not inherit the listener.
        ::fcntl(*config_.inherited_listener, F_SETFD, FD_CLOEXEC);
        acceptor_.assign(config_.listen.protocol(), *config_.inherited_listener);
    } else {
        acceptor_.open(config_.listen.protocol());
        acceptor_.set_option(Tcp::acceptor::reuse_address(true));
        acceptor_.bind(config_.listen);
        acceptor_.listen();
    }
    acceptor_.non_blocking(true);
} catch (...) {
    if (!config_.inherited_listener) close_listener();
    throw;
}
void ClientServer::listen() {
    accept();
    close_expired();
}

void ClientServer::pause() {
    paused_ = true;
    boost::system::error_code ignored;
    acceptor_.cancel(ignored);
}
void ClientServer::resume() {
    paused_ = false;
    if (!acceptor_.is_open() && !draining_ && !config_.inherited_listener) open();
    if (acceptor_.is_open()) accept();
}
void ClientServer::hand_over_clients() {
    pause();
    if (!config_.inherited_listener) {
        accept_waiting();
        close_listener();
    }
    set_closing_between_requests(true);
}
/// Closes the descriptor without a shutdown, because the socket is shared with the other process and the
/// platform.
void ClientServer::close_listener() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

void ClientServer::accept() {
    if (paused_ || !acceptor_.is_open() || draining_ || accepting_ || !ensure_capacity()) return;
    // ensure_capacity() may have closed a session, which calls accept() itself.
    if (accepting_) return;
    accepting_ = true;
    // Each wait arms the event loop again, so that connections which are left in the queue after a failed
    // accept are reported again.
    acceptor_.async_wait(Tcp::acceptor::wait_read, [this](auto failed) {
        accepting_ = false;
        if ((draining_ || paused_) && failed) return accept();  // The drain or the pause may be over by now.
        if (draining_ || paused_ || !acceptor_.is_open()) return;
        const SocketResult result = accept_one();
        const bool no_error = result == SocketResult::Done || result == SocketResult::NotReady;
        // The error may concern only the connection that was to be accepted, and others may wait behind it.
        if (no_error || (result != SocketResult::LocalShortage &&
                            ++consecutive_accept_errors_ < kMaxConsecutiveAcceptErrors))
            return accept();
        consecutive_accept_errors_ = 0;
        accept_retry_timer_.expires_after(kAcceptRetryPause);
        accept_retry_timer_.async_wait([this](auto cancelled) {
            if (!cancelled) accept();
        });
    });
}

SocketResult ClientServer::accept_one() {
    Descriptor connection(::accept(acceptor_.native_handle(), nullptr, nullptr));
    if (connection.get() < 0) {
        const SocketResult result = classify({errno, boost::system::system_category()});
        if (result != SocketResult::NotReady) counters().add(Counter::AcceptRetries);
        return result;
    }
    consecutive_accept_errors_ = 0;
    start_session(std::make_shared<Descriptor>(std::move(connection)));
    return SocketResult::Done;
}

/// If the event loop lacks memory for one more connection, the connection is retried later and not closed.
void ClientServer::start_session(const std::shared_ptr<Descriptor>& connection) {
    Tcp::socket socket(io_);
    boost::system::error_code failed;
    socket.assign(config_.listen.protocol(), connection->get(), failed);
    if (!failed) {
        connection->release();
        std::make_shared<ClientSession>(std::move(socket), *this)->start();
        return;
    }
    counters().add(Counter::AcceptRetries);
    const auto pause = std::make_shared<asio::steady_timer>(io_, kShortageRetryDelay);
    pause->async_wait([this, pause, connection](auto) { start_session(connection); });
}

std::size_t ClientServer::connection_limit() const {
    return max_connections_ - std::min(reserved_connections_, max_connections_ / 2);
}

/// Returns whether one more connection may be accepted. At the limit it closes the oldest connection that has
/// got its last reply or has no request. Connections that have sent half a command or were just opened are
/// the last choice, and a connection with an open request is never closed.
bool ClientServer::ensure_capacity() {
    if (connection_count_ < connection_limit()) return true;
    return close_oldest(Closing, 0s) || close_oldest(NoCommandYet, kNewConnectionGrace) ||
           close_oldest(Idle, kMaxIdleTimeWhenCrowded) ||
           close_oldest(PartialCommand, kMaxPartialCommandTime / 4) || close_oldest(Idle, 0s) ||
           close_oldest(NoCommandYet, 0s);
}
/// Closes the session that has been longest in the state, if it has been there for `min_age`. Sessions
/// without a request are skipped if they have unread data, unless they have failed to send a first command in
/// time.
bool ClientServer::close_oldest(State state, Clock::duration min_age) {
    for (const auto& session : sessions_[state]) {
        const auto age = Clock::now() - session->state_since();
        if (age < min_age) return false;
        const bool may_have_request =
            state == Idle ||
            (state == NoCommandYet && age < kMaxWaitForFirstCommand + 2 * kExpiryCheckInterval);
        if (may_have_request && session->has_unread_data()) continue;
        std::shared_ptr(session)->close();
        return true;
    }
    return false;
}

/// Many clients that each send half of a long command must not exhaust the memory.
void ClientServer::limit_held_bytes() {
    const std::size_t max_bytes = config_.memory_bytes / kPartialCommandMemoryDivisor;
    while (held_bytes_ > max_bytes) {
        const auto session = session_to_reject();
        if (!session) return;
        session->reject("too much at once");
    }
}

/// The session with the oldest incomplete command of those that hold much.
std::shared_ptr<ClientSession> ClientServer::session_to_reject() const {
    const Sessions& partial = sessions_[PartialCommand];
    const auto found = std::find_if(partial.begin(), partial.end(),
        [](const auto& session) { return session->held_bytes() > kSmallSessionBytes; });
    return found != partial.end() ? *found : nullptr;
}

/// Runs periodically and ends the sessions that have been in their state for too long.
void ClientServer::close_expired() {
    while (close_oldest(NoCommandYet, kMaxWaitForFirstCommand)) continue;
    while (close_oldest(WritingReply, kMaxReplyWriteTime)) continue;
    while (close_oldest(Closing, kMaxLingerTime)) continue;
    while (close_oldest(
        Idle, connection_count_ > connection_limit() / 2 ? kMaxIdleTimeWhenCrowded : kMaxIdleTime))
        continue;
    end_overdue_commands();
    accept();  // Sessions may have become old enough to be closed for new ones.
    expiry_timer_.expires_after(kExpiryCheckInterval);
    expiry_timer_.async_wait([this](auto cancelled) {
        if (!cancelled) close_expired();
    });
}

void ClientServer::end_overdue_commands() {
    const Sessions partial = sessions_[PartialCommand];  // Ending a session changes the list.
    const auto now = Clock::now();
    for (const auto& session : partial) {
        if (closes_at_next_request())
            session->refuse();
        else if (session->command_overdue(now))
            session->reject("a command without an end");
    }
}

void ClientServer::drain() {
    draining_ = true;
    boost::system::error_code ignored;
    acceptor_.cancel(ignored);
    close_listener_when_empty();
    set_closing_between_requests(true);
    close_inactive(NoCommandYet);
}

/// While accept fails for lack of a resource, connections may wait in the queue with requests already sent,
/// so the listener stays open until the queue is empty.
void ClientServer::close_listener_when_empty() {
    if (!acceptor_.is_open()) return;
    if (paused_ || accept_waiting()) return close_listener();
    accept_retry_timer_.expires_after(kAcceptRetryPause);
    accept_retry_timer_.async_wait([this](auto cancelled) {
        if (cancelled || !draining_) return;
        close_listener_when_empty();
        close_inactive(NoCommandYet);
        if (empty()) emptied_();
    });
}

void ClientServer::set_closing_between_requests(bool closing) {
    if (!closing) return closing_between_requests_since_.reset();
    if (!closing_between_requests_since_) closing_between_requests_since_ = Clock::now();
    close_inactive(Idle);
}

bool ClientServer::closes_at_next_request() const {
    return closing_between_requests_since_ &&
           Clock::now() - *closing_between_requests_since_ >= kMaxTimeToCloseBetweenRequests;
}

void ClientServer::close_inactive(State state) {
    const auto min_age = state == NoCommandYet ? kNewConnectionGrace : Clock::duration(0);
    const Sessions sessions = sessions_[state];
    for (const auto& session : sessions)
        if (!session->has_unread_data() && Clock::now() - session->state_since() >= min_age)
            session->close_gracefully();
}

/// Accepts all connections that wait in the queue, because closing the listener would reset them and lose the
/// requests that they have sent. Returns false if some may be left that cannot be accepted at present.
bool ClientServer::accept_waiting() {
    int errors = 0;
    while (connection_count_ < connection_limit()) {
        const SocketResult result = accept_one();
        if (result == SocketResult::NotReady || result == SocketResult::Cancelled) return true;
        if (result != SocketResult::Done && ++errors >= kMaxConsecutiveAcceptErrors) return false;
    }
    return true;
}

void ClientServer::handle(const resp::Command& command, const std::shared_ptr<ClientSession>& session) {
    using boost::algorithm::iequals;
    const Reply reply = [session](std::string text) { session->send_reply(std::move(text)); };
    if (iequals(command[0], "PING") && unready_) return reply(resp::error("BUSY draining"));
    if (iequals(command[0], "PING") && command.size() == 2 && command[1].size() > kMaxPingBytes)
        return reply(resp::error("ERR too long for PING"));
    if (iequals(command[0], "PING"))
        return reply(command.size() == 2 ? resp::bulk(command[1]) : resp::simple("PONG"));
    if (!iequals(command[0], "ENQUEUE")) return reply(resp::error("ERR unknown command"));
    cometspoke::Time left{0};
    Message message;
    try {
        message = message_of(command, config_, clock_.now(), left);
    } catch (const InvalidInput& error) {
        std::string text = (std::string("ERR ") + error.what()).substr(0, kMaxErrorBytes);
        for (char& character : text)  // The text may contain bytes that the client sent.
            if (character < ' ' || character > '~') character = '?';
        return reply(resp::error(text));
    }
    enqueue_({std::move(message), left, reply, [session] { return session->client_has_left(); }});
}

}  // namespace lockgw
