/// Socket reads and writes that tell errors of the peer from errors of this machine.
///
/// All socket reads and writes of the program use these functions, so that an interrupted call or a local
/// shortage is never taken for the end of a connection.
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
    TryAgain,       ///< interrupted before anything was transferred
    NotReady,       ///< no data to read, or no buffer space to write
    PeerClosed,     ///< the peer will send nothing more
    Broken,         ///< reset, timed out or unreachable
    LocalShortage,  ///< no descriptors, memory, buffers or local ports on this machine
    NoRoute,        ///< this machine has no route to the peer at present
    Cancelled,      ///< by this process
};

SocketResult classify(const boost::system::error_code& error);
/// Whether the result says nothing about the peer and may go away without any action.
bool is_local_error(SocketResult result);

struct ReadResult {
    SocketResult result = SocketResult::Done;  ///< Done, NotReady, PeerClosed or Broken
    std::size_t count = 0;
};

/// Reads the available data into `buffer` and repeats interrupted reads. An error counts only once further
/// reads confirm it: the system reports the end of a connection again, whereas a transient error is gone.
ReadResult read_available(boost::asio::ip::tcp::socket& socket, boost::asio::mutable_buffer buffer);

/// Whether the connection is open and nothing unread has arrived on it: only then may it carry another
/// request. Detects what the event loop has not reported yet.
bool is_quiet(boost::asio::ip::tcp::socket& socket);

/// Whether the peer has closed the connection, or at least its sending side, or the connection was reset.
/// Detects it even if there is unread data, which the peer sent before.
bool peer_has_left(boost::asio::ip::tcp::socket& socket);

/// For acceptors that use async_accept. Without this option Asio ignores a connection that was aborted in the
/// queue and waits for a new one to arrive, although others are waiting in the queue.
inline const boost::asio::socket_base::enable_connection_aborted kReportAborted{true};

/// Delay before a write or connect is retried after a local shortage.
constexpr std::chrono::milliseconds kShortageRetryDelay{5};
/// A read or write error counts once this number of them have occurred without a success in between.
constexpr int kMinErrorsToConfirm = 3;

/// Writes all of `bytes` and then calls done(error, count). The error is empty, or the one that ended the
/// connection; `count` is the number of bytes that the system accepted. The caller keeps `bytes` and the
/// socket alive until then and limits the time by closing the socket.
template <class Done>
class WriteOperation : public std::enable_shared_from_this<WriteOperation<Done>> {
public:
    WriteOperation(boost::asio::ip::tcp::socket& socket, boost::asio::const_buffer bytes, Done done)
        : socket_(socket), bytes_(bytes), done_(std::move(done)) {}

    /// Writes first and waits afterwards: the wait re-arms the event loop, which would get no further event
    /// if a write found the buffer full only for a moment.
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
                return retry_when_ready();
            else if (result == SocketResult::LocalShortage || result == SocketResult::NoRoute)
                return retry_later();
            else if (result != SocketResult::TryAgain && ++errors_ >= kMinErrorsToConfirm)
                return finish(error);
        }
        finish({});
    }

private:
    /// Calls the handler from the event loop, never from within start().
    void finish(const boost::system::error_code& error) {
        boost::asio::post(socket_.get_executor(),
            [self = this->shared_from_this(), error] { self->done_(error, self->written_); });
    }
    void retry_when_ready() {
        socket_.async_wait(
            boost::asio::ip::tcp::socket::wait_write, [self = this->shared_from_this()](const auto& error) {
                const bool cancelled = classify(error) == SocketResult::Cancelled;
                cancelled ? self->done_(error, self->written_) : self->start();
            });
    }
    void retry_later() {
        const auto timer =
            std::make_shared<boost::asio::steady_timer>(socket_.get_executor(), kShortageRetryDelay);
        timer->async_wait([self = this->shared_from_this(), timer](const auto&) { self->start(); });
    }

    boost::asio::ip::tcp::socket& socket_;
    boost::asio::const_buffer bytes_;  // not written yet
    Done done_;
    std::size_t written_ = 0;
    int errors_ = 0;
};

template <class Done>
void write_all(boost::asio::ip::tcp::socket& socket, const std::string& bytes, Done done) {
    std::make_shared<WriteOperation<Done>>(socket, boost::asio::buffer(bytes), std::move(done))->start();
}

}  // namespace lockgw
