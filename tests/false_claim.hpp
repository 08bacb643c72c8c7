/// A stub of the process that takes over in a handover.
#pragma once

#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/read.hpp>

#include "net_helpers.hpp"

namespace lockgw {

/// Connects to the handover socket as a new process does. A test sends a claim and can then close the
/// connection or stop responding at any step.
class FalseClaim {
public:
    explicit FalseClaim(const std::filesystem::path& state) : socket_(io_) {
        socket_.connect(asio::local::stream_protocol::endpoint((state / "handover").string()));
    }
    void send(const Json& note) {
        const auto bytes = Json::to_cbor(note);
        const auto length = static_cast<std::uint32_t>(bytes.size());
        asio::write(socket_, asio::buffer(&length, sizeof length));
        asio::write(socket_, asio::buffer(bytes));
    }
    Json receive() {
        std::uint32_t length = 0;
        asio::read(socket_, asio::buffer(&length, sizeof length));
        std::vector<std::uint8_t> bytes(length);
        asio::read(socket_, asio::buffer(bytes));
        return Json::from_cbor(bytes);
    }

private:
    asio::io_context io_;
    asio::local::stream_protocol::socket socket_;
};

}  // namespace lockgw
