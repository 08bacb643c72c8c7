/// What a forwarder is told at its start: the environment, and the file that NODE_CONFIG names.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "settings.hpp"

namespace lockgw {

namespace asio = boost::asio;
using Json = nlohmann::json;
using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;

struct Config {
    std::string name;
    Tcp::endpoint listen, discovery;
    std::filesystem::path state;
    std::uint64_t seed = 0;
    std::size_t max_descriptors = 1024;  ///< most descriptors of the process
    std::size_t memory_bytes = 64 << 20;
    std::size_t disk_bytes = 0;               ///< room in `state`
    std::optional<int> inherited_listener;    ///< the clients' listening socket, where the platform holds it
    std::optional<Tcp::endpoint> management;  ///< where operators call
    std::optional<Udp::endpoint> peer_listen, peers_all;
    std::vector<Udp::endpoint> peers;  ///< by their numbers, its own among them
    Json json;                         ///< all of it, as it was read
    Json known_list;                   ///< the list of targets as last had, in discovery's form
    cometspoke::settings::Names names;
    cometspoke::Settings settings;
    std::chrono::milliseconds connect_timeout{1000};
    bool load_reports = false;  ///< answers may carry load reports
};

/// "host:port" with a numeric address; throws InvalidInput naming `what`.
Tcp::endpoint tcp_endpoint(const std::string& text, const char* what);
std::string text_of(const Tcp::endpoint& endpoint);
Udp::endpoint udp_endpoint(const std::string& text, const char* what);

/// Throws std::exception with one plain line where something is missing or makes no sense. What stands in the
/// file of the configuration `before` must stand in a later one too: where it doesn't, half a file has come.
Config read_config(const Json& file, const Config* before = nullptr);
Config config_of_environment(const Config* before = nullptr);

}  // namespace lockgw
