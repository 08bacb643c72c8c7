/// The client of the discovery agent: it receives the list of endpoints and its changes, and sends end
/// notices to the platform.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "config.hpp"
#include "journal.hpp"
#include "list_reader.hpp"
#include "list_update.hpp"

namespace lockgw {

/// Decides when to call discovery. Discovery serves the forwarders of a fleet one after another, so
/// forwarders that start, move or fail together must not call at the same moment, and none may call so late
/// that it misses the deadline for drains.
class CallSchedule {
public:
    CallSchedule(std::size_t forwarders, std::uint64_t seed);
    /// The delay before the first call of a process that already knows a list.
    std::chrono::milliseconds first_call_delay();
    /// The delay before the first call to another agent, after a configuration change.
    std::chrono::milliseconds move_delay();
    /// The delays after a number of consecutive failures: of list requests that were refused, of list
    /// requests that timed out, and of requests that carry notices.
    std::chrono::milliseconds failure_delay(int failures);
    std::chrono::milliseconds timeout_delay(int failures);
    std::chrono::milliseconds notice_retry_delay(int failures);
    /// The timeout of a request that carries notices, after a number of consecutive failures.
    static std::chrono::milliseconds notice_timeout(int failures);

    /// How long the agent may hold a watch, after a call that succeeded and after one that did not.
    static constexpr std::chrono::milliseconds kWatchHold{1900}, kFirstWatchHold{100};
    /// How much longer than that the response to a watch is awaited, and the timeout of a request for the
    /// whole list. An overloaded discovery responds late: a client that gives up before the 2 s of its queue
    /// have passed makes that queue longer.
    static constexpr std::chrono::milliseconds kWatchMargin{1000}, kFirstWatchMargin{2100},
        kListTimeout{1500};

private:
    static int backoff_factor(int failures);
    std::chrono::milliseconds random_up_to(std::chrono::milliseconds duration);
    std::chrono::milliseconds jittered(std::chrono::milliseconds duration);

    std::mt19937_64 random_;
    std::chrono::milliseconds fleet_round_;  // the time in which each forwarder of the fleet may call once
};

class DiscoveryConnection;

class Discovery {
public:
    /// Receives a list, or one batch of a long list. Batches hold only what differs from `directory`, and
    /// each is passed in an event-loop iteration of its own. The callback must apply the list to the
    /// directory.
    using OnList = std::function<void(const EndpointList&)>;
    using OnNoticeConfirmed = std::function<void(MessageId)>;

    Discovery(asio::io_context& io, const Config& config, EndpointDirectory& directory, OnList on_list,
        OnNoticeConfirmed on_notice_confirmed);
    ~Discovery();

    /// `known_revision` is the revision of the complete list that is already known, if there is one. Only
    /// changes since that revision are requested then.
    void start(std::optional<std::int64_t> known_revision = std::nullopt);
    /// Stops all requests because another process takes over. resume() starts them again and sends every
    /// unconfirmed notice again.
    void suspend();
    void resume();
    /// Drops the notices because another process has become responsible for them.
    void forget_notices() { notices_.clear(); }
    /// Replaces the agent. With `force_reload` the complete list is requested even if the address is the
    /// same.
    void move_to(const Tcp::endpoint& address, bool force_reload);
    /// Sends the notice, repeatedly until the agent responds with 204.
    void report(MessageId id, const EndNotice& notice);
    bool all_confirmed() const { return notices_.empty(); }

private:
    void connect(std::optional<std::int64_t> known_revision, std::chrono::milliseconds delay);
    void cancel_requests();
    void watch();
    void schedule_watch(std::chrono::milliseconds delay);
    void on_watch_response(unsigned status, const std::string& body);
    bool apply_short_list(const std::string& body);
    void read_chunk(std::string_view chunk);
    bool finish_reading();
    bool start_update(const EndpointList& list);
    void start_batches(ListReader::Head head);
    void apply_next_batch();
    void apply_batch(EndpointList batch);
    void discard_update();
    void send_notices();

    asio::io_context& io_;
    Tcp::endpoint address_;
    EndpointDirectory& directory_;
    ListLimits limits_;
    OnList on_list_;
    OnNoticeConfirmed on_notice_confirmed_;
    std::optional<std::int64_t> revision_;  // empty until a complete list of this agent is known
    CallSchedule schedule_;
    std::shared_ptr<DiscoveryConnection> watch_connection_, notice_connection_;
    asio::steady_timer watch_timer_, notice_timer_;
    int watch_failures_ = 0, notice_failures_ = 0;
    std::uint64_t agent_generation_ =
        0;  // counts changes of the agent; timers of an earlier one have no effect
    bool sending_notices_ = false, suspended_ = false, last_watch_succeeded_ = false;
    std::chrono::steady_clock::time_point response_deadline_{};  // of the list request in progress
    std::optional<ListReader> reader_;                           // set while a long list arrives
    std::shared_ptr<ListUpdate> update_;                         // the changes that a long list makes
    struct BatchedList {
        ListReader::Head head;
        std::uint64_t agent_generation = 0;  // the one in which the list arrived
    };
    std::optional<BatchedList> batched_list_;  // a list that has arrived and is being applied in batches
    bool watch_deferred_ = false;              // the next watch waits for the last batch
    std::map<MessageId, EndNotice> notices_;
};

}  // namespace lockgw
