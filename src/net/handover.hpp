/// Hands the service over from one process to its replacement. This class decides which of the two processes
/// owns the folder, and carries the messages between them; the forwarder decides what is handed over.
///
/// The owner holds a lock on a file in the folder. A process that finds it locked sends "claim"; the owner
/// answers with "offer" and what it has, the claiming process confirms with "ready", and the owner sends
/// "go". Until "go" the owner can take everything back. If either process dies, the other one notices it by
/// the lock or by the end of the connection.
#pragma once

#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <system_error>

#include "config.hpp"
#include "journal.hpp"

namespace lockgw {

class HandoverConnection;

class Handover {
public:
    struct Steps {
        /// This process owns the folder now. The argument is the offer of the previous process, if there was
        /// one.
        std::function<void(const std::optional<Json>&)> become_owner;
        /// Another process claims the folder: from here on nothing is decided or written. Returns the state
        /// that is not in the folder.
        std::function<Json()> offer;
        /// Runs before "go" is sent: no file of the folder may stay open.
        std::function<void()> release_files;
        /// The other process owns the folder.
        std::function<void()> released;
        /// The other process has ended and this process is the owner again. `offered` means that it ended
        /// before "go" was sent.
        std::function<void(bool offered)> take_back;
        /// The other process has sent a message that is no step of the handover.
        std::function<void(const Json&)> receive;
        /// The previous process has ended.
        std::function<void()> predecessor_ended;
        /// A fault occurred from which this process cannot recover.
        std::function<void(const std::string&)> fail;
    };

    Handover(asio::io_context& io, std::filesystem::path folder, Steps steps);
    ~Handover();

    /// Leads to Steps::become_owner(), in this call if no other process owns the folder, later otherwise. A
    /// folder that cannot be used now is retried until it can, because its messages must be delivered.
    void claim();
    /// Sends a message to the other process, if there is one.
    void send(const Json& message);
    /// Whether this process owns the folder and the previous owner has not ended yet.
    bool connected_to_predecessor() const {
        return state_ == State::Owner && connection_ && !acceptor_.is_open();
    }

private:
    enum class State { Waiting, Claiming, Claimed, Owner, Offered, Released };
    using Local = asio::local::stream_protocol;

    bool open_folder();
    bool lock();
    void unlock();
    void try_claim();
    void start_later(const std::string& why);
    void fail(const std::string& why, bool handed_over);
    bool is_start_retryable(const std::error_code& error);
    void call_become_owner(const std::optional<Json>& offer);
    void connected();
    void handle_owner_step(const std::string& step, const Json& message);
    void claim_later();
    void become_owner(const std::optional<Json>& offer);
    void listen();
    void listen_later();
    void accept();
    void handle_claimant_step(const std::string& step);
    void receive(const Json& message);
    void connection_ended();
    void regain();
    void regain_later(const std::string& why);
    void start_step_timer(std::chrono::milliseconds duration);
    void stop_step_timer();

    asio::io_context& io_;
    std::filesystem::path folder_;
    Steps steps_;
    Descriptor lock_file_;
    Descriptor folder_file_;  // Gives the socket a short name; the path may be too long for one.
    Local::acceptor acceptor_;
    std::shared_ptr<HandoverConnection> connection_;
    asio::steady_timer step_timer_, regain_timer_, listen_timer_;
    State state_ = State::Waiting;
    bool waiting_logged_ = false;
    std::optional<std::chrono::steady_clock::time_point> address_in_use_since_;
    std::string last_listen_error_;
    std::string last_start_error_;     // As logged last.
    std::uint64_t step_timer_id_ = 0;  // Handlers of step_timer_ with another id are outdated.
    int regain_tries_ = 0;
    std::optional<Json> received_offer_;
};

}  // namespace lockgw
