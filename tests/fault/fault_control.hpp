/// The memory that a test shares with the fault shim. It states which system calls of a process fail, and
/// how.
///
/// A test maps a file of this layout and names it in FAULT_CONTROL before it starts the program with the shim
/// preloaded. Counts continue across restarts of the program.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace fault {

/// System calls grouped by purpose; one value may cover several functions of the C library.
enum class Call : std::uint32_t {
    None,
    Accept,
    Connect,
    Socket,
    Bind,
    Listen,
    Receive,
    Send,
    Wait,          ///< epoll_wait, poll
    WatchControl,  ///< epoll_ctl
    Open,
    Read,
    Write,
    Truncate,
    Rename,
    Sync,
    Lock,  ///< flock
    Count
};

/// What the descriptor of a call refers to.
enum class Peer : std::uint32_t {
    Any,
    Client,    ///< an accepted connection
    Outgoing,  ///< a connection that the program opened or is opening
    File,
    Other
};

/// The call transfers one byte and succeeds. This value and the next two are above every error number of the
/// system.
constexpr std::int32_t kShortTransfer = 100'000;
/// A write transfers `detail` bytes, and then the process is killed.
constexpr std::int32_t kTornAndKilled = 100'001;
/// The process is killed before the call.
constexpr std::int32_t kKilled = 100'002;

/// The first `skip` matching calls pass; the next `times` fail with `error`.
struct Rule {
    std::atomic<Call> call{Call::None};
    std::atomic<Peer> peer{Peer::Any};
    std::atomic<std::uint32_t> port{0};  ///< the remote port of an outgoing connection; 0 matches any
    std::atomic<std::int32_t> error{0};
    std::atomic<std::int64_t> skip{0}, times{0};
    std::atomic<std::int64_t> detail{0};
    std::atomic<std::int64_t> seen{0}, hits{0};  ///< number of calls that matched, and of those that failed
};

constexpr std::size_t kRules = 8;

struct Control {
    std::array<Rule, kRules> rules;
    std::atomic<std::int64_t> wall_clock_offset_us{0};
    /// Random failures of each call per million calls, with an error that the manual page of the call lists.
    std::array<std::atomic<std::uint32_t>, static_cast<std::size_t>(Call::Count)> random_per_million{};
    std::atomic<std::uint64_t> random_seed{1};
    std::atomic<std::uint64_t> random_hits{0};
    std::atomic<std::uint64_t> starts{0};  ///< number of starts of the program
};

}  // namespace fault
