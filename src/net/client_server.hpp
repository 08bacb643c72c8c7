/// The listener and its client connections: RESP2 requests in, one answer for each.
///
/// Anybody may connect, and send anything or nothing. Every connection gets an answer or a close in time, and
/// those that ask for nothing never keep out one that does.
#pragma once

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
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
    /// Called for each sound ENQUEUE; answers it once, in this call or later.
    using Enqueue = std::function<void(Message, cometspoke::Time left, Reply)>;

    /// Called whenever the last connection has gone.
    using Emptied = std::function<void()>;

    ClientServer(asio::io_context& io, const Config& config, const PersistentClock& clock,
        std::size_t most_connections, Enqueue enqueue, Emptied emptied);
    ~ClientServer();

    /// Takes the listening socket that is inherited, or binds one. Throws where neither can be had.
    void open();
    void listen();
    /// Accepts nothing for now; those who connect wait in the listener's queue.
    void pause();
    void resume();
    /// Another process takes the clients: those here are served and closed between requests. A listener that
    /// was bound here is closed, so that the other can bind it.
    void hand_over_clients();
    /// This process's copy of the listener, where the platform holds it.
    void close_listener();
    /// So many connections that count here are held by another process.
    void set_reserved_connections(std::size_t elsewhere) { elsewhere_ = elsewhere; }
    std::size_t connection_count() const { return count_; }
    /// The front's question is answered no, so that it sends its clients elsewhere.
    void set_unready(bool no) { saying_no_ = no; }
    /// Connections close between requests; new ones are served alike.
    void set_closing_between_requests(bool off);
    /// No new connections; those there are close between requests.
    void drain();
    bool listening() const { return acceptor_.is_open() && !paused_; }
    /// No connection is left, and none waits to be accepted.
    bool empty() const { return count_ == 0 && !(draining_ && acceptor_.is_open()); }

private:
    friend class ClientSession;
    using Clock = std::chrono::steady_clock;
    /// In the order in which they came to their present state.
    using Sessions = std::list<std::shared_ptr<ClientSession>>;
    enum State {
        Silent,   ///< connected, and nothing has come
        Idle,     ///< between requests
        Partly,   ///< a command has begun and not ended
        Asked,    ///< a command waits for its answer
        Writing,  ///< an answer is on its way
        Leaving,  ///< it has its last answer
        States
    };

    void accept();
    SocketResult accept_one();
    void serve(const std::shared_ptr<Descriptor>& connection);
    /// Takes all that wait in the queue; false where some may be left that cannot be accepted just now.
    bool accept_waiting();
    void close_listener_when_empty();
    bool make_room();
    std::size_t most() const;
    void close_resting(State state);
    bool close_first(State state, Clock::duration rest);
    void sweep();
    void bound_buffers();
    void handle(const resp::Command& command, const Reply& answer);

    asio::io_context& io_;
    const Config& config_;
    const PersistentClock& clock_;  // of deadlines
    std::size_t most_, elsewhere_ = 0;
    Enqueue enqueue_;
    Emptied emptied_;
    Tcp::acceptor acceptor_;
    asio::steady_timer pause_, sweep_;
    int accept_errors_ = 0;  // in a row
    bool accepting_ = false, draining_ = false, paused_ = false;
    bool saying_no_ = false, sending_off_ = false;
    std::array<Sessions, States> sessions_;
    std::size_t count_ = 0;             // of all sessions
    std::size_t buffered_ = 0;          // bytes of commands that have not ended
    std::array<char, 16 * 1024> in_{};  // of the connection that is read just now
};

/// An ENQUEUE's words as a message; `left` is its `d`. Throws InvalidInput naming what is wrong.
Message message_of(
    const resp::Command& command, const Config& config, PersistentTime now, cometspoke::Time& left);

}  // namespace lockgw
