/// What happens on the sockets as the module's events, and the module's actions carried out. No decisions.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "client_server.hpp"
#include "config.hpp"
#include "discovery.hpp"
#include "endpoint_caller.hpp"
#include "endpoint_directory.hpp"
#include "event_log.hpp"
#include "handover.hpp"
#include "journal.hpp"
#include "management.hpp"
#include "peer_channel.hpp"

namespace lockgw {

class Forwarder {
public:
    Forwarder(asio::io_context& io, Config config);

    /// Takes up what the journal holds, or what another process hands over. Throws where the folder or an
    /// address cannot be used.
    void start();
    /// It has stopped the loop because it cannot go on.
    bool failed() const { return failed_; }
    /// Takes over what may change while it runs: the settings and the address of discovery. Throws where the
    /// file that is read anew makes no sense; nothing has changed then.
    void reload();
    /// Hands the clients on, goes on delivering, and stops the loop well before it would be killed.
    void finish();

private:
    struct Newcomer {
        Message message;
        ClientServer::Reply answer;
    };

    using AttemptId = std::pair<MessageId, std::uint32_t>;
    /// Waiting: another process owns what the folder holds. Offered: this one still does, and another is
    /// about to take over. Released: another does, and this one has clients to answer and calls to wait for.
    enum class Role { Waiting, Owner, Offered, Released };

    Handover::Steps handover_steps();
    void own(const std::optional<Json>& offer);
    void open_journal();
    void close_after_failed_start();
    Json offer();
    Json members() const;
    void let_go();
    void released();
    void take_back(bool offered);
    void told(const Json& note);
    void predecessor_left();
    void adopt(const Json& offer, const std::vector<EndpointCaller::ActiveCall>& out);
    void hand_calls_on(const std::vector<EndpointCaller::ActiveCall>& out);
    std::vector<EndpointCaller::ActiveCall> out_elsewhere(const Json& calls);
    Json calls_out() const;
    void learn(const Json& learned);
    Json learned() const;
    void tell_held();
    void relay(const OperatorCall& call, Management::Reply answer);
    void enqueue_here_again();
    bool name_class(const Message& message, cometspoke::MessageEvent& event) const;
    void take_up(const std::set<AttemptId>& out);
    void operate(const OperatorCall& call, const Management::Reply& answer);
    OperatorReply verdict_on(const OperatorCall& call);
    OperatorReply ban(const std::string& target, bool on);
    void drain();
    void undrain();
    void list(EndpointList told, cometspoke::ListUpdateKind kind);
    void enqueue(Message message, cometspoke::Time left, ClientServer::Reply answer);
    void outcome(const cometspoke::OutcomeEvent& event);
    void observe(const cometspoke::Event& event);
    void turn();
    void answer_newcomers(const std::vector<cometspoke::Action>& actions);
    std::string take_on(const Message& message);
    template <class Step>
    void guarded(Step step);
    void stop_if_done();

    void begin(const cometspoke::Send& send, std::vector<OutgoingAttempt>& attempts);
    void carry_out(const cometspoke::Send&) {}  // all of a turn's together
    void carry_out(const cometspoke::CancelAttempt& cancel);
    void carry_out(const cometspoke::Refuse& refuse);
    void carry_out(const cometspoke::Fail& fail);
    void carry_out(const cometspoke::SetTimer& timer);
    void carry_out(const cometspoke::CloseIdle& close);
    void carry_out(const cometspoke::ReleaseEndpoint& forget);
    void carry_out(const cometspoke::SendToPeers& tell);
    void carry_out(const cometspoke::Log& log);
    void carry_out(const cometspoke::Probe&) {}      // not allowed on sockets
    void carry_out(const cometspoke::Watch&) {}      // discovery is always watched
    void carry_out(const cometspoke::FetchList&) {}  // and its whole list asked for first
    void end(MessageId id, const EndNotice& notice);
    void on_record(bool kept);
    void catch_up();
    void tell_ends(bool kept);
    void watch_clock();
    void delivered(const JournalEntry& entry, cometspoke::Outcome outcome);
    void remember(MessageId ended, PersistentTime until);

    asio::io_context& io_;
    Config config_;
    EventLog log_;
    PersistentClock clock_;
    std::optional<Journal> journal_;  // while this process owns the folder
    cometspoke::Sender sender_;
    EndpointDirectory directory_;
    EndpointCaller targets_;
    Discovery discovery_;
    PeerChannel peers_;
    ClientServer clients_;
    Management management_;
    Handover handover_;
    asio::steady_timer timer_, send_off_, finish_step_, finish_end_, held_pause_, linger_, catch_up_again_;
    Role role_ = Role::Waiting;
    bool failed_ = false, reload_due_ = false, lingered_ = false;
    Json offer_;                                      // what was handed over last: it may come back
    std::vector<cometspoke::OutcomeEvent> outcomes_;  // since the offer, told to the owner once there is one
    struct Elsewhere {
        EndpointId endpoint = 0;
        std::chrono::steady_clock::time_point begun{};
    };
    std::map<AttemptId, Elsewhere> elsewhere_;  // out on the connections of the process before
    struct Relayed {
        OperatorCall call;
        Management::Reply answer;
    };
    std::map<std::uint64_t, Relayed> relayed_;  // operators' calls that wait for the owner
    std::uint64_t relays_ = 0;
    bool turn_due_ = false, finishing_ = false, catch_up_due_ = false;
    bool drained_ = false;                       // by the operators: the process goes on
    std::map<MessageId, Newcomer> newcomers_;    // handed in this turn, not answered yet
    bool whole_list_ = false;                    // discovery has told all targets once
    std::chrono::microseconds clock_offset_{0};  // of the wall clock from the monotonic one, as last seen
    std::set<MessageId> unkept_ends_;            // not on record yet, and so not told
    std::optional<std::chrono::steady_clock::time_point> unreadable_since_;  // the journal, at a start
    std::set<MessageId> ended_;  // whose time is not up: none of them is taken on anew
    std::deque<std::pair<PersistentTime, MessageId>> ended_until_;
};

}  // namespace lockgw
