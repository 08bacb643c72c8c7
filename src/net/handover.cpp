#include "handover.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <deque>
#include <iostream>
#include <stdexcept>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

#include "file_io.hpp"
#include "socket_io.hpp"
#include "system_errors.hpp"

namespace lockgw {

using namespace std::chrono_literals;

namespace {

// Time between claims: the owner may be starting, ending or handing over to another process already.
constexpr auto kClaimRetryInterval = 30ms;
// Time until a start is repeated that could not use the folder or an address.
constexpr auto kStartRetryInterval = 50ms;
// A start is repeated for this long while the address is in use.
constexpr auto kMaxAddressInUseTime = 1s;
constexpr int kMaxBecomeOwnerTries = 30;
// The claiming process waits this long for each step of the owner.
constexpr auto kMaxClaimStepTime = 3s;
// The owner waits this long for each step of the claiming process, because its clients wait meanwhile.
constexpr auto kMaxOfferStepTime = 1s;
// The kernel releases the lock and the socket of a dead process in no fixed order, so regaining is retried.
constexpr auto kRegainInterval = 10ms;
constexpr int kMaxRegainTries = 200;
constexpr std::uint32_t kMaxFrameBytes = 16 << 20;

}  // namespace

/// Exchanges handover messages. Each frame is a length followed by CBOR, because bodies may hold any bytes.
class HandoverConnection : public std::enable_shared_from_this<HandoverConnection> {
public:
    using Local = asio::local::stream_protocol;

    HandoverConnection(
        Local::socket socket, std::function<void(const Json&)> receive, std::function<void()> on_end)
        : socket_(std::move(socket)), receive_(std::move(receive)), on_end_(std::move(on_end)) {}

    void start() { read_length(); }
    void send(const Json& message) {
        if (closed_) return;
        const auto bytes = Json::to_cbor(message);
        const auto length = static_cast<std::uint32_t>(bytes.size());
        std::string frame(sizeof length, '\0');
        std::memcpy(frame.data(), &length, sizeof length);
        frame.append(bytes.begin(), bytes.end());
        outgoing_.push_back(std::move(frame));
        if (outgoing_.size() == 1) write();
    }
    /// Closes the connection; no callback runs after that.
    void close() {
        closed_ = true;
        boost::system::error_code ignored_error;
        socket_.close(ignored_error);
    }

private:
    template <class Next>
    auto unless_closed(Next next) {
        return [self = shared_from_this(), next](auto error, auto&&...) {
            if (self->closed_) return;
            error ? self->end_connection() : next(*self);
        };
    }
    void end_connection() {
        close();
        on_end_();
    }
    void read_length() {
        asio::async_read(
            socket_, asio::buffer(&length_, sizeof length_), unless_closed([](HandoverConnection& self) {
                if (self.length_ > kMaxFrameBytes) return self.end_connection();
                self.incoming_.resize(self.length_);
                self.read_message();
            }));
    }
    void read_message() {
        asio::async_read(socket_, asio::buffer(incoming_), unless_closed([](HandoverConnection& self) {
            const Json message = Json::from_cbor(self.incoming_, true, false);
            if (message.is_discarded() || !message.is_object()) return self.end_connection();
            try {
                self.receive_(message);
            } catch (const std::exception& error) {  // One bad message must not end the connection.
                std::cerr << "handover: " << error.what() << '\n';
            }
            if (!self.closed_) self.read_length();
        }));
    }
    void write() {
        asio::async_write(
            socket_, asio::buffer(outgoing_.front()), unless_closed([](HandoverConnection& self) {
                self.outgoing_.pop_front();
                if (!self.outgoing_.empty()) self.write();
            }));
    }

    Local::socket socket_;
    std::function<void(const Json&)> receive_;
    std::function<void()> on_end_;
    std::uint32_t length_ = 0;
    std::vector<std::uint8_t> incoming_;
    std::deque<std::string> outgoing_;
    bool closed_ = false;
};

Handover::Handover(asio::io_context& io, std::filesystem::path folder, Steps steps)
    : io_(io),
      folder_(std::move(folder)),
      steps_(std::move(steps)),
      acceptor_(io),
      step_timer_(io),
      regain_timer_(io),
      listen_timer_(io) {}
Handover::~Handover() {
    if (connection_) connection_->close();
}

void Handover::claim() { try_claim(); }

bool Handover::open_folder() {
    if (folder_file_.get() < 0)
        folder_file_ = Descriptor(open_retrying_interrupts(folder_, O_RDONLY | O_DIRECTORY));
    if (lock_file_.get() < 0)
        lock_file_ = Descriptor(open_retrying_interrupts(folder_ / "owner", O_RDWR | O_CREAT, 0600));
    return folder_file_.get() >= 0 && lock_file_.get() >= 0;
}

bool Handover::lock() {
    int result = -1;
    do result = ::flock(lock_file_.get(), LOCK_EX | LOCK_NB);
    while (result != 0 && errno == EINTR);
    return result == 0;
}
void Handover::unlock() { ::flock(lock_file_.get(), LOCK_UN); }

/// Returns a short name for the socket, whatever the length of the folder's own path.
static std::string socket_name(const Descriptor& folder) {
    return "/proc/self/fd/" + std::to_string(folder.get()) + "/handover";
}

void Handover::try_claim() {
    if (!open_folder())
        return start_later("the folder " + folder_.string() + " cannot be used: " + std::strerror(errno));
    if (lock()) return become_owner(std::nullopt);
    if (!std::exchange(waiting_logged_, true)) std::cerr << "handover: another process owns the folder\n";
    state_ = State::Claiming;
    Local::socket socket(io_);
    boost::system::error_code error;
    socket.connect(socket_name(folder_file_), error);
    if (error) return claim_later();
    connection_ = std::make_shared<HandoverConnection>(
        std::move(socket), [this](const Json& message) { receive(message); }, [this] { connection_ended(); });
    connection_->start();
    connection_->send({{"step", "claim"}});
    start_step_timer(kMaxClaimStepTime);
}

void Handover::claim_later() {
    if (connection_) connection_->close();
    connection_.reset();
    received_offer_.reset();
    state_ = State::Waiting;
    step_timer_.expires_after(kClaimRetryInterval);
    step_timer_.async_wait([this, timer_id = ++step_timer_id_](auto) {
        if (timer_id == step_timer_id_) try {
                try_claim();
            } catch (const std::exception& error) {
                steps_.fail(error.what());
            }
    });
}

/// Limits the time of the next step of the other process. After it the connection is closed: an owner that
/// has not sent "go" keeps the folder, and a claiming process claims again.
void Handover::start_step_timer(std::chrono::milliseconds duration) {
    step_timer_.expires_after(duration);
    step_timer_.async_wait([this, timer_id = ++step_timer_id_](auto) {
        if (timer_id != step_timer_id_) return;
        connection_->close();
        connection_ended();
    });
}
/// Also stops a timer that has expired and whose handler is still queued in the event loop.
void Handover::stop_step_timer() {
    ++step_timer_id_;
    step_timer_.cancel();
}

void Handover::handle_owner_step(const std::string& step, const Json& message) {
    if (step == "offer" && state_ == State::Claiming) {
        state_ = State::Claimed;
        received_offer_ = message.at("offer");
        connection_->send({{"step", "ready"}});
        start_step_timer(kMaxClaimStepTime);
    } else if (step == "go" && state_ == State::Claimed) {
        stop_step_timer();
        if (!lock()) return claim_later();
        become_owner(std::exchange(received_offer_, std::nullopt));
    }
}

void Handover::become_owner(const std::optional<Json>& offer) try {
    state_ = State::Owner;
    if (!connection_) listen();  // While the previous process is connected, only once that has ended.
    call_become_owner(offer);
} catch (const std::exception& error) {
    const std::error_code code = system_error_of(error);
    if (offer || !is_start_retryable(code)) return fail(error.what(), offer.has_value());
    boost::system::error_code ignored_error;
    acceptor_.close(ignored_error);
    unlock();
    start_later(error.what());
}

/// An address in use is retried for a limited time: the previous process may be about to end, but another
/// program will not give the address up.
bool Handover::is_start_retryable(const std::error_code& error) {
    if (error != std::errc::address_in_use) return is_transient(error);
    if (!address_in_use_since_) address_in_use_since_ = std::chrono::steady_clock::now();
    return std::chrono::steady_clock::now() - *address_in_use_since_ < kMaxAddressInUseTime;
}

/// The offer exists nowhere else, so transient errors are retried here, even though this blocks the event
/// loop.
void Handover::call_become_owner(const std::optional<Json>& offer) {
    for (int attempt = 1; offer && attempt < kMaxBecomeOwnerTries; ++attempt) try {
            return steps_.become_owner(offer);
        } catch (const std::exception& error) {
            if (!is_transient(system_error_of(error))) throw;
            std::this_thread::sleep_for(kClaimRetryInterval);
        }
    steps_.become_owner(offer);
}

void Handover::fail(const std::string& why, bool handed_over) {
    if (handed_over && connection_) connection_->close();
    steps_.fail(why);
}

/// Logs one line for each cause, however often it occurs in a row.
void Handover::start_later(const std::string& why) {
    if (std::exchange(last_start_error_, why) != why)
        std::cerr << "handover: waits to start: " << why << '\n';
    state_ = State::Waiting;
    step_timer_.expires_after(kStartRetryInterval);
    step_timer_.async_wait([this, timer_id = ++step_timer_id_](auto) {
        if (timer_id == step_timer_id_) try {
                try_claim();
            } catch (const std::exception& error) {
                steps_.fail(error.what());
            }
    });
}

void Handover::listen() {
    const std::string name = socket_name(folder_file_);
    ::unlink(name.c_str());
    boost::system::error_code error;
    acceptor_.open(Local(), error);
    if (!error) acceptor_.set_option(kReportAborted, error);
    if (!error) acceptor_.bind(Local::endpoint(name), error);
    if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error) {  // The forwarder works without it, but cannot hand over to another process until then.
        const std::string why = error.message();
        if (std::exchange(last_listen_error_, why) != why)
            std::cerr << "handover: cannot listen: " << why << '\n';
        acceptor_.close(error);
        return listen_later();
    }
    last_listen_error_.clear();
    accept();
}

void Handover::listen_later() {
    listen_timer_.expires_after(kStartRetryInterval);
    listen_timer_.async_wait([this](auto cancelled) {
        if (!cancelled && state_ == State::Owner && !connection_ && !acceptor_.is_open()) listen();
    });
}

/// Accepts one connection at a time, and none while another process is connected.
void Handover::accept() {
    acceptor_.async_accept([this](auto error, Local::socket socket) {
        if (error == asio::error::operation_aborted || state_ != State::Owner || connection_) return;
        if (error) {  // For example, no descriptor is free.
            regain_timer_.expires_after(kClaimRetryInterval);
            return regain_timer_.async_wait([this](auto cancelled) {
                if (!cancelled && acceptor_.is_open()) accept();
            });
        }
        connection_ = std::make_shared<HandoverConnection>(
            std::move(socket), [this](const Json& message) { receive(message); },
            [this] { connection_ended(); });
        connection_->start();
        start_step_timer(kMaxOfferStepTime);
    });
}

void Handover::handle_claimant_step(const std::string& step) {
    if (step == "claim" && state_ == State::Owner && acceptor_.is_open()) {
        state_ = State::Offered;
        connection_->send({{"step", "offer"}, {"offer", steps_.offer()}});
        start_step_timer(kMaxOfferStepTime);
    } else if (step == "ready" && state_ == State::Offered) {
        stop_step_timer();
        boost::system::error_code ignored_error;
        acceptor_.close(ignored_error);  // The other process listens from now on.
        steps_.release_files();
        unlock();
        state_ = State::Released;
        connection_->send({{"step", "go"}});
        steps_.released();
    }
}

void Handover::receive(const Json& message) {
    const auto step = message.find("step");
    if (step == message.end()) return steps_.receive(message);
    const auto name = step->get<std::string>();
    state_ == State::Claiming || state_ == State::Claimed ? handle_owner_step(name, message)
                                                          : handle_claimant_step(name);
}

void Handover::send(const Json& message) {
    if (connection_) connection_->send(message);
}

/// The connection has ended, usually because the other process has.
void Handover::connection_ended() {
    stop_step_timer();
    const State previous_state = state_;
    connection_.reset();
    if (previous_state == State::Claiming || previous_state == State::Claimed) return claim_later();
    if (previous_state == State::Released) {
        regain_tries_ = 0;
        return regain();
    }
    state_ = State::Owner;
    const bool listening = acceptor_.is_open();
    listening ? accept() : listen();
    if (previous_state == State::Offered)
        steps_.take_back(true);
    else if (!listening)
        steps_.predecessor_ended();
}

void Handover::regain() try {
    if (!lock()) return regain_later("a third process owns the folder");
    state_ = State::Owner;
    listen();
    steps_.take_back(false);
} catch (const std::exception& error) {
    if (!is_transient(system_error_of(error))) return steps_.fail(error.what());
    state_ = State::Released;
    boost::system::error_code ignored_error;
    acceptor_.close(ignored_error);
    unlock();
    regain_later(error.what());
}

void Handover::regain_later(const std::string& why) {
    if (++regain_tries_ > kMaxRegainTries) return steps_.fail(why);
    regain_timer_.expires_after(kRegainInterval);
    regain_timer_.async_wait([this](auto cancelled) {
        if (!cancelled) regain();
    });
}

}  // namespace lockgw
