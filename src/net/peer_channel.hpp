/// Messages between forwarders. They are UDP datagrams, which may arrive late or not at all.
#pragma once

#include <array>
#include <functional>
#include <optional>
#include <string>

#include "config.hpp"

namespace lockgw {

class PeerChannel {
public:
    using Receive = std::function<void(cometspoke::PeerMessage)>;

    PeerChannel(asio::io_context& io, const Config& config, Receive receive);

    void start();
    /// Closes the socket so that another process can bind the address.
    void stop();
    /// Sends to one peer, or to all peers if `to` is empty.
    void send(std::optional<std::size_t> to, const std::string& bytes);

private:
    void receive_next();

    static constexpr std::size_t kMaxDatagramBytes = 256;  // Longer ones are not allowed.

    const Config& config_;
    Receive receive_;
    Udp::socket socket_;
    Udp::endpoint from_;
    std::array<char, kMaxDatagramBytes + 1> buffer_{};
};

}  // namespace lockgw
