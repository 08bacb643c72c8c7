/// Helpers that the forwarder tests share: a configuration, a temporary folder, stub servers, a client and
/// the built program as a child process.
///
/// Every wait is for an event and has a timeout far above what a loaded machine needs.
#pragma once

#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "net/config.hpp"

namespace lockgw {

namespace http = boost::beast::http;
using namespace std::chrono_literals;

constexpr auto kDeadline = 20s;

class TemporaryFolder {
public:
    TemporaryFolder() {
        std::string name = (std::filesystem::temp_directory_path() / "lockgw-XXXXXX").string();
        if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("no temporary folder");
        path_ = name;
    }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    ~TemporaryFolder() {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    const std::filesystem::path& path() const { return path_; }

private:
    std::filesystem::path path_;
};

inline Json make_config(const std::string& listen, const std::string& discovery) {
    const auto class_config = [](const char* name, const char* effect) {
        return Json{{"name", name}, {"effect", effect}, {"aim_ms", 4000}, {"hard_limit_ms", 60000},
            {"window_ms", 4000}, {"worth", 1}};
    };
    return Json{{"name", "n0"}, {"listen", listen}, {"discovery", discovery}, {"seed", "8c1f30d27a5be964"},
        {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 256}, {"disk_mb", 3}}},
        {"settings", {{"classes", {class_config("safe", "retryable"), class_config("keyed", "dedup"),
                                      class_config("unsafe", "fragile")}},
                         {"tenants", {{{"name", "acme"}}}}, {"kinds", {"shop"}}, {"localities", {"a"}},
                         {"family_info", {{"slots", 8}}}, {"n_instances", 1},
                         {"limits", {{"most_held", 40}, {"max_attempts", 12}, {"cancel", true},
                                        {"conn_idle_ms", 10000}, {"connect_timeout_ms", 1000}}},
                         {"contract", {{"fall_ms", 2000}, {"warm_within_ms", 11000}, {"fall_multiple", 2.5},
                                          {"cold_from", 0.16}}},
                         {"report", {{"source", "inline"}, {"columns", {"x0", "x1"}}}}}}};
}

/// One request that a stub received and that the test has not yet responded to.
struct Exchange {
    http::request<http::string_body> request;
    std::function<void(const std::string&)> write;  ///< sends raw bytes of a response
    std::function<void()> close_connection;

    std::string header(const char* name) const {
        const auto value = request[name];
        return {value.data(), value.size()};
    }
    void respond(int status, const std::string& headers = "") const {
        write("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: 0\r\n" + headers + "\r\n");
    }
};

/// An HTTP server on 127.0.0.1 that keeps connections open. Each request waits for the test.
class HttpStub {
public:
    HttpStub() : acceptor_(io_, {asio::ip::address_v4::loopback(), 0}) {
        acceptor_.non_blocking(true);
        thread_ = std::thread([this] { serve(); });
    }
    ~HttpStub() {
        stopping_ = true;
        thread_.join();
    }
    std::string address() const { return text_of(acceptor_.local_endpoint()); }
    int connections() const { return connections_; }

    /// Returns the next request. Throws, which fails the test, if none arrives in time.
    Exchange next(std::chrono::milliseconds within = kDeadline) {
        std::unique_lock lock(mutex_);
        if (!request_received_.wait_for(lock, within, [this] { return !requests_.empty(); }))
            throw std::runtime_error("no request came");
        Exchange exchange = std::move(requests_.front());
        requests_.pop_front();
        return exchange;
    }
    /// Returns after all queued writes were made and their bytes have reached the peer.
    void settle() {
        std::promise<void> written;
        asio::post(io_, [&written] { written.set_value(); });
        written.get_future().wait();  // on loopback a write puts its bytes into the peer's socket
    }
    bool none_within(std::chrono::milliseconds duration) {
        std::unique_lock lock(mutex_);
        return !request_received_.wait_for(lock, duration, [this] { return !requests_.empty(); });
    }

private:
    struct Connection {
        explicit Connection(Tcp::socket accepted) : socket(std::move(accepted)) {}
        Tcp::socket socket;
        boost::beast::flat_buffer buffer;
        std::optional<http::request_parser<http::string_body>> parser;
    };

    void serve() {
        accept();
        while (!stopping_) io_.run_for(20ms);
    }
    void accept() {
        acceptor_.async_accept([this](auto error, Tcp::socket socket) {
            if (error) return;
            ++connections_;
            read(std::make_shared<Connection>(std::move(socket)));
            accept();
        });
    }
    void read(const std::shared_ptr<Connection>& connection) {
        connection->parser.emplace();
        http::async_read(connection->socket, connection->buffer, *connection->parser,
            [this, connection](auto error, std::size_t) {
                if (error) return;
                const std::lock_guard lock(mutex_);
                requests_.push_back(make_exchange(connection));
                request_received_.notify_all();
            });
    }
    Exchange make_exchange(const std::shared_ptr<Connection>& connection) {
        const auto read_started = std::make_shared<bool>(false);  // a response may be written in pieces
        return {connection->parser->get(),
            [this, connection, read_started](const std::string& bytes) {
                asio::post(io_, [this, connection, read_started, bytes] {
                    boost::system::error_code error;
                    asio::write(connection->socket, asio::buffer(bytes), error);
                    if (!error && !std::exchange(*read_started, true)) read(connection);
                });
            },
            [this, connection] {
                asio::post(io_, [connection] {
                    boost::system::error_code ignored;
                    connection->socket.close(ignored);
                });
            }};
    }

    asio::io_context io_;
    Tcp::acceptor acceptor_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> connections_ = 0;
    std::mutex mutex_;
    std::condition_variable request_received_;
    std::deque<Exchange> requests_;
    std::thread thread_;
};

/// Accepts no connections: its queue is full, so that a connect stays pending.
class FullListener {
public:
    FullListener() : acceptor_(io_) {
        acceptor_.open(Tcp::v4());
        acceptor_.bind({asio::ip::address_v4::loopback(), 0});
        acceptor_.listen(0);
        for (auto& socket : waiting_) {
            socket.open(Tcp::v4());
            socket.native_non_blocking(true);  // asio's connect would block
            const auto address = acceptor_.local_endpoint();
            ::connect(socket.native_handle(), address.data(), static_cast<socklen_t>(address.size()));
        }
    }
    Tcp::endpoint address() const { return acceptor_.local_endpoint(); }

private:
    asio::io_context io_;
    Tcp::acceptor acceptor_;
    std::array<Tcp::socket, 4> waiting_{
        Tcp::socket(io_), Tcp::socket(io_), Tcp::socket(io_), Tcp::socket(io_)};
};

/// A client connection that speaks RESP2.
class Client {
public:
    explicit Client(const Tcp::endpoint& address) : socket_(io_) { socket_.connect(address); }

    void send(const std::string& bytes) { asio::write(socket_, asio::buffer(bytes)); }
    /// Reads one line and returns it without its line ending; empty if the connection has ended.
    std::string line() {
        std::string text;
        for (char byte = 0; wait_readable() && socket_.read_some(asio::buffer(&byte, 1), error_) == 1;) {
            if (byte == '\n') return text.substr(0, text.size() - 1);
            text += byte;
        }
        return text;
    }
    bool ended() { return line().empty() && error_.failed(); }
    /// Whether the connection, which has ended, was reset instead of closed in an orderly way.
    bool reset() const { return error_ != asio::error::eof; }
    std::string ask(const std::vector<std::string>& words) {
        std::string bytes = "*" + std::to_string(words.size()) + "\r\n";
        for (const std::string& word : words)
            bytes += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
        send(bytes);
        return line();
    }

private:
    bool wait_readable() {
        pollfd entry{socket_.native_handle(), POLLIN, 0};
        return poll(&entry, 1, static_cast<int>(std::chrono::milliseconds(kDeadline).count())) == 1;
    }

    asio::io_context io_;
    Tcp::socket socket_;
    boost::system::error_code error_;
};

/// Sends an operator request and returns the HTTP status, or 0 if the connection ends without one.
inline int operate(const Tcp::endpoint& management, const std::string& method, const std::string& path) try {
    Client client(management);
    client.send(method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    const std::string line = client.line();
    return line.size() > 12 ? std::stoi(line.substr(9, 3)) : 0;
} catch (const boost::system::system_error&) {
    return 0;
}

/// Waits until the process with this management address accepts clients. Returns false after the timeout.
inline bool wait_until_ready(const Tcp::endpoint& management) {
    const auto give_up_at = std::chrono::steady_clock::now() + kDeadline;
    while (operate(management, "GET", "/ready") != 200) {
        if (std::chrono::steady_clock::now() > give_up_at) return false;
        std::this_thread::sleep_for(5ms);
    }
    return true;
}

/// The built program as a child process, with its own folder and an address that stays the same across
/// restarts.
class Node {
public:
    explicit Node(Json config) : config_(std::move(config)) {
        address_ = other_address();
        config_["listen"] = text_of(address_);
    }
    /// Returns a free address on a loopback host that no other call uses, so that the port is still free when
    /// the program binds it.
    static Tcp::endpoint other_address() {
        static std::atomic<std::uint32_t> calls = 0;
        asio::io_context io;
        const auto process = static_cast<std::uint32_t>(getpid());
        const std::uint32_t host = 1u + calls++ % 250u;
        const asio::ip::address_v4 address(0x7f400000u | ((process & 0x3fffu) << 8) | host);
        return Tcp::acceptor(io, {address, 0}).local_endpoint();
    }
    ~Node() {
        for (const pid_t pid : {pid_, previous_pid_})
            if (pid > 0) ::kill(pid, SIGKILL), waitpid(pid, nullptr, 0);
    }

    /// Opens the listening socket for clients in the test process. Every process started later inherits it.
    void open_inherited_listener() {
        const auto give_up_at = std::chrono::steady_clock::now() + kDeadline;
        while (!listener_) try {
                listener_.emplace(listener_io_, address_);
            } catch (const boost::system::system_error&) {
                // a child that another test thread forked keeps inherited descriptors open until its exec
                if (std::chrono::steady_clock::now() > give_up_at) throw;
                std::this_thread::sleep_for(5ms);
            }
        address_ = listener_->local_endpoint();
        config_["listen"] = text_of(address_);
    }
    void start() {
        write_config(config_.dump());
        std::filesystem::create_directories(state());
        pid_ = spawn("");
    }
    /// Starts a second process while the first one runs on as the previous process.
    void start_successor(const Tcp::endpoint& management) {
        previous_pid_ = pid_;
        pid_ = spawn(text_of(management));
    }
    pid_t previous_pid() const { return previous_pid_; }
    int wait_for_previous() {
        int status = 0;
        waitpid(std::exchange(previous_pid_, 0), &status, 0);
        return status;
    }
    /// Makes the previous process the current one again, after the newer one has ended.
    void return_to_previous() { pid_ = std::exchange(previous_pid_, 0); }

private:
    pid_t spawn(const std::string& management) const {
        const std::string path = config_path().string();
        const pid_t pid = fork();
        if (pid == 0) {
            setenv("NODE_CONFIG", path.c_str(), 1);
            setenv("NODE_STATE", state().c_str(), 1);
            if (!management.empty()) setenv("NODE_MANAGEMENT", management.c_str(), 1);
            for (const auto& [name, value] : environment_) setenv(name.c_str(), value.c_str(), 1);
            if (listener_) {
                dup2(const_cast<Tcp::acceptor&>(*listener_).native_handle(), kInheritedDescriptor);
                setenv("NODE_FD", std::to_string(kInheritedDescriptor).c_str(), 1);
            }
            const int log_descriptor = ::open(log_path().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(log_descriptor, 1), dup2(log_descriptor, 2);
            // the program must not inherit descriptors that other test threads have open
            close_range(3, kInheritedDescriptor - 1, 0),
                close_range(listener_ ? kInheritedDescriptor + 1 : kInheritedDescriptor, ~0u, 0);
            execl(NODE_PATH, NODE_PATH, static_cast<char*>(nullptr));
            _exit(127);
        }
        return pid;
    }

public:
    void start_ready() {
        start();
        const auto give_up_at = std::chrono::steady_clock::now() + kDeadline;
        while (std::chrono::steady_clock::now() < give_up_at) try {
                if (Client(address_).ask({"PING"}) == "+PONG") return;
            } catch (const boost::system::system_error&) {
                std::this_thread::sleep_for(10ms);
            }
        FAIL() << "not ready: " << log();
    }
    void kill() { ::kill(pid_, SIGKILL); }
    void terminate() { ::kill(pid_, SIGTERM); }
    /// Replaces the configuration file and sends SIGHUP to the program.
    void reload(const std::string& text) {
        write_config(text);
        ::kill(pid_, SIGHUP);
    }
    /// Waits for the process to end and returns its status as waitpid reports it.
    int wait() {
        int status = 0;
        waitpid(std::exchange(pid_, 0), &status, 0);
        return status;
    }
    pid_t pid() const { return pid_; }
    /// Forgets a process that has ended and that other code has already waited for.
    void forget_ended() { pid_ = 0; }
    const Tcp::endpoint& address() const { return address_; }
    Client client() const { return Client(address_); }
    bool refuses() const {
        try {
            Client{address_};
            return false;
        } catch (const boost::system::system_error&) {
            return true;
        }
    }
    std::filesystem::path state() const { return folder_.path() / "state"; }
    std::filesystem::path log_path() const { return folder_.path() / "log"; }
    std::string log() const {
        std::ifstream stream(log_path());
        return {std::istreambuf_iterator<char>(stream), {}};
    }
    bool logs(const std::string& text) const {
        const auto give_up_at = std::chrono::steady_clock::now() + kDeadline;
        while (log().find(text) == std::string::npos) {
            if (std::chrono::steady_clock::now() > give_up_at) return false;
            std::this_thread::sleep_for(10ms);
        }
        return true;
    }
    Json& config() { return config_; }
    /// Adds an environment variable to each process that is started later.
    void set_environment(const std::string& name, const std::string& value) { environment_[name] = value; }

    void write_config(const std::string& text) const {
        const auto new_path = folder_.path() / "config.new";
        std::ofstream(new_path) << text;
        std::filesystem::rename(new_path, config_path());
    }

private:
    std::filesystem::path config_path() const { return folder_.path() / "config.json"; }
    static constexpr int kInheritedDescriptor = 40;

    TemporaryFolder folder_;
    Json config_;
    std::map<std::string, std::string> environment_;
    Tcp::endpoint address_;
    asio::io_context listener_io_;
    std::optional<Tcp::acceptor> listener_;
    pid_t pid_ = 0, previous_pid_ = 0;
};

}  // namespace lockgw
