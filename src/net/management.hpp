/// The operators' calls: HTTP/1.1, one call a connection. It parses and answers; what a call does is decided
/// elsewhere.
///
/// Operators call when things go badly: whoever dawdles must not keep out the next.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "config.hpp"

namespace lockgw {

enum class OperatorCommand { Ready, Disable, Enable, Drain, Undrain, Counters };

/// A call that is known; `who` is the endpoint of Disable and Enable.
struct OperatorCall {
    OperatorCommand command = OperatorCommand::Ready;
    std::string endpoint;
};
/// Yes or no, and why in one line.
struct OperatorReply {
    boost::beast::http::status status = boost::beast::http::status::ok;
    std::string text;
};

/// The call that a request line asks for, or the no that it is owed.
OperatorReply parse_operator_call(
    boost::beast::http::verb method, std::string_view target, OperatorCall& call);

class ManagementSession;

class Management {
public:
    using Reply = std::function<void(OperatorReply)>;
    /// Called for each known call; answers it once, in this call or later.
    using Handle = std::function<void(const OperatorCall&, Reply)>;

    /// Its own connections, whatever clients do, and the listener.
    static constexpr std::size_t kMostConnections = 16;
    static constexpr std::size_t kDescriptors = kMostConnections + 1;

    Management(asio::io_context& io, Handle handle);
    ~Management();

    void listen(const Tcp::endpoint& address);

private:
    friend class ManagementSession;
    using Sessions = std::list<std::shared_ptr<ManagementSession>>;

    void accept();

    Handle handle_;
    Tcp::acceptor acceptor_;
    asio::steady_timer pause_;
    Sessions sessions_;  // in the order in which they connected
};

}  // namespace lockgw
