/// The client listener and its connections: reads RESP2 requests and writes one reply to each.
///
/// Anybody may connect and send anything or nothing. Every connection is replied to or closed within a
/// bounded time, and connections without a request never keep out one that has a request.
#pragma once

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "config.hpp"
#include "journal.hpp"
#include "resp.hpp"
#include "socket_io.hpp"

namespace lockgw {

class ClientSession;

class ClientServer {
public:
    using Reply = std::function<void(std::string)>;
    /// The open request of a client.
    struct Request {
        Message message;
        cometspoke::Time time_left{0};
        Reply reply;                            ///< is called once
        std::function<bool()> client_has_left;  ///< whether nobody waits for the reply any more
    };
    /// Called for each valid ENQUEUE. The reply function is called during this call or later.
    using Enqueue = std::function<void(Request)>;

    /// Called whenever the last connection has been closed.
    using Emptied = std::function<void()>;

    ClientServer(asio::io_context& io, const Config& config, const PersistentClock& clock,
        std::size_t max_connections, Enqueue enqueue, Emptied emptied);
    ~ClientServer();

    /// Uses the inherited listening socket, or binds one. Throws if neither is possible.
    void open();
    void listen();
    /// Stops accepting until resume(). New connections wait in the queue of the listener.
    void pause();
    void resume();
    /// Lets another process take over the clients: the connections of this process are served and closed
    /// between requests. A listener that this process has bound is closed, so that the other process can bind
    /// it.
    void hand_over_clients();
    /// Closes this process's descriptor of the listener, for use when the platform holds the listener too.
    void close_listener();
    /// Sets how many connections another process holds. They count towards the limit of this process.
    void set_reserved_connections(std::size_t count) { reserved_connections_ = count; }
    std::size_t connection_count() const { return connection_count_; }
    /// While unready, the health check of the load balancer gets an error, so that it sends its clients to
    /// other instances.
    void set_unready(bool unready) { unready_ = unready; }
    /// While set, connections are closed between requests, and after some time at their next request. New
    /// connections are served in the same way.
    void set_closing_between_requests(bool closing);
    /// Accepts no further connections and closes the existing ones between requests.
    void drain();
    bool listening() const { return acceptor_.is_open() && !paused_; }
    /// Whether no connection is open and none waits to be accepted.
    bool empty() const { return connection_count_ == 0 && !(draining_ && acceptor_.is_open()); }

private:
    friend class ClientSession;
    using Clock = std::chrono::steady_clock;
    /// The sessions of one state, in the order in which they entered it.
    using Sessions = std::list<std::shared_ptr<ClientSession>>;
    enum State {
        NoCommandYet,    ///< connected, and has not begun a command
        Idle,            ///< between requests
        PartialCommand,  ///< has received the beginning of a command, but not its end
        AwaitingReply,   ///< has a command that is not yet replied to
        WritingReply,    ///< a reply is being written
        Closing,         ///< its last reply is written, and sending is shut down
        StateCount
    };

    void accept();
    SocketResult accept_one();
    void start_session(const std::shared_ptr<Descriptor>& connection);
    bool accept_waiting();
    void close_listener_when_empty();
    bool ensure_capacity();
    std::size_t connection_limit() const;
    bool closes_at_next_request() const;
    void close_inactive(State state);
    bool close_oldest(State state, Clock::duration min_age);
    void close_expired();
    void end_overdue_commands();
    void limit_held_bytes();
    std::shared_ptr<ClientSession> session_to_reject() const;
    void handle(const resp::Command& command, const std::shared_ptr<ClientSession>& session);

    asio::io_context& io_;
    const Config& config_;
    const PersistentClock& clock_;  // the clock of message deadlines
    std::size_t max_connections_, reserved_connections_ = 0;
    Enqueue enqueue_;
    Emptied emptied_;
    Tcp::acceptor acceptor_;
    asio::steady_timer accept_retry_timer_, expiry_timer_;
    int consecutive_accept_errors_ = 0;
    bool accepting_ = false, draining_ = false, paused_ = false;
    bool unready_ = false;
    std::optional<Clock::time_point> closing_between_requests_since_;
    std::array<Sessions, StateCount> sessions_;
    std::size_t connection_count_ = 0;           // in all states
    std::size_t held_bytes_ = 0;                 // by the input and the replies of all connections
    std::array<char, 16 * 1024> read_buffer_{};  // shared by the reads of all connections
};

/// Converts an ENQUEUE command to a message and sets `left` to the time until its deadline. Throws
/// InvalidInput with a description of the invalid part.
Message message_of(
    const resp::Command& command, const Config& config, PersistentTime now, cometspoke::Time& left);

}  // namespace lockgw
