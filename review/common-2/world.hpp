/// The surroundings of one forwarder for the cases of this review: the agent of discovery, endpoints, clients
/// and the forwarder itself as a process that the deploy file's `run` starts. All of it is on 127.0.0.1.
///
/// The stand-ins do what PROTOCOL says and nothing else, unless a case asks for it. Each one has threads of
/// its own. What is sent, answered and run goes to the record with its time.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;

/// The case could not run: exit code 2.
struct CannotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline double now_ms() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}
inline void sleep_ms(double ms) {
    if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void sleep_until_ms(double at) { sleep_ms(at - now_ms()); }

inline void note(const char* format, ...) __attribute__((format(printf, 1, 2)));
inline void note(const char* format, ...) {
    static std::mutex mutex;
    const double at = now_ms();
    const std::lock_guard lock(mutex);
    std::printf("%9.1f ms  ", at);
    va_list arguments;
    va_start(arguments, format);
    std::vprintf(format, arguments);
    va_end(arguments);
    std::printf("\n");
    std::fflush(stdout);
}

/// TROUBLE=0 plays the same without the disruption.
inline bool trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

inline std::string address_of(int port) { return "127.0.0.1:" + std::to_string(port); }

inline int listen_on_free_port(int& port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    socklen_t length = sizeof address;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0 ||
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) != 0)
        throw CannotRun("no free port");
    port = ntohs(address.sin_port);
    return fd;
}
inline int free_port() {
    int port = 0;
    ::close(listen_on_free_port(port));
    return port;
}
inline bool send_all(int fd, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}
/// Ends the connection with a reset.
inline void reset(int fd) {
    const linger at_once{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

struct Request {
    std::string method, target, body;
    std::map<std::string, std::string> headers;  // names in small letters
    double at = 0;                               // when its last byte came
    std::string header(const std::string& name) const {
        const auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
};

inline std::string response(int status, const std::string& headers = "", const std::string& body = "") {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n" + headers + "\r\n" + body;
}

/// An HTTP/1.1 server with a thread for each connection, which it keeps alive.
class HttpServer {
public:
    /// Writes the answer to the connection. Returns false if the connection is to be closed.
    using Handle = std::function<bool(const Request&, int fd)>;

    explicit HttpServer(Handle handle) : handle_(std::move(handle)) { open(); }
    HttpServer(const HttpServer&) = delete;
    /// Ends all connections and waits for the threads.
    ~HttpServer() {
        die();
        for (const double until = now_ms() + 5000; threads_ > 0 && now_ms() < until;) sleep_ms(1);
        if (threads_ > 0) ::_exit(2);  // a handler that does not return still uses this object
    }
    int port() const { return port_; }
    std::string address() const { return address_of(port_); }
    /// New connections are refused; the open ones go on.
    void refuse() {
        const std::lock_guard lock(mutex_);
        if (const int listener = std::exchange(listener_, -1); listener >= 0) ::shutdown(listener, SHUT_RDWR);
    }
    /// The open connections are closed.
    void close_open() {
        const std::lock_guard lock(mutex_);
        for (const int fd : connections_) ::shutdown(fd, SHUT_RDWR);
    }
    /// New connections are refused and the open ones are reset, as when a process dies.
    void die() {
        refuse();
        const std::lock_guard lock(mutex_);
        for (const int fd : connections_) reset(fd), ::shutdown(fd, SHUT_RDWR);
    }
    /// Listens again at the same port.
    void open() {
        listener_ = listen_on_free_port(port_);
        ++threads_;
        std::thread([this, listener = listener_] {
            while (true) {
                const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) break;
                const int on = 1;
                ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                {
                    const std::lock_guard lock(mutex_);
                    connections_.push_back(fd);
                }
                ++threads_;
                std::thread([this, fd] {
                    serve(fd);
                    --threads_;
                }).detach();
            }
            ::close(listener);
            --threads_;
        }).detach();
    }

private:
    void serve(int fd) {
        std::string bytes;
        Request request;
        while (read_request(fd, bytes, request) && handle_(request, fd)) continue;
        const std::lock_guard lock(mutex_);
        std::erase(connections_, fd);
        ::close(fd);
    }
    static bool read_more(int fd, std::string& bytes) {
        char buffer[16384];
        const ssize_t count = ::recv(fd, buffer, sizeof buffer, 0);
        if (count <= 0) return false;
        bytes.append(buffer, static_cast<std::size_t>(count));
        return true;
    }
    static bool read_request(int fd, std::string& bytes, Request& request) {
        std::size_t end = 0;
        while ((end = bytes.find("\r\n\r\n")) == std::string::npos)
            if (!read_more(fd, bytes)) return false;
        request = {};
        std::istringstream head(bytes.substr(0, end));
        std::string line;
        head >> request.method >> request.target;
        std::getline(head, line);
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r') line.pop_back();
            const auto colon = line.find(':');
            if (colon == std::string::npos) continue;
            std::string name = line.substr(0, colon);
            for (char& letter : name) letter = static_cast<char>(std::tolower(letter));
            const auto value = line.find_first_not_of(' ', colon + 1);
            request.headers[name] = value == std::string::npos ? "" : line.substr(value);
        }
        const std::size_t length = std::strtoul(request.header("content-length").c_str(), nullptr, 10);
        while (bytes.size() < end + 4 + length)
            if (!read_more(fd, bytes)) return false;
        request.body = bytes.substr(end + 4, length);
        bytes.erase(0, end + 4 + length);
        request.at = now_ms();
        return true;
    }

    Handle handle_;
    int port_ = 0, listener_ = -1;
    std::atomic<int> threads_ = 0;
    std::mutex mutex_;
    std::vector<int> connections_;
};

struct Notice {
    std::string result;
    double at = 0;
};

/// The agent of discovery: serves the list and its changes, and takes notices at once.
class Agent {
public:
    Agent() : server_([this](const Request& request, int fd) { return handle(request, fd); }) {}
    std::string address() const { return server_.address(); }

    static Json member(const std::string& id, const std::string& host_port, int cell, double size = 1.0,
        const std::string& zone = "a", const std::string& phase = "in_service") {
        return {{"id", id}, {"host_port", host_port}, {"locality", zone}, {"flavor", "shop"}, {"cell", cell},
            {"phase", phase}, {"size", size}, {"up_since_ms", 0}};
    }
    void set(const Json& member) {
        const std::lock_guard lock(mutex_);
        ++revision_;
        members_[member.at("id")] = {revision_, member};
        changed_.notify_all();
    }
    Json whole_list() {
        const std::lock_guard lock(mutex_);
        return whole();
    }
    /// Discovery has moved away (TERMS, "Reconfiguration"): no new connections, and later no open ones.
    void refuse() { server_.refuse(); }
    void close_open() { server_.close_open(); }
    int requests() const { return requests_; }
    /// While silent, the list is not served: discovery is down. Notices are taken all the same.
    void set_silent(bool silent) {
        const std::lock_guard lock(mutex_);
        silent_ = silent;
        changed_.notify_all();
    }
    bool notice_of(const std::string& id, Notice& notice) {
        const std::lock_guard lock(mutex_);
        const auto found = notices_.find(id);
        if (found == notices_.end()) return false;
        notice = found->second;
        return true;
    }

private:
    Json whole() const {
        Json members = Json::array();
        for (const auto& [id, entry] : members_)
            if (entry.second.at("phase") != "terminated") members.push_back(entry.second);
        return {{"revision", revision_}, {"complete", true}, {"members", members}};
    }
    bool handle(const Request& request, int fd) {
        ++requests_;
        if (request.method == "POST" && request.target == "/reports") {
            std::istringstream lines(request.body);
            for (std::string line; std::getline(lines, line);) {
                const Json json = Json::parse(line);
                const std::lock_guard lock(mutex_);
                const bool first =
                    notices_.try_emplace(json.at("ref"), Notice{json.at("result"), request.at}).second;
                note("notice %s%s", line.c_str(), first ? "" : " (again)");
            }
            return send_all(fd, "HTTP/1.1 204 X\r\n\r\n");
        }
        std::unique_lock lock(mutex_);
        const auto from_at = request.target.find("from=");
        Json body;
        if (from_at == std::string::npos) {
            changed_.wait(lock, [this] { return !silent_; });
            body = whole();
        } else {
            const long from = std::strtol(request.target.c_str() + from_at + 5, nullptr, 10);
            const auto hold_at = request.target.find("hold_ms=");
            const long hold = hold_at == std::string::npos
                                  ? 0
                                  : std::strtol(request.target.c_str() + hold_at + 8, nullptr, 10);
            changed_.wait_for(lock, std::chrono::milliseconds(hold),
                [&] { return !silent_ && revision_ > from; });
            changed_.wait(lock, [this] { return !silent_; });
            Json members = Json::array();
            for (const auto& [id, entry] : members_)
                if (entry.first > from) members.push_back(entry.second);
            body = {{"revision", revision_}, {"complete", false}, {"members", members}};
        }
        lock.unlock();
        return send_all(fd, response(200, "Content-Type: application/json\r\n", body.dump()));
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    long revision_ = 0;
    bool silent_ = false;
    std::map<std::string, std::pair<long, Json>> members_;
    std::map<std::string, Notice> notices_;
    std::atomic<int> requests_ = 0;
    HttpServer server_;
};

/// A client connection. Requests wait 400 ms for their answer, as PROTOCOL says.
class Client {
public:
    explicit Client(int port) {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        const int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        connected_ = ::connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    }
    Client(const Client&) = delete;
    ~Client() { ::close(fd_); }
    bool connected() const { return connected_; }
    static std::string command(const std::vector<std::string>& words) {
        std::string bytes = "*" + std::to_string(words.size()) + "\r\n";
        for (const std::string& word : words)
            bytes += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
        return bytes;
    }
    bool send(const std::string& bytes) { return send_all(fd_, bytes); }
    /// One line without its end; empty if none comes in time or the connection has ended.
    std::string line(double within_ms = 400) {
        const double until = now_ms() + within_ms;
        std::string text;
        while (true) {
            pollfd entry{fd_, POLLIN, 0};
            if (::poll(&entry, 1, std::max(0, static_cast<int>(until - now_ms()))) != 1) return "";
            char byte = 0;
            if (::recv(fd_, &byte, 1, 0) != 1) return "";
            if (byte == '\n') return text.substr(0, text.size() - 1);
            text += byte;
        }
    }
    std::string ask(const std::vector<std::string>& words, double within_ms = 400) {
        return send(command(words)) ? line(within_ms) : "";
    }

private:
    int fd_ = -1;
    bool connected_ = false;
};

inline std::string message_id(std::uint64_t number) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number * 0x9e3779b97f4a7c15u));
    return text;
}

/// The forwarder. `run` of the deploy file starts it from the root of the repository. It is killed if the thread
/// that started it ends, so only the main thread may start it.
class Node {
public:
    Node(const std::filesystem::path& root, Json config)
        : root_(root), config_(std::move(config)), port_(free_port()), management_port_(free_port()) {
        std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr) throw CannotRun("no temporary folder");
        folder_ = name;
        std::filesystem::create_directories(folder_ / "state");
        config_["listen"] = address_of(port_);
        std::ifstream deploy(root_ / "deploy/balancer.toml");
        for (std::string line; std::getline(deploy, line);)
            if (line.starts_with("run = \""))
                run_ = line.substr(7, line.rfind('"') - 7);
        if (run_.empty()) throw CannotRun("no run in deploy/balancer.toml");
    }
    ~Node() {
        for (const pid_t pid : {pid_, former_pid_})
            if (pid > 0) ::kill(pid, SIGKILL), ::waitpid(pid, nullptr, 0);
        if (listener_ >= 0) ::close(listener_);
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
    Json& config() { return config_; }
    int port() const { return port_; }
    int management_port() const { return management_port_; }
    pid_t pid() const { return pid_; }
    pid_t former_pid() const { return former_pid_; }
    std::filesystem::path log_path() const { return folder_ / "log"; }

    void write_config() {
        std::ofstream(folder_ / "config.new") << config_.dump();
        std::filesystem::rename(folder_ / "config.new", folder_ / "config.json");
    }
    /// The platform holds the clients' listening socket from now on (LATER, "Replacing the process").
    void hold_listener() { listener_ = listen_on_free_port(port_); }
    void start() {
        write_config();
        note("the forwarder is started");
        pid_ = spawn();
        wait_ready();
    }
    /// Starts `run` a second time beside the running process.
    void begin_replacement() {
        former_pid_ = pid_;
        management_port_ = free_port();
        note("run is started a second time");
        pid_ = spawn();
    }
    void signal(int number) {
        note("%s to the forwarder", number == SIGKILL ? "SIGKILL" : number == SIGTERM ? "SIGTERM" : "a signal");
        ::kill(pid_, number);
    }
    void signal_former(int number) {
        note("%s to the former process", number == SIGKILL ? "SIGKILL" : "SIGTERM");
        ::kill(former_pid_, number);
    }
    void reap() { ::waitpid(std::exchange(pid_, 0), nullptr, 0); }
    void reap_former() { ::waitpid(std::exchange(former_pid_, 0), nullptr, 0); }
    /// The newer process has ended, and the one before it goes on.
    void return_to_former() {
        ::waitpid(pid_, nullptr, 0);
        pid_ = std::exchange(former_pid_, 0);
    }
    bool running() {
        return pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == 0;
    }
    void wait_ready() {
        const double until = now_ms() + 10'000;
        while (operate("GET", "/ready") != 200) {
            if (now_ms() > until) throw CannotRun("the forwarder is not ready");
            sleep_ms(5);
        }
        note("the forwarder is ready");
    }
    int operate(const std::string& method, const std::string& path) {
        Client client(management_port_);
        if (!client.connected()) return 0;
        client.send(method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
        const std::string line = client.line(1000);
        return line.size() > 12 ? std::atoi(line.c_str() + 9) : 0;
    }

private:
    static constexpr int kListenerDescriptor = 4;
    pid_t spawn() {
        const std::string config = (folder_ / "config.json").string(), state = (folder_ / "state").string(),
                          log = (folder_ / "log").string(), management = address_of(management_port_),
                          listen = address_of(port_), discovery = config_.at("discovery");
        const pid_t pid = ::fork();
        if (pid != 0) return pid;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::chdir(root_.c_str()) != 0) ::_exit(126);
        ::setenv("NODE_CONFIG", config.c_str(), 1);
        ::setenv("NODE_STATE", state.c_str(), 1);
        ::setenv("NODE_MANAGEMENT", management.c_str(), 1);
        ::setenv("NODE_NAME", "n0", 1);
        ::setenv("NODE_LISTEN", listen.c_str(), 1);
        ::setenv("NODE_DISCOVERY", discovery.c_str(), 1);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1), ::dup2(out, 2);
        if (listener_ >= 0) {
            ::dup2(listener_, kListenerDescriptor);
            ::setenv("NODE_FD", std::to_string(kListenerDescriptor).c_str(), 1);
        }
        ::close_range(3, kListenerDescriptor - 1, 0);
        ::close_range(listener_ >= 0 ? kListenerDescriptor + 1 : kListenerDescriptor, ~0u, 0);
        ::execl("/bin/sh", "/bin/sh", "-c", run_.c_str(), static_cast<char*>(nullptr));
        ::_exit(127);
    }

    std::filesystem::path root_, folder_;
    Json config_;
    std::string run_;
    int port_, management_port_, listener_ = -1;
    pid_t pid_ = 0, former_pid_ = 0;
};

/// Settings of a small deployment, with one class of each effect; a case changes what it needs.
inline Json small_config(const std::string& discovery) {
    const auto message_class = [](const char* name, const char* effect, double limit_ms) {
        return Json{{"name", name}, {"effect", effect}, {"dedup_scope", "all"}, {"aim_ms", 2000.0},
            {"hard_limit_ms", limit_ms}, {"window_ms", 15000.0}, {"worth", 1.0}, {"late_worth", 0.5},
            {"streamed", false}};
    };
    return Json{{"name", "n0"}, {"discovery", discovery}, {"seed", "8c1f30d27a5be964"},
        {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", 384}, {"disk_mb", 3}}},
        {"settings",
            {{"az", "a"}, {"classes", {message_class("save-sync", "retryable", 16000.0),
                                          message_class("item-grant", "dedup", 28000.0),
                                          message_class("purchase", "fragile", 28000.0)}},
                {"clients", {{"marks_retry", true}}},
                {"contract",
                    {{"answer_slack_ms", 20.0}, {"cold_from", 0.14}, {"drain_grace_ms", 2000.0},
                        {"fall_ms", 2000.0}, {"fall_multiple", 2.5}, {"must_ask_in_ms", 10000.0},
                        {"warm_within_ms", 11000.0}}},
                {"discovery", "automatic"},
                {"family_info", {{"per_call", {1}}, {"loses_worth", "halving"}, {"routes_apart", {true}},
                                    {"slots", 8}}},
                {"kinds", {"shop"}},
                {"limits", {{"cancel", true}, {"conn_idle_ms", 10000.0}, {"connect_timeout_ms", 1500.0},
                               {"max_attempts", 12}, {"max_retry_after_ms", 3000.0}, {"most_held", 112},
                               {"peers", false}, {"probing", false}, {"retry_after", true},
                               {"second_copies", false}, {"streams_per_conn", 1}}},
                {"localities", {"a"}}, {"me", 0}, {"n_instances", 1}, {"over_share_worth", 0.2},
                {"report", {{"columns", Json::array()}, {"source", "off"}}},
                {"tenants", {{{"name", "acme"}, {"portion", 1.0}, {"quota_per_s", 100.0}}}},
                {"weights", "rough"}, {"workload", "deliver"}, {"worth_by", "request"}}}};
}

/// Plays the case: 1 if a rule was broken, 0 if all held, 2 if it could not run.
inline int play(const std::function<bool()>& holds) {
    ::signal(SIGPIPE, SIG_IGN);
    try {
        const bool held = holds();
        note(held ? "HELD" : "BROKEN");
        return held ? 0 : 1;
    } catch (const std::exception& error) {
        note("cannot run: %s", error.what());
        return 2;
    }
}

}  // namespace review
