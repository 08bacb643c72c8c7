#include "peer_channel.hpp"

#include <algorithm>
#include <iostream>
#include <utility>

namespace lockgw {

PeerChannel::PeerChannel(asio::io_context& io, const Config& config, Receive receive)
    : config_(config), receive_(std::move(receive)), socket_(io) {}

void PeerChannel::start() {
    if (!config_.peer_listen) return;
    socket_.open(config_.peer_listen->protocol());
    socket_.bind(*config_.peer_listen);
    socket_.non_blocking(true);
    receive_next();
}

void PeerChannel::stop() {
    boost::system::error_code ignored_error;
    socket_.close(ignored_error);
}

void PeerChannel::receive_next() {
    socket_.async_receive_from(asio::buffer(buffer_), from_, [this](auto error, std::size_t count) {
        if (error == asio::error::operation_aborted) return;
        // Other errors report that an earlier datagram could not be delivered.
        const auto sender = std::find(config_.peers.begin(), config_.peers.end(), from_);
        if (!error && count <= kMaxDatagramBytes && sender != config_.peers.end())
            receive_({static_cast<std::size_t>(sender - config_.peers.begin()),
                std::string(buffer_.data(), count)});
        receive_next();
    });
}

void PeerChannel::send(std::optional<std::size_t> to, const std::string& bytes) {
    const auto address = !to                          ? config_.peers_all
                         : *to < config_.peers.size() ? std::optional(config_.peers[*to])
                                                      : std::nullopt;
    if (!address || !socket_.is_open() || bytes.size() > kMaxDatagramBytes) return;
    boost::system::error_code ignored_error;  // Peer messages may be lost.
    socket_.send_to(asio::buffer(bytes), *address, 0, ignored_error);
}

}  // namespace lockgw
