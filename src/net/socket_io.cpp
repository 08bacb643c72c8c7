#include "socket_io.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>
#include <cerrno>

#include "counters.hpp"
#include "system_errors.hpp"

namespace lockgw {
namespace {

namespace errc = boost::system::errc;

constexpr int kMaxReads = 16;  // while each one fails with a transient or unconfirmed error

}  // namespace

SocketResult classify(const boost::system::error_code& error) {
    if (!error) return SocketResult::Done;
    if (error == boost::asio::error::eof) return SocketResult::PeerClosed;
    if (error == boost::asio::error::operation_aborted || error == boost::asio::error::bad_descriptor)
        return SocketResult::Cancelled;
    if (error == boost::asio::error::interrupted) return SocketResult::TryAgain;
    if (error == boost::asio::error::would_block || error == boost::asio::error::try_again)
        return SocketResult::NotReady;
    if (error == errc::network_unreachable || error == errc::network_down) return SocketResult::NoRoute;
    return is_shortage(std::error_code(error)) ? SocketResult::LocalShortage : SocketResult::Broken;
}

bool is_local_error(SocketResult result) {
    return result == SocketResult::TryAgain || result == SocketResult::LocalShortage ||
           result == SocketResult::NoRoute;
}

ReadResult read_available(boost::asio::ip::tcp::socket& socket, boost::asio::mutable_buffer buffer) {
    int errors = 0;
    for (int reads = 0; reads < kMaxReads; ++reads) {
        if (reads > 0) counters().add(Counter::ReadRetries);
        boost::system::error_code error;
        const std::size_t count = socket.read_some(buffer, error);
        const SocketResult result = classify(error);
        switch (result) {
            case SocketResult::Done:
            case SocketResult::NotReady:
            case SocketResult::PeerClosed:
                return {result, count};
            case SocketResult::Cancelled:
                return {SocketResult::Broken, 0};
            case SocketResult::Broken:
                if (++errors >= kMinErrorsToConfirm) return {result, 0};
                break;
            case SocketResult::TryAgain:
            case SocketResult::LocalShortage:
            case SocketResult::NoRoute:
                break;
        }
    }
    return {SocketResult::NotReady, 0};  // the socket is still readable, so the next wait ends at once
}

bool is_quiet(boost::asio::ip::tcp::socket& socket) {
    char byte;
    ssize_t count = -1;
    do count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    while (count < 0 && errno == EINTR);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool peer_has_left(boost::asio::ip::tcp::socket& socket) {
    pollfd entry{socket.native_handle(), POLLRDHUP, 0};
    int count = -1;
    do count = ::poll(&entry, 1, 0);
    while (count < 0 && errno == EINTR);
    return count == 1 && (entry.revents & POLLRDHUP) != 0;  // It is set after a reset, too.
}

}  // namespace lockgw
