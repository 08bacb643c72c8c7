/// What the result of a socket call says: about the other side, about this machine, or nothing yet.
///
/// All reads and writes of the program go through here, so that an interruption or a shortage is never taken
/// for the end of a connection.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "counters.hpp"

namespace lockgw {

enum class SocketResult {
    Done,
    TryAgain,       ///< interrupted: nothing has happened
    NotReady,       ///< nothing to read, or no room to write
    PeerClosed,     ///< the other side has ended its sending
    Broken,         ///< reset, timed out or unreachable
    LocalShortage,  ///< this machine lacks descriptors, memory, buffers or a local port
    NoRoute,        ///< this machine has no route there now
    Cancelled,      ///< by this process
};

SocketResult classify(const boost::system::error_code& error);
/// Says nothing of the other side, and may pass by itself.
bool is_local_error(SocketResult result);

struct ReadResult {
    SocketResult result = SocketResult::Done;  ///< Done, NotReady, PeerClosed or Broken
    std::size_t count = 0;
};

/// Reads what has come into `buffer`. Interruptions are gone over. An error counts once a second read
/// confirms it: the system tells the end of a connection again, and what was only momentary has passed.
ReadResult read_available(boost::asio::ip::tcp::socket& socket, boost::asio::mutable_buffer buffer);

/// For acceptors that are accepted from with async_accept: a connection that was aborted in the queue is
/// reported. Asio would wait for the next one to come instead, and leave those behind it in the queue.
inline const boost::asio::socket_base::enable_connection_aborted kReportAborted{true};

/// After a shortage a write or connect is tried again so much later.
constexpr std::chrono::milliseconds kShortageRetryDelay{5};
/// A write error counts when so many in a row tell it.
constexpr int kErrorsThatConfirm = 3;

/// Writes all of `bytes` and then calls done(error, count): the error is none, or what ended the connection,
/// and count is how many bytes the system took. The caller keeps `bytes` and the socket until then and bounds
/// the time by closing the socket.
template <class Done>
class WriteOperation : public std::enable_shared_from_this<WriteOperation<Done>> {
public:
    WriteOperation(boost::asio::ip::tcp::socket& socket, boost::asio::const_buffer bytes, Done done)
        : socket_(socket), bytes_(bytes), done_(std::move(done)) {}

    /// The write comes first and the wait after it: a wait arms the event loop anew, which a write that
    /// found no room for a moment only would leave without a further event.
    void start() {
        while (bytes_.size() > 0) {
            boost::system::error_code error;
            const std::size_t count = socket_.write_some(bytes_, error);
            bytes_ += count;
            written_ += count;
            const SocketResult result = classify(error);
            if (result != SocketResult::Done && result != SocketResult::NotReady)
                counters().add(Counter::WriteRetries);
            if (result == SocketResult::Done)
                errors_ = 0;
            else if (result == SocketResult::NotReady)
                return start_when_ready();
            else if (result == SocketResult::LocalShortage || result == SocketResult::NoRoute)
                return start_later();
            else if (result != SocketResult::TryAgain && ++errors_ >= kErrorsThatConfirm)
                return finish(error);
        }
        finish({});
    }

private:
    /// Never from within start().
    void finish(const boost::system::error_code& error) {
        boost::asio::post(socket_.get_executor(),
            [self = this->shared_from_this(), error] { self->done_(error, self->written_); });
    }
    void start_when_ready() {
        socket_.async_wait(
            boost::asio::ip::tcp::socket::wait_write, [self = this->shared_from_this()](const auto& error) {
                const bool cancelled = classify(error) == SocketResult::Cancelled;
                cancelled ? self->done_(error, self->written_) : self->start();
            });
    }
    void start_later() {
        const auto pause =
            std::make_shared<boost::asio::steady_timer>(socket_.get_executor(), kShortageRetryDelay);
        pause->async_wait([self = this->shared_from_this(), pause](const auto&) { self->start(); });
    }

    boost::asio::ip::tcp::socket& socket_;
    boost::asio::const_buffer bytes_;  // what is left of them
    Done done_;
    std::size_t written_ = 0;
    int errors_ = 0;
};

template <class Done>
void write_all(boost::asio::ip::tcp::socket& socket, const std::string& bytes, Done done) {
    std::make_shared<WriteOperation<Done>>(socket, boost::asio::buffer(bytes), std::move(done))->start();
}

}  // namespace lockgw
