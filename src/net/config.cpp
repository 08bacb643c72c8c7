#include "config.hpp"

#include <sys/socket.h>

#include <charconv>
#include <cstdlib>
#include <set>
#include <system_error>

#include "file_io.hpp"

namespace lockgw {
namespace {

using cometspoke::settings::InvalidInput;
using cometspoke::settings::require_field;
using cometspoke::settings::required_value;
using cometspoke::settings::value_or;

template <class Endpoint>
Endpoint parse_socket_address(const std::string& text, const char* what) {
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    boost::system::error_code address_error;
    if (colon == std::string::npos) throw InvalidInput(std::string(what) + " is not host:port: " + text);
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    const auto address = asio::ip::make_address(text.substr(0, colon), address_error);
    if (address_error || parsed.ec != std::errc() || parsed.ptr != end)
        throw InvalidInput(std::string(what) + " is not host:port: " + text);
    return Endpoint(address, port);
}

std::uint64_t parse_seed(const std::string& text) {
    std::uint64_t seed = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, seed, 16);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        throw InvalidInput("seed is not a hex number: " + text);
    return seed;
}

void read_limits(const Json& limits, Config& config) {
    const auto max_descriptors = required_value<std::int64_t>(limits, "sockets");
    const auto disk_mb = required_value<double>(limits, "disk_mb");
    if (max_descriptors < 64) throw InvalidInput("limits.sockets is under 64");
    if (!(disk_mb > 0 && disk_mb < 1e6)) throw InvalidInput("limits.disk_mb is out of range");
    const auto memory_mb = value_or(limits, "memory_mb", 64.0);
    if (!(memory_mb > 0 && memory_mb < 1e9)) throw InvalidInput("limits.memory_mb is out of range");
    config.max_descriptors = static_cast<std::size_t>(max_descriptors);
    config.memory_bytes = static_cast<std::size_t>(memory_mb * 1024 * 1024);
    config.disk_bytes = static_cast<std::size_t>(disk_mb * 1024 * 1024);
}

void read_peers(const Json& file, Config& config) {
    if (const auto listen = value_or<std::string>(file, "peer_listen", ""); !listen.empty())
        config.peer_listen = udp_endpoint(listen, "peer_listen");
    if (const auto all = value_or<std::string>(file, "peers_all", ""); !all.empty())
        config.peers_all = udp_endpoint(all, "peers_all");
    for (const Json& peer : value_or(file, "peers", Json::array()))
        config.peers.push_back(udp_endpoint(peer.get<std::string>(), "peers"));
}

/// Whether a later configuration file may omit the field.
bool is_optional(const std::string& key) {
    static const std::set<std::string> optional_keys{"known", "management", "peer_listen", "peers_all",
        "peers", "floor_per_s", "aim_stretch", "settle_after_doubt_ms", "sequential", "fleet"};
    return optional_keys.contains(key);
}

/// Throws InvalidInput if `current` lacks a field that `previous` has. Each class must have all fields of the
/// first previous class, since classes may be added, renamed or removed.
void require_keys(const Json& previous, const Json& current, const std::string& prefix) {
    for (const auto& [key, value] : previous.items()) {
        if (is_optional(key)) continue;
        const auto found = current.find(key);
        if (found == current.end() || found->is_null() != value.is_null())
            throw InvalidInput("missing field " + prefix + key);
        if (value.is_object() && !found->is_object()) throw InvalidInput(prefix + key + " is not an object");
        if (value.is_object()) require_keys(value, *found, prefix + key + ".");
        if (key != "classes" || !value.is_array() || value.empty()) continue;
        for (const Json& entry : *found) {
            if (!entry.is_object()) throw InvalidInput(prefix + "classes has an entry that is not an object");
            require_keys(value.front(), entry, prefix + "classes.");
        }
    }
}

std::string required_variable(const char* name) {
    const char* value = std::getenv(name);
    if (value == nullptr || *value == '\0') throw InvalidInput(std::string(name) + " is not set");
    return value;
}

int parse_listening_socket(const std::string& text) {
    int fd = -1, listening = 0;
    socklen_t length = sizeof listening;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), fd);
    const bool is_number = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if (!is_number || ::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening, &length) != 0 || listening == 0)
        throw InvalidInput("NODE_FD is not a listening socket: " + text);
    return fd;
}

}  // namespace

Tcp::endpoint tcp_endpoint(const std::string& text, const char* what) {
    return parse_socket_address<Tcp::endpoint>(text, what);
}
std::string text_of(const Tcp::endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}
Udp::endpoint udp_endpoint(const std::string& text, const char* what) {
    return parse_socket_address<Udp::endpoint>(text, what);
}

Config read_config(const Json& file, const Config* previous) {
    Config config;
    if (previous != nullptr) require_keys(previous->json, file, "");
    config.json = file;
    config.json.erase("known");  // the list is long, and known_list holds it
    config.name = value_or<std::string>(file, "name", "");
    config.listen = tcp_endpoint(required_value<std::string>(file, "listen"), "listen");
    config.discovery = tcp_endpoint(required_value<std::string>(file, "discovery"), "discovery");
    config.seed = parse_seed(required_value<std::string>(file, "seed"));
    read_limits(require_field(file, "limits"), config);
    read_peers(file, config);
    if (const auto address = value_or<std::string>(file, "management", ""); !address.empty())
        config.management = tcp_endpoint(address, "management");
    config.known_list = value_or(file, "known", Json::object());
    const Json& params = require_field(file, "settings");
    config.names = cometspoke::settings::parse_names(
        params, previous != nullptr ? previous->names : cometspoke::settings::Names());
    config.settings = cometspoke::settings::parse_settings(params, config.names);
    const auto timeout_ms = value_or(require_field(params, "limits"), "connect_timeout_ms", 1000.0);
    if (!(timeout_ms > 0 && timeout_ms < 1e6))
        throw InvalidInput("limits.connect_timeout_ms is out of range");
    config.connect_timeout = std::chrono::milliseconds(static_cast<std::int64_t>(timeout_ms));
    config.load_reports =
        value_or<std::string>(value_or(params, "report", Json::object()), "source", "off") == "inline";
    return config;
}

Config config_of_environment(const Config* previous) {
    const std::string path = required_variable("NODE_CONFIG");
    const FileContents contents = read_file_with_retries(path);
    if (contents.error) throw std::system_error(contents.error, "NODE_CONFIG cannot be read: " + path);
    const Json file = Json::parse(contents.bytes);
    if (!file.is_object()) throw InvalidInput("NODE_CONFIG is not a JSON object");
    Config config = read_config(file, previous);
    config.state = required_variable("NODE_STATE");
    if (const char* descriptor = std::getenv("NODE_FD"); descriptor != nullptr && *descriptor != '\0')
        config.inherited_listener = parse_listening_socket(descriptor);
    // NODE_MANAGEMENT takes precedence over the file: two processes may share the file, and each needs an
    // address of its own
    if (const char* address = std::getenv("NODE_MANAGEMENT"); address != nullptr && *address != '\0')
        config.management = tcp_endpoint(address, "NODE_MANAGEMENT");
    return config;
}

}  // namespace lockgw
