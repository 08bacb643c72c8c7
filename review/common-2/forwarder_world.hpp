/// The surroundings of one forwarder for a review case: processes, the discovery agent, endpoints and
/// clients.
///
/// Everything is on 127.0.0.1 and on the real clock. Each stand-in runs one thread per connection.
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

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace world {

using Clock = std::chrono::steady_clock;
using std::string;

/// The case could not run. It says nothing about the rule.
struct CannotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline const Clock::time_point kStart = Clock::now();
inline long now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - kStart).count();
}
inline void sleep_ms(long ms) {
    if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}
inline void sleep_until_ms(long at) { sleep_ms(at - now_ms()); }
template <class Condition>
bool wait_for(Condition condition, long ms) {
    for (const long end = now_ms() + ms; !condition(); sleep_ms(5))
        if (now_ms() >= end) return false;
    return true;
}

/// record.txt: what was sent, answered and run, with milliseconds since the start.
class Record {
public:
    void open(const string& path) { file_.open(path, std::ios::trunc); }
    void line(const string& text) {
        const std::lock_guard lock(mutex_);
        file_ << now_ms() << " ms  " << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};
inline Record& record() {
    static Record instance;
    return instance;
}
inline void note(const string& text) { record().line(text); }

// ---- sockets ----

inline sockaddr_in local_address(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}
/// Listens on a free port.
inline int listen_socket(int& port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = local_address(port);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    socklen_t length = sizeof address;
    if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), length) != 0 || ::listen(fd, 256) != 0 ||
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) != 0)
        throw CannotRun("no listening socket");
    port = ntohs(address.sin_port);
    return fd;
}
inline int free_port() {
    int port = 0;
    ::close(listen_socket(port));
    return port;
}
/// Returns -1 if the connection is refused.
inline int connect_to(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = local_address(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}
inline bool send_all(int fd, const string& bytes) {
    for (std::size_t at = 0; at < bytes.size();) {
        const ssize_t count = ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (count <= 0) return false;
        at += static_cast<std::size_t>(count);
    }
    return true;
}
/// Appends what arrives within the time. False at the end of the connection; `reset` tells whether by a
/// reset.
inline bool receive(int fd, string& into, long ms, bool* reset = nullptr) {
    pollfd entry{fd, POLLIN, 0};
    if (::poll(&entry, 1, static_cast<int>(ms)) <= 0) return true;
    char bytes[16384];
    const ssize_t count = ::recv(fd, bytes, sizeof bytes, 0);
    if (count <= 0) {
        if (reset) *reset = count < 0;
        return false;
    }
    into.append(bytes, static_cast<std::size_t>(count));
    return true;
}

// ---- HTTP ----

struct HttpMessage {
    string first_line, body;
    std::map<string, string> headers;  // names in lower case
};
/// Takes one whole message off the front of `bytes`.
inline std::optional<HttpMessage> take_http(string& bytes) {
    const auto end = bytes.find("\r\n\r\n");
    if (end == string::npos) return std::nullopt;
    HttpMessage message;
    std::istringstream lines(bytes.substr(0, end));
    string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') line.pop_back();
        if (message.first_line.empty()) {
            message.first_line = line;
            continue;
        }
        const auto colon = line.find(':');
        if (colon == string::npos) continue;
        string name = line.substr(0, colon);
        for (char& c : name) c = static_cast<char>(std::tolower(c));
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.headers[name] = value == string::npos ? "" : line.substr(value);
    }
    const auto found = message.headers.find("content-length");
    const std::size_t length = found == message.headers.end() ? 0 : std::stoul(found->second);
    if (bytes.size() < end + 4 + length) return std::nullopt;
    message.body = bytes.substr(end + 4, length);
    bytes.erase(0, end + 4 + length);
    return message;
}
inline string http_answer(const string& status, const string& body = "", const string& headers = "") {
    return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// Accepts connections and runs `serve(fd)` for each in a thread of its own.
class Server {
public:
    explicit Server(std::function<void(int)> serve) : serve_(std::move(serve)) {
        fd_ = listen_socket(port_);
        std::thread([this] {
            while (true) {
                const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) return;
                const int on = 1;
                ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread([this, fd] {
                    serve_(fd);
                    ::close(fd);
                }).detach();
            }
        }).detach();
    }
    int port() const { return port_; }
    string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    std::function<void(int)> serve_;
    int fd_ = -1, port_ = 0;
};

/// Discovery's agent: the list, watches and notices.
class Agent {
public:
    Agent() : server_([this](int fd) { serve(fd); }) {}
    string address() const { return server_.address(); }

    /// Replaces the list. `members` are the JSON objects of the entries; all of them are told as a whole
    /// list.
    void publish(std::vector<string> members) {
        const std::lock_guard lock(mutex_);
        members_ = std::move(members);
        ++revision_;
        changed_.notify_all();
    }
    string list() {
        const std::lock_guard lock(mutex_);
        return whole_list();
    }
    /// When the first notice for the message came; -1 if none did.
    long notice_time(const string& id) {
        const std::lock_guard lock(mutex_);
        const auto found = notice_times_.find(id);
        return found == notice_times_.end() ? -1 : found->second;
    }
    std::map<string, string> notices() {
        const std::lock_guard lock(mutex_);
        return notices_;
    }

private:
    string whole_list() {
        string text = "{\"revision\":" + std::to_string(revision_) + ",\"complete\":true,\"members\":[";
        for (std::size_t i = 0; i < members_.size(); ++i) text += (i ? "," : "") + members_[i];
        return text + "]}";
    }
    static long parameter(const string& line, const string& name, long otherwise) {
        const auto at = line.find(name + "=");
        return at == string::npos ? otherwise : std::stol(line.substr(at + name.size() + 1));
    }
    void serve(int fd) {
        string bytes;
        while (receive(fd, bytes, 1000))
            while (auto request = take_http(bytes))
                if (!send_all(fd, answer(*request))) return;
    }
    string answer(const HttpMessage& request) {
        std::unique_lock lock(mutex_);
        if (request.first_line.starts_with("POST /reports")) {
            std::istringstream lines(request.body);
            for (string line; std::getline(lines, line);) {
                const auto at = line.find("\"ref\":\"");
                if (at == string::npos) continue;
                const string id = line.substr(at + 7, 16);
                const string result = line.find("bounced") != string::npos ? "bounced" : "dead";
                if (notice_times_.emplace(id, now_ms()).second) note("notice for " + id + ": " + result);
                notices_.emplace(id, result);
            }
            return "HTTP/1.1 204 No Content\r\n\r\n";
        }
        const long from = parameter(request.first_line, "from", -1);
        const long hold = parameter(request.first_line, "hold_ms", 0);
        if (from >= revision_)
            changed_.wait_for(lock, std::chrono::milliseconds(hold), [&] { return revision_ > from; });
        if (from < revision_) return http_answer("200 OK", whole_list());
        return http_answer(
            "200 OK", "{\"revision\":" + std::to_string(revision_) + ",\"complete\":false,\"members\":[]}");
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<string> members_;
    long revision_ = 40;
    std::map<string, string> notices_;
    std::map<string, long> notice_times_;
    Server server_;
};

/// One call that an endpoint has received whole.
struct Call {
    string id, key, body;
    long at = 0;
    int fd = -1;
};
/// An endpoint. The handler decides what each call gets; it may sleep. An empty answer closes the connection.
class Endpoint {
public:
    using Handler = std::function<string(const Call&)>;
    Endpoint(string name, Handler handler)
        : name_(std::move(name)), handler_(std::move(handler)), server_([this](int fd) { serve(fd); }) {}
    string member(int cell, double size = 5.0, const string& phase = "in_service") const {
        std::ostringstream text;
        text << R"({"id":")" << name_ << R"(","host_port":")" << server_.address()
             << R"(","locality":"floor-3","flavor":"partner","cell":)" << cell << R"(,"phase":")" << phase
             << R"(","size":)" << size << R"(,"up_since_ms":0})";
        return text.str();
    }
    std::vector<Call> calls() {
        const std::lock_guard lock(mutex_);
        return calls_;
    }
    std::size_t calls_of(const string& id) {
        const auto all = calls();
        return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(), [&](const Call& call) { return call.id == id; }));
    }

private:
    void serve(int fd) {
        string bytes;
        while (receive(fd, bytes, 1000))
            while (auto request = take_http(bytes)) {
                const Call call{request->headers["x-call-id"], request->headers["idempotency-key"],
                    request->body, now_ms(), fd};
                {
                    const std::lock_guard lock(mutex_);
                    calls_.push_back(call);
                }
                if (!quiet) note("call at " + name_ + ": " + call.id);
                const string text = handler_(call);
                if (text.empty() || !send_all(fd, text)) return;
                if (!quiet) note("answer of " + name_ + " to " + call.id + ": " + text.substr(9, 3));
            }
    }

    string name_;
    Handler handler_;
    std::mutex mutex_;
    std::vector<Call> calls_;

public:
    std::atomic<bool> quiet{false};

private:
    Server server_;
};

// ---- clients ----

inline string command(const std::vector<string>& words) {
    string bytes = "*" + std::to_string(words.size()) + "\r\n";
    for (const string& word : words) bytes += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
    return bytes;
}
inline string message_id(std::uint64_t number) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", 0x9b1f03aa00000000ull + number);
    return text;
}
inline string enqueue(const string& id, const string& kind, long left_ms, int cell, const string& key = "",
    const string& body = "BODY") {
    return command({"ENQUEUE", "0000000000000000", id,
        "c=" + kind + ",t=acme,d=" + std::to_string(left_ms) + (key.empty() ? "" : ",k=" + key) +
            ",dest=" + std::to_string(cell),
        body});
}
/// Sends one command on a connection and returns the line of the answer, or nothing after 400 ms.
inline string ask(int fd, const string& bytes, long ms = 400) {
    if (fd < 0 || !send_all(fd, bytes)) return "";
    string answer;
    for (const long end = now_ms() + ms; answer.find("\r\n") == string::npos && now_ms() < end;)
        if (!receive(fd, answer, end - now_ms())) break;
    const auto end = answer.find("\r\n");
    return end == string::npos ? "" : answer.substr(0, end);
}
inline string ask_once(int port, const string& bytes) {
    const int fd = connect_to(port);
    const string answer = ask(fd, bytes);
    if (fd >= 0) ::close(fd);
    return answer;
}

// ---- the forwarder ----

/// The value of a key in deploy/balancer.toml.
inline string deploy_command(const string& root, const string& key) {
    std::ifstream file(root + "/deploy/balancer.toml");
    for (string line; std::getline(file, line);) {
        if (!line.starts_with(key + " ")) continue;
        const auto first = line.find('"'), last = line.rfind('"');
        return line.substr(first + 1, last - first - 1);
    }
    throw CannotRun("deploy/balancer.toml has no " + key);
}

/// One forwarder with its folder, configuration and the processes that run it one after another.
class Forwarder {
public:
    Forwarder(string root, const Agent& agent)
        : root_(std::move(root)), run_(deploy_command(root_, "run")), discovery_(agent.address()) {
        string name = (std::filesystem::temp_directory_path() / "case-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr) throw CannotRun("no temporary folder");
        folder_ = name;
        std::filesystem::create_directories(folder_ + "/state");
    }
    ~Forwarder() {
        for (const pid_t pid : pids_) ::kill(pid, SIGKILL), ::waitpid(pid, nullptr, 0);
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }

    /// The platform holds the listening socket, and each process inherits it.
    void hold_listener() { listener_ = listen_socket(port); }
    void write_config(const string& settings, const string& known, const string& seed) {
        std::ofstream(folder_ + "/config.json", std::ios::trunc)
            << R"({"name":"n0","listen":"127.0.0.1:)" << port << R"(","discovery":")" << discovery_
            << R"(","seed":")" << seed
            << R"(","limits":{"cores":1.0,"memory_mb":128,"sockets":512,"disk_mb":3},"known":)" << known
            << R"(,"settings":)" << settings << "}";
    }
    /// Starts one more process. Returns its number; management_port() tells its own address for operators.
    pid_t start() {
        const int management = free_port();
        std::fflush(nullptr);
        const pid_t pid = ::fork();
        if (pid < 0) throw CannotRun("no fork");
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open((folder_ + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(log, 1), ::dup2(log, 2);
            if (listener_ >= 0) {
                const int copy = ::fcntl(listener_, F_DUPFD, 10);
                ::dup2(copy, 4), ::close(copy);
                ::setenv("NODE_FD", "4", 1);
            }
            ::setenv("NODE_CONFIG", (folder_ + "/config.json").c_str(), 1);
            ::setenv("NODE_STATE", (folder_ + "/state").c_str(), 1);
            ::setenv("NODE_NAME", "n0", 1);
            ::setenv("NODE_LISTEN", ("127.0.0.1:" + std::to_string(port)).c_str(), 1);
            ::setenv("NODE_DISCOVERY", discovery_.c_str(), 1);
            ::setenv("NODE_MANAGEMENT", ("127.0.0.1:" + std::to_string(management)).c_str(), 1);
            if (::chdir(root_.c_str()) != 0) ::_exit(127);
            ::execl("/bin/sh", "sh", "-c", run_.c_str(), nullptr);
            ::_exit(127);
        }
        pids_.insert(pid);
        management_[pid] = management;
        return pid;
    }
    /// One call of the operators. Returns the status, 0 if there was no answer.
    int operate(pid_t pid, const string& call) {
        const int fd = connect_to(management_[pid]);
        if (fd < 0) return 0;
        string bytes;
        if (send_all(fd, call + " HTTP/1.1\r\nHost: n0\r\nContent-Length: 0\r\n\r\n"))
            for (const long end = now_ms() + 1000; bytes.find("\r\n\r\n") == string::npos && now_ms() < end;)
                if (!receive(fd, bytes, end - now_ms())) break;
        ::close(fd);
        return bytes.size() > 12 ? std::atoi(bytes.c_str() + 9) : 0;
    }
    bool ready(pid_t pid, long ms = 6000) {
        return wait_for([&] { return operate(pid, "GET /ready") == 200; }, ms);
    }
    void signal(pid_t pid, int number) { ::kill(pid, number); }
    /// Whether the process has ended within the time.
    bool ended(pid_t pid, long ms) {
        if (!pids_.contains(pid)) return true;
        const bool gone = wait_for([&] { return ::waitpid(pid, &status_, WNOHANG) == pid; }, ms);
        if (gone) pids_.erase(pid);
        return gone;
    }
    void kill(pid_t pid) {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
        pids_.erase(pid);
    }
    string log() const {
        std::ifstream file(folder_ + "/log");
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    int port = free_port();

private:
    string root_, run_, folder_, discovery_;
    int listener_ = -1, status_ = 0;
    std::set<pid_t> pids_;
    std::map<pid_t, int> management_;
};

/// Settings of a small deployment, with the classes and figures of pasig-main.
struct SettingsText {
    int forwarders = 3, slots = 7, most_held = 112;
    string text() const {
        std::ostringstream out;
        out << R"({"az":"floor-3","classes":[)"
            << R"({"name":"save-sync","effect":"retryable","dedup_scope":"all","aim_ms":2000,"hard_limit_ms":16000,)"
            << R"("window_ms":5000,"worth":1,"late_worth":0.5,"streamed":false},)"
            << R"({"name":"item-grant","effect":"dedup","dedup_scope":"all","aim_ms":2000,"hard_limit_ms":28000,)"
            << R"("window_ms":15000,"worth":2,"late_worth":0.4,"streamed":false},)"
            << R"({"name":"purchase","effect":"fragile","dedup_scope":"all","aim_ms":4000,"hard_limit_ms":28000,)"
            << R"("window_ms":5000,"worth":5,"late_worth":0.5,"streamed":false}],)"
            << R"("clients":{"marks_retry":true},)"
            << R"("contract":{"answer_slack_ms":20,"cold_from":0.14,"drain_grace_ms":2000,"fall_ms":2000,)"
            << R"("fall_multiple":2.5,"must_ask_in_ms":10000,"warm_within_ms":11000},)"
            << R"("discovery":"automatic","family_info":{"carriage":[0,0.03,0.06],"loses_worth":"halving",)"
            << R"("per_call":[10,1],"routes_apart":[true,true],"slots":)" << slots << "},"
            << R"("kinds":["big-studio","partner"],"limits":{"cancel":true,"conn_idle_ms":10000,)"
            << R"("connect_timeout_ms":1500,"max_attempts":12,"max_retry_after_ms":3000,"most_held":)"
            << most_held << R"(,"peers":false,"probing":true,"retry_after":true,"second_copies":false},)"
            << R"("localities":["floor-3","floor-5","floor-7"],"me":0,"n_instances":)" << forwarders
            << R"(,"over_share_worth":0.2,"report":{"columns":[],"source":"off"},)"
            << R"("tenants":[{"name":"acme","portion":1,"quota_per_s":100000}],"tick_ms":5,"tier":0,)"
            << R"("tiers":["partner-endpoints"],"weights":"rough","workload":"deliver"})";
        return out.str();
    }
};

inline bool trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || string(value) != "0";
}

/// Runs a case: `play(root)` returns whether the rule was broken. Arguments: the root and the record's path.
template <class Play>
int run_case(int argc, char** argv, Play play) {
    if (argc != 3) return 2;
    ::signal(SIGPIPE, SIG_IGN);
    record().open(argv[2]);
    int code = 2;
    try {
        note(trouble() ? "with the disruption" : "without the disruption");
        code = play(string(argv[1])) ? 1 : 0;
        note(code == 1 ? "the rule was broken" : "the rule held");
    } catch (const std::exception& error) {
        note(string("the case could not run: ") + error.what());
    }
    std::fflush(nullptr);
    ::_exit(code);
}

}  // namespace world
