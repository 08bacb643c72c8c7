/// Translates what happens on the sockets into events of the decision module, and carries out the actions of
/// the module. It makes no decisions about messages itself.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "client_server.hpp"
#include "config.hpp"
#include "discovery.hpp"
#include "ended_ids.hpp"
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

    /// Recovers the messages in the journal, or takes over from another process. Throws if the folder or an
    /// address cannot be used.
    void start();
    /// The loop was stopped by a fault that this process cannot recover from.
    bool failed() const { return failed_; }
    /// Reads the configuration again and applies what may change at run time: the settings, the names and the
    /// address of discovery. Throws if the file is invalid; nothing has changed then.
    void reload();
    /// Starts the shutdown: stops taking clients, keeps delivering, and stops the loop well before SIGKILL.
    void finish();

private:
    /// An enqueue request of this event-loop iteration or handover whose client has no reply yet.
    struct PendingEnqueue {
        ClientServer::Request request;
        std::uint64_t arrival = 0;
    };

    using AttemptId = std::pair<MessageId, std::uint32_t>;
    /// Waiting: another process owns the folder. Offered: this process still owns it, and another one is
    /// about to take over. Released: another process owns it, and this one still has clients to reply to and
    /// calls to wait for.
    enum class Role { Waiting, Owner, Offered, Released };

    Handover::Steps handover_steps();
    void become_owner(const std::optional<Json>& offer);
    void open_journal();
    void close_after_failed_start();
    Json offer();
    Json endpoints_json() const;
    void release_files();
    void released();
    void take_back(bool offered);
    void receive(const Json& handover_message);
    void predecessor_ended();
    cometspoke::Outcome outcome_of_ended_predecessor(const AttemptId& attempt) const;
    /// A call whose outcome is still to come while the process that decides changes.
    struct HandedOverCall {
        EndpointId endpoint = 0;
        std::chrono::steady_clock::time_point started_at{};
        std::vector<cometspoke::InheritedAttempt> attempts;
    };
    void take_over(const Json& offer, const std::vector<HandedOverCall>& calls);
    void observe_key_rests(const Json& rests);
    Json key_rests_json() const;
    void observe_inherited_calls(const std::vector<HandedOverCall>& calls);
    std::vector<HandedOverCall> parse_inherited_calls(const Json& calls);
    std::vector<HandedOverCall> active_calls() const;
    Json active_calls_json() const;
    void observe_learned_state(const Json& states);
    Json learned_state_json() const;
    void send_held_counts();
    void relay(const OperatorCall& call, Management::Reply reply);
    void enqueue_pending_again();
    std::vector<PendingEnqueue*> pending_enqueues_by_arrival();
    bool resolve_class(const Message& message, cometspoke::MessageEvent& event) const;
    void end_attempts_of_ended_process(const std::set<AttemptId>& active_attempts);
    void recover_messages(const std::set<AttemptId>& active_attempts);
    void handle_operator_call(const OperatorCall& call, const Management::Reply& reply);
    OperatorReply execute_operator_call(const OperatorCall& call);
    OperatorReply set_endpoint_disabled(const std::string& name, bool disabled);
    void drain();
    void undrain();
    void complete_removals(EndpointList& update);
    Json removed_endpoints_json() const;
    void apply_list(EndpointList update, cometspoke::ListUpdateKind kind);
    void share_list(const EndpointList& update);
    void keep_list(const Json& list);
    void apply_kept_lists();
    void enqueue(ClientServer::Request request);
    bool merge_with_pending(ClientServer::Request& request);
    void hold_as_pending(ClientServer::Request request);
    std::optional<std::string> refusal_of(const Message& message) const;
    void refuse_pending_of_left_clients();
    void refuse_left_client(const ClientServer::Request& request);
    void receive_enqueue(const Json& json);
    bool has_room_for_pending(const Message& message) const;
    void on_outcome(const cometspoke::OutcomeEvent& event);
    void on_retry_after(const cometspoke::RetryAfterEvent& event);
    void share_retry_after(const cometspoke::RetryAfterEvent& event);
    void receive_retry_after(const Json& fields);
    void keep_retry_after(const cometspoke::RetryAfterEvent& event);
    std::vector<cometspoke::RetryAfterEvent> take_kept_retry_afters();
    void observe_kept_retry_afters();
    void observe(const cometspoke::Event& event);
    void run_iteration();
    void reply_to_pending_enqueues(const std::vector<cometspoke::Action>& actions);
    std::string accept_message(const ClientServer::Request& request);
    template <class Step>
    void run_guarded(Step step);
    void stop_if_done();

    void start_attempt(const cometspoke::Send& send, std::vector<OutgoingAttempt>& attempts);
    void carry_out(const cometspoke::Send&) {}  // run_iteration() starts them together.
    void carry_out(const cometspoke::CancelAttempt& cancel);
    void carry_out(const cometspoke::Refuse& refuse);
    void carry_out(const cometspoke::Fail& fail);
    void carry_out(const cometspoke::SetTimer& timer);
    void carry_out(const cometspoke::CloseIdle& close);
    void carry_out(const cometspoke::ReleaseEndpoint& release);
    void carry_out(const cometspoke::SendToPeers& send);
    void carry_out(const cometspoke::Log& log);
    void carry_out(const cometspoke::Probe&) {}      // Not allowed on sockets.
    void carry_out(const cometspoke::Watch&) {}      // Discovery is always watched.
    void carry_out(const cometspoke::FetchList&) {}  // Discovery always fetches the full list first.
    void end_message(MessageId id, const EndNotice& notice);
    void retry_unless_recorded(bool recorded);
    void write_pending_records();
    void report_recorded_ends(bool recorded);
    void check_wall_clock();
    void on_delivered(const JournalEntry& entry, cometspoke::Outcome outcome);
    void remember_ended(MessageId ended, PersistentTime expiry);

    asio::io_context& io_;
    Config config_;
    EventLog log_;
    PersistentClock clock_;
    std::optional<Journal> journal_;  // Present while this process owns the folder.
    cometspoke::Sender sender_;
    EndpointDirectory directory_;
    EndpointCaller endpoint_caller_;
    Discovery discovery_;
    PeerChannel peer_channel_;
    ClientServer clients_;
    Management management_;
    Handover handover_;
    asio::steady_timer decision_timer_, client_close_timer_, drain_timer_, exit_timer_, held_counts_timer_,
        linger_timer_, write_retry_timer_;
    Role role_ = Role::Waiting;
    bool failed_ = false, reload_pending_ = false, linger_expired_ = false;
    bool config_was_reloaded_ = false;  // By this process or one before it.
    Json last_offer_;                   // Is taken back if the other process ends.
    /// Lists from discovery that the new owner has received since the handover, as CBOR, which takes less
    /// memory.
    std::vector<std::vector<std::uint8_t>> kept_lists_;
    std::vector<cometspoke::OutcomeEvent> unreported_outcomes_;  // Since the offer; sent to the new owner.
    /// The ends of the retry-afters that either process has received since the offer.
    std::map<EndpointId, std::chrono::steady_clock::time_point> kept_retry_afters_;
    /// An attempt of an inherited call.
    struct InheritedAttempt {
        EndpointId endpoint = 0;
        std::chrono::steady_clock::time_point started_at{};
    };
    std::map<AttemptId, InheritedAttempt> inherited_attempts_;  // On the connections of the previous process.
    struct RelayedOperatorCall {
        OperatorCall call;
        Management::Reply reply;
    };
    std::map<std::uint64_t, RelayedOperatorCall>
        relayed_operator_calls_;  // Waiting for the reply of the owner.
    std::uint64_t last_relay_number_ = 0;
    bool iteration_due_ = false, finishing_ = false, write_retry_due_ = false;
    bool drained_ = false;  // Set by operators; the process keeps running.
    std::map<MessageId, PendingEnqueue> pending_enqueues_;
    std::uint64_t enqueue_count_ = 0;
    bool full_list_received_ = false;            // Discovery has sent all endpoints once.
    std::chrono::microseconds clock_offset_{0};  // Wall clock minus monotonic clock, when last read.
    std::set<MessageId> unrecorded_ends_;        // Not yet recorded, and so not notified.
    std::optional<std::chrono::steady_clock::time_point> journal_unreadable_since_;  // At a start.
    EndedIds ended_ids_;  // None of them is accepted again.
};

}  // namespace lockgw
