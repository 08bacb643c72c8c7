/// The agent of discovery: the list of targets and what changes in it, and notices to the platform.
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

/// When to call discovery, which answers all forwarders of a fleet in turn: those that start, move or fail
/// together must not call together, and none may call so late that it breaks the rule on drains.
class CallSchedule {
public:
    CallSchedule(std::size_t forwarders, std::uint64_t seed);
    /// Before the first call of a process that knows a list,
    std::chrono::milliseconds first();
    /// of one that was told to move to another agent,
    std::chrono::milliseconds moved();
    /// and after so many failures in a row, of calls for the list that were refused, of those that got no
    /// answer in their time, and of notices.
    std::chrono::milliseconds after_failure(int failures);
    std::chrono::milliseconds after_silence(int failures);
    std::chrono::milliseconds after_refused_notices(int failures);
    /// For how long notices are waited for after so many failures in a row.
    static std::chrono::milliseconds notices_within(int failures);

    /// How long the agent may hold a watch where the call before was answered, and where it was not; how long
    /// an answer is waited for beyond that; and one to a call for the whole list. An overbooked discovery
    /// answers late: who gives up sooner than its queue, 2 s, makes that one longer.
    static constexpr std::chrono::milliseconds kHold{1900}, kFirstHold{100};
    static constexpr std::chrono::milliseconds kWithin{1000}, kFirstWithin{2100}, kListWithin{1500};

private:
    static int doubled(int failures);
    std::chrono::milliseconds any_of(std::chrono::milliseconds span);
    std::chrono::milliseconds half_or_more_of(std::chrono::milliseconds span);

    std::mt19937_64 random_;
    std::chrono::milliseconds of_all_;  // in which each forwarder of the fleet may call once
};

class DiscoveryConnection;

class Discovery {
public:
    /// A list, or one slice of a long one: what `directory` does not say already, each slice in a turn of its
    /// own. The directory is brought up to it within the call.
    using Told = std::function<void(const EndpointList&)>;
    using Confirmed = std::function<void(MessageId)>;

    Discovery(asio::io_context& io, const Config& config, EndpointDirectory& directory, Told told,
        Confirmed confirmed);
    ~Discovery();

    /// `held`: the version of the whole list that is known already, if one is; changes are asked for from
    /// there.
    void start(std::optional<std::int64_t> held = std::nullopt);
    /// Another process asks and tells from now on; `resume` undoes it, with every notice that is not
    /// confirmed.
    void suspend();
    void resume();
    /// The notices are another process's.
    void forget_notices() { notices_.clear(); }
    /// Another agent takes the place of the present one; `anew`: the whole list is asked for also where it
    /// stays.
    void move_to(const Tcp::endpoint& address, bool anew);
    /// Posted until it is answered 204.
    void report(MessageId id, const EndNotice& notice);
    bool all_confirmed() const { return notices_.empty(); }

private:
    void begin(std::optional<std::int64_t> held, std::chrono::milliseconds pause);
    void leave();
    void watch();
    void watch_after(std::chrono::milliseconds pause);
    void answered(unsigned status, const std::string& body);
    bool watched(const std::string& body);
    void read_piece(std::string_view piece);
    bool read_to_the_end();
    bool update_by(const EndpointList& list);
    void tell(ListReader::Head head);
    void tell_slice();
    void tell_one(EndpointList slice);
    void refuse();
    void post();

    asio::io_context& io_;
    Tcp::endpoint address_;
    EndpointDirectory& directory_;
    ListLimits limits_;
    Told told_;
    Confirmed confirmed_;
    std::optional<std::int64_t> revision_;  // none where no whole list of this agent is known
    CallSchedule turns_;
    std::shared_ptr<DiscoveryConnection> watch_, reports_;
    asio::steady_timer watch_pause_, report_pause_;
    int watch_failures_ = 0, report_failures_ = 0;
    std::uint64_t stay_ = 0;  // with this agent: pauses of an earlier one end in nothing
    bool posting_ = false, suspended_ = false, heard_ = false;
    std::chrono::steady_clock::time_point silent_at_{};  // when the call that is out has had its time
    std::optional<ListReader> reader_;                   // of a long list that is arriving
    std::shared_ptr<ListUpdate> update_;                 // what it changes
    struct Telling {
        ListReader::Head head;
        std::uint64_t stay = 0;  // with the agent that told it
    };
    std::optional<Telling> telling_;  // it has arrived, and is told in slices
    bool watch_waits_ = false;        // for the last of them
    std::map<MessageId, EndNotice> notices_;
};

}  // namespace lockgw
