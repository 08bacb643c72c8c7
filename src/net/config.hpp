/// The forwarder's configuration: environment variables, and the JSON file that NODE_CONFIG names.
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
    std::filesystem::path state;  ///< the directory for the journal and other persistent files
    std::uint64_t seed = 0;
    std::size_t max_descriptors = 1024;  ///< of the whole process
    std::size_t memory_bytes = 64 << 20;
    std::size_t disk_bytes = 0;               ///< space that files in `state` may use
    std::optional<int> inherited_listener;    ///< the clients' listening socket if the platform holds it open
    std::optional<Tcp::endpoint> management;  ///< the address of the operators' interface
    std::optional<Udp::endpoint> peer_listen, peers_all;
    std::vector<Udp::endpoint> peers;  ///< indexed by peer number, this process included
    Json json;                         ///< the file without the known list, to compare with on a reload
    Json known_list;  ///< the endpoint list that the platform last had, in discovery's format
    cometspoke::settings::Names names;
    cometspoke::Settings settings;
    std::chrono::milliseconds connect_timeout{1000};
    bool load_reports = false;  ///< responses may carry load reports
};

/// Parses "host:port" with a numeric address; throws InvalidInput that names `what`.
Tcp::endpoint tcp_endpoint(const std::string& text, const char* what);
std::string text_of(const Tcp::endpoint& endpoint);
Udp::endpoint udp_endpoint(const std::string& text, const char* what);

/// Throws std::exception with a one-line text if a field is missing or invalid. Each field that the file of
/// the `previous` configuration has must be in a later file too, except for optional ones: a field that is
/// missing indicates a file that was read while only a part of it had been written.
Config read_config(const Json& file, const Config* previous = nullptr);
Config config_of_environment(const Config* previous = nullptr);

}  // namespace lockgw
