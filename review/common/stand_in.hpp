/// Stand-ins for clients, endpoints, the discovery agent and the platform, on loopback addresses and the real
/// clock. A case starts the program with the command of the deploy file and records what each party sees.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
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
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();
inline double now_ms() { return std::chrono::duration<double, std::milli>(Clock::now() - kStart).count(); }
inline void sleep_ms(double ms) {
    if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void sleep_until_ms(double at) { sleep_ms(at - now_ms()); }
template <class Condition>
bool wait_for(double within_ms, Condition condition) {
    const double until = now_ms() + within_ms;
    while (!condition()) {
        if (now_ms() > until) return false;
        sleep_ms(2);
    }
    return true;
}

/// record.txt: one line for each event, with the time in milliseconds since the start of the case.
class Record {
public:
    void open(const std::string& path) { file_.open(path, std::ios::trunc); }
    void line(const std::string& text) {
        char time[32];
        std::snprintf(time, sizeof time, "%9.1f  ", now_ms());
        const std::lock_guard lock(mutex_);
        file_ << time << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};
inline Record record;

/// Ends every process that the case started; set by the platform.
inline std::function<void()> end_processes = [] {};

/// Ends the case with this status. The stand-ins' threads run until then, so nothing that they use is
/// destroyed before.
[[noreturn]] inline void finish(int status, const std::string& text) {
    static std::mutex once;
    once.lock();
    end_processes();
    record.line(text);
    std::cout << text << std::endl;
    _exit(status);
}
[[noreturn]] inline void cannot_run(const std::string& why) { finish(2, "the case could not run: " + why); }
/// Ends the case with the verdict.
[[noreturn]] inline void judge(bool rule_held) {
    finish(rule_held ? 0 : 1, rule_held ? "RULE HELD" : "RULE BROKEN");
}

inline int checked(int result, const char* what) {
    if (result < 0) cannot_run(std::string(what) + ": " + std::strerror(errno));
    return result;
}

struct Listener {
    int fd = -1;
    std::string address;
    explicit Listener(const std::string& host = "127.0.0.1") {
        fd = checked(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), "socket");
        sockaddr_in at{};
        at.sin_family = AF_INET;
        inet_pton(AF_INET, host.c_str(), &at.sin_addr);
        checked(::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at), "bind");
        checked(::listen(fd, 512), "listen");
        socklen_t length = sizeof at;
        getsockname(fd, reinterpret_cast<sockaddr*>(&at), &length);
        address = host + ":" + std::to_string(ntohs(at.sin_port));
    }
};
/// An address that is free now, on a host of 127/8 that other parties of this case do not use.
inline std::string free_address() {
    static std::atomic<unsigned> calls{0};
    const unsigned host = ++calls;
    const unsigned process = static_cast<unsigned>(getpid());
    Listener listener("127." + std::to_string(16 + process % 97) + "." + std::to_string(process / 97 % 250) +
                      "." + std::to_string(host));
    ::close(listener.fd);
    return listener.address;
}
inline int connect_to(const std::string& address) {
    const auto colon = address.rfind(':');
    sockaddr_in at{};
    at.sin_family = AF_INET;
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &at.sin_addr);
    at.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) return -1;
    if (::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}
inline bool write_bytes(int fd, const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t count = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (count <= 0 && errno != EINTR) return false;
        if (count > 0) done += static_cast<std::size_t>(count);
    }
    return true;
}

// ---- HTTP ----

struct Request {
    std::string method, path, body;
    std::map<std::string, std::string> headers;  // names in lower case
    std::string header(const std::string& name) const {
        const auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
};

/// One accepted connection of a server.
class Connection {
public:
    explicit Connection(int fd) : fd_(fd) {}
    ~Connection() { ::close(fd_); }
    /// Reads one request. Returns false at the end of the connection.
    bool read(Request& request) {
        std::size_t head = std::string::npos;
        while ((head = buffer_.find("\r\n\r\n")) == std::string::npos)
            if (!fill()) return false;
        std::istringstream lines(buffer_.substr(0, head));
        std::string line;
        request = {};
        lines >> request.method >> request.path;
        std::getline(lines, line);
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r') line.pop_back();
            const auto colon = line.find(':');
            if (colon == std::string::npos) continue;
            std::string name = line.substr(0, colon), value = line.substr(colon + 1);
            for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            while (!value.empty() && value.front() == ' ') value.erase(0, 1);
            request.headers[name] = value;
        }
        buffer_.erase(0, head + 4);
        const std::string length = request.header("content-length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (buffer_.size() < size)
            if (!fill()) return false;
        request.body = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return true;
    }
    bool answer(int status, const std::string& headers = "", const std::string& body = "") {
        return write_bytes(fd_, "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " +
                                    std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body);
    }
    /// Waits until the peer has closed the connection or its sending, or reset it. Returns false if it is
    /// still open at `until`.
    bool ended_before(double until) {
        while (true) {
            const double left = until - now_ms();
            if (left <= 0) return false;
            pollfd entry{fd_, POLLIN, 0};
            const int ready = ::poll(&entry, 1, static_cast<int>(std::min(left, 100.0)) + 1);
            if (ready <= 0) continue;
            char byte;
            const ssize_t count = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR)) return true;
            sleep_ms(5);
        }
    }
    void reset() {
        const linger now{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }

private:
    bool fill() {
        char bytes[16384];
        ssize_t count;
        do count = ::recv(fd_, bytes, sizeof bytes, 0);
        while (count < 0 && errno == EINTR);
        if (count <= 0) return false;
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    int fd_;
    std::string buffer_;
};

/// Serves each connection in a thread of its own. The handler returns false to end the connection. Threads
/// run until the process ends.
class Server {
public:
    using Handler = std::function<bool(Connection&, const Request&)>;
    explicit Server(Handler handler, const std::string& host = "127.0.0.1")
        : listener_(host), handler_(std::make_shared<Handler>(std::move(handler))) {
        std::thread([fd = listener_.fd, handler = handler_] {
            while (true) {
                const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    sleep_ms(5);
                    continue;
                }
                const int on = 1;
                setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread([accepted, handler] {
                    Connection connection(accepted);
                    Request request;
                    while (connection.read(request))
                        if (!(*handler)(connection, request)) return;
                }).detach();
            }
        }).detach();
    }
    const std::string& address() const { return listener_.address; }

private:
    Listener listener_;
    std::shared_ptr<Handler> handler_;
};

inline std::string from_base64(const std::string& text) {
    static const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string bytes;
    unsigned block = 0;
    int bits = 0;
    for (const char c : text) {
        const auto value = digits.find(c);
        if (value == std::string::npos) break;
        block = block << 6 | static_cast<unsigned>(value);
        if ((bits += 6) >= 8) bytes += static_cast<char>(block >> (bits -= 8) & 255);
    }
    return bytes;
}

/// A message as a call carries it.
struct Delivered {
    std::string id, key, body;
};
inline std::vector<Delivered> messages_of(const Request& request) {
    if (request.path == "/v1/messages")
        return {{request.header("x-call-id"), request.header("idempotency-key"), request.body}};
    std::vector<Delivered> all;
    for (const Json& entry : Json::parse(request.body))
        all.push_back({entry.at("id").get<std::string>(), entry.value("key", ""),
            from_base64(entry.at("body").get<std::string>())});
    return all;
}
/// Answers a call of one or several messages as delivered.
inline bool answer_delivered(Connection& connection, const Request& request) {
    if (request.path == "/v1/messages") return connection.answer(200);
    Json states = Json::array();
    for (const Delivered& message : messages_of(request))
        states.push_back({{"id", message.id}, {"state", "ok"}});
    return connection.answer(200, "Content-Type: application/json\r\n", states.dump());
}
inline std::string ids_of(const Request& request) {
    std::string text;
    for (const Delivered& message : messages_of(request)) text += (text.empty() ? "" : " ") + message.id;
    return text;
}

/// The discovery agent of PROTOCOL: the whole list, watches that tell changes, and notices.
class Agent {
public:
    Agent() : server_([this](Connection& c, const Request& r) { return handle(c, r); }) {}
    const std::string& address() const { return server_.address(); }
    /// Adds or replaces an entry; the phase "terminated" removes it.
    void publish(const std::vector<Json>& entries) {
        const std::lock_guard lock(mutex_);
        ++revision_;
        for (const Json& entry : entries) {
            const auto id = entry.at("id").get<std::string>();
            changed_[id] = {revision_, entry};
            record.line("discovery: revision " + std::to_string(revision_) + ": " + id + " " +
                        entry.at("phase").get<std::string>() + " in " +
                        entry.at("locality").get<std::string>());
        }
    }
    int revision() const {
        const std::lock_guard lock(mutex_);
        return revision_;
    }
    /// The highest revision that was written to a forwarder.
    int told() const { return told_; }
    std::vector<std::string> notices(const std::string& id) const {
        const std::lock_guard lock(mutex_);
        const auto found = notices_.find(id);
        return found == notices_.end() ? std::vector<std::string>() : found->second;
    }

private:
    bool handle(Connection& connection, const Request& request) {
        if (request.path == "/reports") {
            std::istringstream lines(request.body);
            for (std::string line; std::getline(lines, line);) {
                const Json notice = Json::parse(line);
                record.line("notice: " + line);
                const std::lock_guard lock(mutex_);
                notices_[notice.at("ref").get<std::string>()].push_back(
                    notice.at("result").get<std::string>());
            }
            return connection.answer(204);
        }
        const auto from = request.path.find("from=");
        if (from == std::string::npos) return answer_list(connection, -1);
        const int known = std::stoi(request.path.substr(from + 5));
        const auto hold = request.path.find("hold_ms=");
        const double until =
            now_ms() + (hold == std::string::npos ? 0.0 : std::stod(request.path.substr(hold + 8)));
        while (revision() <= known && now_ms() < until) sleep_ms(5);
        return answer_list(connection, known);
    }
    bool answer_list(Connection& connection, int known) {
        Json list{{"complete", known < 0}, {"members", Json::array()}};
        int revision = 0;
        {
            const std::lock_guard lock(mutex_);
            list["revision"] = revision = revision_;
            for (const auto& [id, change] : changed_) {
                if (known >= 0 && change.first <= known) continue;
                if (known < 0 && change.second.at("phase") == "terminated") continue;
                list["members"].push_back(change.second);
            }
        }
        if (!connection.answer(200, "", list.dump())) return false;
        told_ = std::max<int>(told_, revision);
        return true;
    }

    mutable std::mutex mutex_;
    int revision_ = 0;
    std::map<std::string, std::pair<int, Json>> changed_;
    std::map<std::string, std::vector<std::string>> notices_;
    std::atomic<int> told_{0};
    Server server_;
};
inline Json member(const std::string& id, const std::string& address, const std::string& zone,
    const std::string& kind, int cell, const std::string& phase = "in_service", double size = 20.0) {
    return {{"id", id}, {"host_port", address}, {"locality", zone}, {"flavor", kind}, {"cell", cell},
        {"phase", phase}, {"size", size}, {"up_since_ms", 0}};
}

// ---- clients and operators ----

inline std::string command(const std::vector<std::string>& words) {
    std::string bytes = "*" + std::to_string(words.size()) + "\r\n";
    for (const std::string& word : words) bytes += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
    return bytes;
}
/// Reads one line; empty if none comes in time or the connection ends.
inline std::string read_line(int fd, double within_ms) {
    std::string line;
    const double until = now_ms() + within_ms;
    while (now_ms() < until) {
        pollfd entry{fd, POLLIN, 0};
        if (::poll(&entry, 1, static_cast<int>(until - now_ms()) + 1) <= 0) continue;
        char c;
        if (::recv(fd, &c, 1, 0) != 1) return "";
        if (c == '\n') return line.substr(0, line.size() - 1);
        line += c;
    }
    return "";
}
inline std::string ask(
    const std::string& address, const std::vector<std::string>& words, double wait_ms = 400) {
    const int fd = connect_to(address);
    if (fd < 0) return "";
    const std::string line = write_bytes(fd, command(words)) ? read_line(fd, wait_ms) : "";
    ::close(fd);
    return line;
}
/// Hands in a message on a connection of its own and returns the answer.
inline std::string hand_in(const std::string& address, const std::string& order_key, const std::string& id,
    const std::string& fields, const std::string& body) {
    const std::string answer = ask(address, {"ENQUEUE", order_key, id, fields, body});
    record.line("client: handed in " + id + " key " + order_key + " " + fields + " -> " +
                (answer.empty() ? "no answer" : answer));
    return answer;
}
/// Returns the status of an operators' call, or 0 if there was no answer.
inline int operate(const std::string& address, const std::string& method, const std::string& path) {
    const int fd = connect_to(address);
    if (fd < 0) return 0;
    std::string line;
    if (write_bytes(fd, method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"))
        line = read_line(fd, 1000);
    ::close(fd);
    return line.size() > 11 ? std::atoi(line.substr(9, 3).c_str()) : 0;
}

// ---- the platform ----

/// Starts the program with the command of the deploy file, and replaces, ends or kills it.
class Platform {
public:
    explicit Platform(const Agent& agent) : client_listener_("127.0.0.1") {
        std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (mkdtemp(name.data()) == nullptr) cannot_run("no temporary folder");
        folder_ = name;
        std::filesystem::create_directories(folder_ + "/state");
        std::filesystem::create_directories(folder_ + "/tmp");
        config = {{"name", "n0"}, {"listen", client_listener_.address}, {"discovery", agent.address()},
            {"seed", "8c1f30d27a5be964"},
            {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}, {"disk_mb", 3}}}};
        std::ifstream deploy("deploy/balancer.toml");
        for (std::string line; std::getline(deploy, line);)
            if (line.rfind("run = \"", 0) == 0) run_ = line.substr(7, line.find('"', 7) - 7);
        if (run_.empty()) cannot_run("deploy/balancer.toml names no run");
        end_processes = [this] { end_all(); };
    }
    Platform(const Platform&) = delete;
    ~Platform() {
        end_processes = [] {};
        end_all();
    }
    void end_all() {
        for (const pid_t pid : std::exchange(processes_, {})) {
            ::kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
            record.line("platform: process " + std::to_string(pid) + " is ended with the case");
        }
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
    const std::string& address() const { return client_listener_.address; }
    void write_config() {
        std::ofstream(folder_ + "/config.new") << config.dump(1);
        std::filesystem::rename(folder_ + "/config.new", folder_ + "/config.json");
    }
    /// The address for operators of the process that was started last.
    const std::string& management() const { return management_; }
    pid_t start() {
        write_config();
        management_ = free_address();
        const pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);  // nothing outlives the case, however it ends
            dup2(client_listener_.fd, 4);
            const std::string log = folder_ + "/log";
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(out, 1), dup2(out, 2);
            ::close(0), ::open("/dev/null", O_RDONLY);
            close_range(3, 3, 0), close_range(5, ~0u, 0);
            setenv("NODE_NAME", "n0", 1);
            setenv("NODE_LISTEN", client_listener_.address.c_str(), 1);
            setenv("NODE_DISCOVERY", config.at("discovery").get<std::string>().c_str(), 1);
            setenv("NODE_STATE", (folder_ + "/state").c_str(), 1);
            setenv("NODE_CONFIG", (folder_ + "/config.json").c_str(), 1);
            setenv("NODE_MANAGEMENT", management_.c_str(), 1);
            setenv("NODE_FD", "4", 1);
            setenv("TMPDIR", (folder_ + "/tmp").c_str(), 1);
            execl("/bin/sh", "sh", "-c", run_.c_str(), static_cast<char*>(nullptr));
            _exit(127);
        }
        if (pid < 0) cannot_run("fork");
        processes_.insert(pid);
        record.line("platform: started process " + std::to_string(pid));
        return pid;
    }
    void wait_ready(double within_ms = 20000) {
        if (!wait_for(within_ms, [&] { return operate(management_, "GET", "/ready") == 200; }))
            cannot_run("the program is not ready: " + log());
        record.line("platform: GET /ready says yes");
    }
    pid_t start_ready() {
        const pid_t pid = start();
        wait_ready();
        if (ask(address(), {"PING"}, 2000) != "+PONG") cannot_run("no +PONG");
        return pid;
    }
    void signal(pid_t pid, int number) {
        record.line("platform: signal " + std::to_string(number) + " to process " + std::to_string(pid));
        ::kill(pid, number);
    }
    /// Waits for the end of a process. Sends SIGKILL if it has not ended in time.
    int wait_end(pid_t pid, double within_ms) {
        int status = 0;
        if (!wait_for(within_ms, [&] { return waitpid(pid, &status, WNOHANG) == pid; })) {
            signal(pid, SIGKILL);
            waitpid(pid, &status, 0);
        }
        processes_.erase(pid);
        record.line("platform: process " + std::to_string(pid) + " has ended" +
                    (WIFEXITED(status) ? ", exit " + std::to_string(WEXITSTATUS(status))
                                       : ", signal " + std::to_string(WTERMSIG(status))));
        return status;
    }
    bool running(pid_t pid) { return waitpid(pid, nullptr, WNOHANG) == 0; }
    /// Replaces the process as LATER says: the second one beside the first, SIGTERM to the first when the
    /// second says yes, SIGKILL 3.7 s later.
    pid_t replace(pid_t old) {
        const pid_t fresh = start();
        wait_ready(6000);
        signal(old, SIGTERM);
        wait_end(old, 3700);
        return fresh;
    }
    std::string log() const {
        std::ifstream stream(folder_ + "/log");
        return {std::istreambuf_iterator<char>(stream), {}};
    }
    void record_log() const {
        std::istringstream lines(log());
        record.line("the program's log:");
        for (std::string line; std::getline(lines, line);) record.line("    " + line);
    }

    Json config;

private:
    Listener client_listener_;
    std::string folder_, run_, management_;
    std::set<pid_t> processes_;
};

/// Runs a case and ends the process with its status. The argument is the path of record.txt.
[[noreturn]] inline void run_case(int argc, char** argv, const std::function<void(bool trouble)>& run) {
    if (argc < 2) _exit(2);
    record.open(argv[1]);
    std::thread([] {
        sleep_ms(110000);
        cannot_run("it takes over 110 s");
    }).detach();
    const char* value = std::getenv("TROUBLE");
    const bool trouble = value == nullptr || std::string(value) != "0";
    record.line(std::string("case with") + (trouble ? "" : "out") + " the disruption");
    try {
        run(trouble);
    } catch (const std::exception& error) {
        cannot_run(error.what());
    }
    cannot_run("it came to no verdict");
}

}  // namespace review
