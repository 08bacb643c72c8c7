/// The HTTP/1.1 server for operator calls, with one call per connection. It parses calls and writes replies;
/// the owner carries them out.
///
/// Operators call when a system is in trouble, so a slow caller must not keep out the next one.
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

/// A valid call. `endpoint` is set for Disable and Enable only, from the query parameter `who`.
struct OperatorCall {
    OperatorCommand command = OperatorCommand::Ready;
    std::string endpoint;
};
/// The HTTP status of a reply, and its body in one line.
struct OperatorReply {
    boost::beast::http::status status = boost::beast::http::status::ok;
    std::string text;
};

/// Parses the method and target of a request line. On success it fills in `call` and returns status 200;
/// otherwise it returns the reply that rejects the request.
OperatorReply parse_operator_call(
    boost::beast::http::verb method, std::string_view target, OperatorCall& call);

class ManagementSession;

class Management {
public:
    using Reply = std::function<void(OperatorReply)>;
    /// Called for each valid call. It calls the reply function once, during this call or later.
    using Handle = std::function<void(const OperatorCall&, Reply)>;

    /// These connections are independent of the limit on client connections.
    static constexpr std::size_t kMaxConnections = 16;
    /// The descriptors of the connections and the listener.
    static constexpr std::size_t kDescriptors = kMaxConnections + 1;

    Management(asio::io_context& io, Handle handle);
    ~Management();

    void listen(const Tcp::endpoint& address);

private:
    friend class ManagementSession;
    using Sessions = std::list<std::shared_ptr<ManagementSession>>;

    void accept();

    Handle handle_;
    Tcp::acceptor acceptor_;
    asio::steady_timer accept_retry_timer_;
    Sessions sessions_;  // in the order in which they connected
};

}  // namespace lockgw
