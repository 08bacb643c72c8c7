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

constexpr auto kClaimAgain = 30ms;  // the owner may be starting, ending, or handing over already
constexpr auto kStartAgain = 50ms;  // after a start that found the folder or an address not to be used now
constexpr auto kAddressInUse = 1s;
constexpr int kOwnAttempts = 30;
constexpr auto kClaimWithin = 3s;    // for each step of one that claims,
constexpr auto kOfferWithin = 1s;    // and of one that offers: its clients wait meanwhile
constexpr auto kRegainPause = 10ms;  // the kernel frees a dead process's lock and socket in its own order
constexpr int kRegainTries = 200;
constexpr std::uint32_t kMostFrame = 16 << 20;

}  // namespace

/// Frames of a length and CBOR (bodies hold any bytes), in both directions.
class HandoverLink : public std::enable_shared_from_this<HandoverLink> {
public:
    using Local = asio::local::stream_protocol;

    HandoverLink(Local::socket socket, std::function<void(const Json&)> heard, std::function<void()> ended)
        : socket_(std::move(socket)), heard_(std::move(heard)), ended_(std::move(ended)) {}

    void start() { read_length(); }
    void send(const Json& note) {
        if (closed_) return;
        const auto bytes = Json::to_cbor(note);
        const auto length = static_cast<std::uint32_t>(bytes.size());
        std::string frame(sizeof length, '\0');
        std::memcpy(frame.data(), &length, sizeof length);
        frame.append(bytes.begin(), bytes.end());
        out_.push_back(std::move(frame));
        if (out_.size() == 1) write();
    }
    /// Nothing is told any more.
    void close() {
        closed_ = true;
        boost::system::error_code ignored;
        socket_.close(ignored);
    }

private:
    template <class Next>
    auto guarded(Next next) {
        return [self = shared_from_this(), next](auto failed, auto&&...) {
            if (self->closed_) return;
            failed ? self->end() : next(*self);
        };
    }
    void end() {
        close();
        ended_();
    }
    void read_length() {
        asio::async_read(socket_, asio::buffer(&length_, sizeof length_), guarded([](HandoverLink& self) {
            if (self.length_ > kMostFrame) return self.end();
            self.in_.resize(self.length_);
            self.read_note();
        }));
    }
    void read_note() {
        asio::async_read(socket_, asio::buffer(in_), guarded([](HandoverLink& self) {
            const Json note = Json::from_cbor(self.in_, true, false);
            if (note.is_discarded() || !note.is_object()) return self.end();
            try {
                self.heard_(note);
            } catch (const std::exception& bad) {  // one note must not end what the others carry
                std::cerr << "handover: " << bad.what() << '\n';
            }
            if (!self.closed_) self.read_length();
        }));
    }
    void write() {
        asio::async_write(socket_, asio::buffer(out_.front()), guarded([](HandoverLink& self) {
            self.out_.pop_front();
            if (!self.out_.empty()) self.write();
        }));
    }

    Local::socket socket_;
    std::function<void(const Json&)> heard_;
    std::function<void()> ended_;
    std::uint32_t length_ = 0;
    std::vector<std::uint8_t> in_;
    std::deque<std::string> out_;
    bool closed_ = false;
};

Handover::Handover(asio::io_context& io, std::filesystem::path folder, Steps steps)
    : io_(io),
      folder_(std::move(folder)),
      steps_(std::move(steps)),
      acceptor_(io),
      timer_(io),
      regain_pause_(io),
      listen_pause_(io) {}
Handover::~Handover() {
    if (link_) link_->close();
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

/// The folder under a name that is short whatever its own is.
static std::string socket_name(const Descriptor& folder) {
    return "/proc/self/fd/" + std::to_string(folder.get()) + "/handover";
}

void Handover::try_claim() {
    if (!open_folder())
        return start_again("the folder " + folder_.string() + " cannot be used: " + std::strerror(errno));
    if (lock()) return become_owner(std::nullopt);
    if (!std::exchange(waiting_told_, true)) std::cerr << "handover: another process owns the folder\n";
    state_ = State::Claiming;
    Local::socket socket(io_);
    boost::system::error_code failed;
    socket.connect(socket_name(folder_file_), failed);
    if (failed) return claim_again();
    link_ = std::make_shared<HandoverLink>(
        std::move(socket), [this](const Json& note) { heard(note); }, [this] { ended(); });
    link_->start();
    link_->send({{"step", "claim"}});
    within(kClaimWithin);
}

void Handover::claim_again() {
    if (link_) link_->close();
    link_.reset();
    offer_.reset();
    state_ = State::Waiting;
    timer_.expires_after(kClaimAgain);
    timer_.async_wait([this, watch = ++watch_](auto) {
        if (watch == watch_) try {
                try_claim();
            } catch (const std::exception& bad) {
                steps_.lost(bad.what());
            }
    });
}

/// The other one dawdles: what it has not been told go for stays here, or is claimed anew.
void Handover::within(std::chrono::milliseconds span) {
    timer_.expires_after(span);
    timer_.async_wait([this, watch = ++watch_](auto) {
        if (watch != watch_) return;
        link_->close();
        ended();
    });
}
/// Also one that is due already and waits for its turn in the loop.
void Handover::stop_watch() {
    ++watch_;
    timer_.cancel();
}

void Handover::claimed(const std::string& step, const Json& note) {
    if (step == "offer" && state_ == State::Claiming) {
        state_ = State::Claimed;
        offer_ = note.at("offer");
        link_->send({{"step", "ready"}});
        within(kClaimWithin);
    } else if (step == "go" && state_ == State::Claimed) {
        stop_watch();
        if (!lock()) return claim_again();
        become_owner(std::exchange(offer_, std::nullopt));
    }
}

void Handover::become_owner(const std::optional<Json>& offer) try {
    state_ = State::Owner;
    if (!link_) listen();  // with the one before still there, only once that has ended
    own(offer);
} catch (const std::exception& bad) {
    const std::error_code error = system_error_of(bad);
    if (offer || !worth_another_start(error)) return lost(bad.what(), offer.has_value());
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    unlock();
    start_again(bad.what());
}

/// The process that had the address before may just be ending; another program will not give it up.
bool Handover::worth_another_start(const std::error_code& error) {
    if (error != std::errc::address_in_use) return is_transient(error);
    if (!in_use_since_) in_use_since_ = std::chrono::steady_clock::now();
    return std::chrono::steady_clock::now() - *in_use_since_ < kAddressInUse;
}

/// What was handed over is nowhere else: it is worth a wait in which nothing else is done.
void Handover::own(const std::optional<Json>& offer) {
    for (int attempt = 1; offer && attempt < kOwnAttempts; ++attempt) try {
            return steps_.own(offer);
        } catch (const std::exception& bad) {
            if (!is_transient(system_error_of(bad))) throw;
            std::this_thread::sleep_for(kClaimAgain);
        }
    steps_.own(offer);
}

void Handover::lost(const std::string& why, bool handed_over) {
    if (handed_over && link_) link_->close();
    steps_.lost(why);
}

/// One line for each cause, however often it is met in a row.
void Handover::start_again(const std::string& why) {
    if (std::exchange(last_start_error_, why) != why)
        std::cerr << "handover: waits to start: " << why << '\n';
    state_ = State::Waiting;
    timer_.expires_after(kStartAgain);
    timer_.async_wait([this, watch = ++watch_](auto) {
        if (watch == watch_) try {
                try_claim();
            } catch (const std::exception& bad) {
                steps_.lost(bad.what());
            }
    });
}

void Handover::listen() {
    const std::string name = socket_name(folder_file_);
    ::unlink(name.c_str());
    boost::system::error_code failed;
    acceptor_.open(Local(), failed);
    if (!failed) acceptor_.set_option(kReportAborted, failed);
    if (!failed) acceptor_.bind(Local::endpoint(name), failed);
    if (!failed) acceptor_.listen(asio::socket_base::max_listen_connections, failed);
    if (failed) {  // the forwarder works without; only its process cannot be replaced in service until then
        const std::string why = failed.message();
        if (std::exchange(last_listen_error_, why) != why)
            std::cerr << "handover: cannot listen: " << why << '\n';
        acceptor_.close(failed);
        return listen_later();
    }
    last_listen_error_.clear();
    accept();
}

void Handover::listen_later() {
    listen_pause_.expires_after(kStartAgain);
    listen_pause_.async_wait([this](auto cancelled) {
        if (!cancelled && state_ == State::Owner && !link_ && !acceptor_.is_open()) listen();
    });
}

/// One at a time, and none while there is another process already.
void Handover::accept() {
    acceptor_.async_accept([this](auto failed, Local::socket socket) {
        if (failed == asio::error::operation_aborted || state_ != State::Owner || link_) return;
        if (failed) {  // such as one for want of descriptors
            regain_pause_.expires_after(kClaimAgain);
            return regain_pause_.async_wait([this](auto cancelled) {
                if (!cancelled && acceptor_.is_open()) accept();
            });
        }
        link_ = std::make_shared<HandoverLink>(
            std::move(socket), [this](const Json& note) { heard(note); }, [this] { ended(); });
        link_->start();
        within(kOfferWithin);
    });
}

void Handover::asked(const std::string& step) {
    if (step == "claim" && state_ == State::Owner && acceptor_.is_open()) {
        state_ = State::Offered;
        link_->send({{"step", "offer"}, {"offer", steps_.offer()}});
        within(kOfferWithin);
    } else if (step == "ready" && state_ == State::Offered) {
        stop_watch();
        boost::system::error_code ignored;
        acceptor_.close(ignored);  // the other one listens from now on
        steps_.let_go();
        unlock();
        state_ = State::Released;
        link_->send({{"step", "go"}});
        steps_.released();
    }
}

void Handover::heard(const Json& note) {
    const auto step = note.find("step");
    if (step == note.end()) return steps_.told(note);
    const auto name = step->get<std::string>();
    state_ == State::Claiming || state_ == State::Claimed ? claimed(name, note) : asked(name);
}

void Handover::tell(const Json& note) {
    if (link_) link_->send(note);
}

/// The connection has ended, and with it, mostly, the other process.
void Handover::ended() {
    stop_watch();
    const State before = state_;
    link_.reset();
    if (before == State::Claiming || before == State::Claimed) return claim_again();
    if (before == State::Released) {
        regain_tries_ = 0;
        return regain();
    }
    state_ = State::Owner;
    const bool listening = acceptor_.is_open();
    listening ? accept() : listen();
    if (before == State::Offered)
        steps_.take_back(true);
    else if (!listening)
        steps_.left();
}

void Handover::regain() try {
    if (!lock()) return regain_later("a third process owns the folder");
    state_ = State::Owner;
    listen();
    steps_.take_back(false);
} catch (const std::exception& bad) {
    if (!is_transient(system_error_of(bad))) return steps_.lost(bad.what());
    state_ = State::Released;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    unlock();
    regain_later(bad.what());
}

void Handover::regain_later(const std::string& why) {
    if (++regain_tries_ > kRegainTries) return steps_.lost(why);
    regain_pause_.expires_after(kRegainPause);
    regain_pause_.async_wait([this](auto cancelled) {
        if (!cancelled) regain();
    });
}

}  // namespace lockgw
