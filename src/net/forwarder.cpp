#include "forwarder.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <iostream>
#include <utility>

#include "counters.hpp"

namespace lockgw {

using namespace cometspoke;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

// Clients open new connections for up to 0.4 s after SIGTERM.
constexpr auto kDrainStartDelay = 450ms;
// SIGKILL follows 3.7 s after SIGTERM.
constexpr auto kMaxShutdownTime = 3400ms;
// A client closes its connection when it has waited this long for its reply, so every request that counts was
// read within this time.
constexpr auto kMaxRequestReadDelay = 400ms;
// A smaller step of the wall clock is an adjustment.
constexpr auto kMinLoggedClockStep = 1s;
// At a start, reading the journal is retried for this long before the unreadable file is set aside.
constexpr auto kMaxJournalReadRetryTime = 5s;
// Time until records that could not be written to the journal are written again.
constexpr auto kJournalWriteRetryInterval = 20ms;
// The retry-after of a message that is refused for lack of room: some room is likely to be free by then.
constexpr auto kFullRetryAfter = 1000ms;
// The bodies of requests without a reply may take 1/16 of the memory limit. A replaced process holds them
// twice, once to send them to the next owner.
constexpr std::size_t kPendingEnqueuesMemoryDivisor = 16;
// The ids of ended messages may take 1/16 of the memory limit.
constexpr std::size_t kEndedIdsMemoryDivisor = 16;
// Interval at which the new owner is sent the connections that this process still holds.
constexpr auto kHeldCountsInterval = 100ms;
// A replaced process that no signal ends stays this long for the calls and clients that it still holds.
constexpr auto kMaxLingerTime = 10s;
// Descriptors for everything but clients and endpoints, such as operators and a second process.
constexpr std::size_t kMinOtherDescriptors = 32;
constexpr std::size_t kMaxOtherDescriptors = 80;
// Endpoints that are handed over by name. Handing over more takes longer than the process that takes over
// waits, and the discovery agent sends it the list at once anyway.
constexpr std::size_t kMaxHandedOverEndpoints = 20'000;

Time now() { return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now().time_since_epoch()); }

std::size_t max_other_descriptors(const Config& config) {
    return std::clamp(config.max_descriptors / 3, kMinOtherDescriptors, kMaxOtherDescriptors);
}
/// Enough for all calls in flight and for some idle connections, but never more than half of what the other
/// descriptors leave.
std::size_t max_endpoint_connections(const Config& config) {
    const std::size_t wanted = std::max(config.max_descriptors / 4, config.settings.max_calls * 3 / 2);
    return std::min(wanted, (config.max_descriptors - max_other_descriptors(config)) / 2);
}
std::size_t max_client_connections(const Config& config) {
    return config.max_descriptors - max_endpoint_connections(config) - max_other_descriptors(config);
}

std::size_t max_list_entries(const Config& config) {
    return list_limits(config.memory_bytes, config.max_descriptors).entries;
}

/// The decision module must not count on more calls than there are descriptors for.
Config limit_calls_to_descriptors(Config config) {
    config.settings.max_calls = std::min(config.settings.max_calls, max_endpoint_connections(config));
    return config;
}

std::string busy_reply(milliseconds wait) {
    return resp::error(wait > 0ms ? "BUSY " + std::to_string(wait.count()) : "BUSY");
}

/// Makes the text printable on one line of the log.
std::string printable(std::string text) {
    for (char& letter : text)
        if (letter < ' ' || letter > '~') letter = '?';
    return text;
}

/// For the log, such as "250ms_ago".
std::string age_text(std::chrono::steady_clock::duration age) {
    return std::to_string(std::chrono::duration_cast<milliseconds>(age).count()) + "ms_ago";
}

// The handover messages between two processes.

Json endpoint_to_json(const EndpointRecord& record) {
    const char* phase = record.condition == Condition::Ready      ? "in_service"
                        : record.condition == Condition::Draining ? "terminating"
                                                                  : "terminated";
    return {{"id", record.id}, {"host_port", text_of(record.address)}, {"locality", record.zone},
        {"flavor", record.kind}, {"cell", record.destination}, {"phase", phase}, {"size", record.rate}};
}
/// An array of the message, the number of the attempt and, if there is one, the order key.
Json attempt_to_json(const cometspoke::InheritedAttempt& attempt) {
    Json json{attempt.message, attempt.attempt};
    if (attempt.key) json.push_back(*attempt.key);
    return json;
}
cometspoke::InheritedAttempt parse_attempt(const Json& json) {
    cometspoke::InheritedAttempt attempt{
        json.at(0).get<MessageId>(), json.at(1).get<std::uint32_t>(), std::nullopt};
    if (json.size() > 2) attempt.key = json.at(2).get<std::uint64_t>();
    return attempt;
}
Json to_handover_message(const OutcomeEvent& event) {
    Json fields{{"message", event.message}, {"attempt", event.attempt},
        {"outcome", static_cast<int>(event.outcome)}, {"terminal", event.terminal},
        {"rtt_us", event.rtt.count()}, {"wait_us", event.retry_after.count()}};
    if (event.report) fields["report"] = {event.report->remaining_share, event.report->limit_per_s};
    return {{"outcome", fields}};
}
OutcomeEvent parse_outcome(const Json& fields) {
    OutcomeEvent event;
    event.message = fields.at("message").get<MessageId>();
    event.attempt = fields.at("attempt").get<std::uint32_t>();
    event.outcome = static_cast<Outcome>(fields.at("outcome").get<int>());
    event.terminal = fields.at("terminal").get<bool>();
    event.rtt = Time(fields.at("rtt_us").get<std::int64_t>());
    event.retry_after = Time(fields.at("wait_us").get<std::int64_t>());
    if (fields.contains("report"))
        event.report = LoadReport{fields["report"].at(0).get<double>(), fields["report"].at(1).get<double>()};
    return event;
}
Json to_handover_message(const std::string& endpoint_name, Time retry_after) {
    return {{"retry_after", {{"target", endpoint_name}, {"for_us", retry_after.count()}}}};
}
/// Uses the record format of the journal, because the texts of a message may hold any bytes and because the
/// record includes the settings of its class.
Json to_handover_message(const Message& message) {
    const std::string record = serialize_message(message);
    return {{"enqueue", Json::binary({record.begin(), record.end()})}};
}
Message parse_message(const Json& json) {
    const auto& bytes = json.get_binary();
    return parse_message_record({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}
Json to_handover_message(std::uint64_t number, const OperatorCall& call) {
    return {
        {"operate", {{"number", number}, {"order", static_cast<int>(call.command)}, {"who", call.endpoint}}}};
}

const Json kReloadMessage{{"reload", true}};

std::string_view outcome_name(Outcome outcome) {
    switch (outcome) {
        case Outcome::Delivered:
            return "served";
        case Outcome::ServerError:
            return "server_error";
        case Outcome::Rejected:
            return "turned_away";
        case Outcome::TimedOut:
            return "no_answer";
        case Outcome::ConnectFailed:
            return "no_connection";
        case Outcome::ConnectionLost:
            return "connection_lost";
        case Outcome::Cancelled:
            return "called_off";
        case Outcome::NotSent:
            return "not_sent";
        case Outcome::MalformedResponse:
            return "unreadable";
        case Outcome::Withheld:
            return "withheld";
    }
    return "unknown";
}

std::chrono::microseconds wall_clock_offset() {
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const auto monotonic = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(wall - monotonic);
}

bool proves_never_ran(Outcome outcome) {
    return outcome == Outcome::Rejected || outcome == Outcome::ConnectFailed || outcome == Outcome::NotSent;
}

}  // namespace

Forwarder::Forwarder(asio::io_context& io, Config config)
    : io_(io),
      config_(limit_calls_to_descriptors(std::move(config))),
      sender_(config_.settings, config_.seed),
      endpoint_caller_(
          io, config_, max_endpoint_connections(config_),
          [this](MessageId id, std::uint32_t attempt) {
              // While another process decides, it may know of events that this process does not.
              return role_ == Role::Owner && sender_.may_start(id, attempt, now()) &&
                     journal_->mark_attempt_written(id);
          },
          [this](const RetryAfterEvent& event) { on_retry_after(event); },
          [this](const OutcomeEvent& event) { on_outcome(event); }),
      discovery_(
          io, config_, directory_,
          [this](const EndpointList& update) {
              if (!update.has_more_batches) full_list_received_ = true;  // A delta needs a full list.
              share_list(update);
              apply_list(update, update.complete ? ListUpdateKind::Full : ListUpdateKind::Delta);
          },
          [this](MessageId id) {
              if (role_ != Role::Owner) return;  // The owner sends the notice again, which is harmless.
              log_.message(MessageStep::NoticeConfirmed, id);
              retry_unless_recorded(journal_->confirm_notice(id));
              stop_if_done();
          }),
      peer_channel_(io, config_, [this](const PeerMessage& message) { observe(message); }),
      clients_(
          io, config_, clock_, max_client_connections(config_),
          [this](ClientServer::Request request) { enqueue(std::move(request)); },
          [this] { asio::post(io_, [this] { stop_if_done(); }); }),
      management_(io, [this](const OperatorCall& call,
                          const Management::Reply& reply) { handle_operator_call(call, reply); }),
      handover_(io, config_.state, handover_steps()),
      decision_timer_(io),
      client_close_timer_(io),
      drain_timer_(io),
      exit_timer_(io),
      held_counts_timer_(io),
      linger_timer_(io),
      write_retry_timer_(io),
      clock_offset_(wall_clock_offset()),
      ended_ids_(config_.memory_bytes / kEndedIdsMemoryDivisor) {}

void Forwarder::start() {
    if (config_.management) management_.listen(*config_.management);
    handover_.claim();
}

Handover::Steps Forwarder::handover_steps() {
    Handover::Steps steps;
    steps.become_owner = [this](const std::optional<Json>& offer) { become_owner(offer); };
    steps.offer = [this] { return offer(); };
    steps.release_files = [this] { release_files(); };
    steps.released = [this] { released(); };
    steps.take_back = [this](bool offered) { take_back(offered); };
    steps.receive = [this](const Json& handover_message) { receive(handover_message); };
    steps.predecessor_ended = [this] { predecessor_ended(); };
    steps.fail = [this](const std::string& why) {
        std::cerr << "lockgw: cannot go on: " << printable(why) << std::endl;
        failed_ = role_ == Role::Waiting || role_ == Role::Owner;  // A replaced process has done its work.
        io_.stop();
    };
    return steps;
}

void Forwarder::become_owner(const std::optional<Json>& offer) {
    // The listener comes first: the journal must not be touched if another program holds the address.
    clients_.open();
    open_journal();
    role_ = Role::Owner;
    std::optional<std::int64_t> known_revision;
    try {
        const EndpointList known = parse_endpoint_list(config_.known_list, max_list_entries(config_));
        apply_list(known, ListUpdateKind::Cached);
        // An entry that could not be parsed is unknown; the full list is fetched then.
        if (known.complete && known.all_entries_valid) known_revision = known.revision;
    } catch (const std::exception& bad) {
        std::cerr << "config: no known list: " << bad.what() << '\n';
    }
    if (offer) {
        const Json calls = offer->value("calls", Json::array());
        take_over(*offer, parse_inherited_calls(calls));
    } else {
        recover_messages({});
    }
    run_guarded([this] { peer_channel_.start(); });           // Messages between peers may be lost.
    discovery_.start(offer ? std::nullopt : known_revision);  // A handed-over list has no revision.
    clients_.listen();
    if (offer && offer->value("drained", false)) drain();
    // This process may have read the file before the signal that the previous one has handled.
    if (offer && offer->value("reloaded", false)) reload_pending_ = config_was_reloaded_ = true;
    if (std::exchange(reload_pending_, false)) run_guarded([this] { reload(); });
    std::cerr << (offer ? "handover: taken over\n" : "lockgw: takes clients\n");
}

/// Throws std::system_error if the journal cannot be used now; the state is unchanged then.
void Forwarder::open_journal() try {
    const auto time = std::chrono::steady_clock::now();
    const bool retried_long_enough =
        journal_unreadable_since_ && time - *journal_unreadable_since_ >= kMaxJournalReadRetryTime;
    journal_.emplace(config_.state, config_.disk_bytes,
        retried_long_enough ? Journal::OnReadError::KeepAside : Journal::OnReadError::Throw);
    journal_unreadable_since_.reset();
    clock_ = journal_->clock();
} catch (const JournalReadError&) {
    if (!journal_unreadable_since_) journal_unreadable_since_ = std::chrono::steady_clock::now();
    close_after_failed_start();
    throw;
} catch (const std::exception&) {
    journal_unreadable_since_.reset();  // The file is readable; the fault is another one.
    close_after_failed_start();
    throw;
}

void Forwarder::close_after_failed_start() {
    journal_.reset();
    if (!config_.inherited_listener) clients_.close_listener();
}

/// Each part of the offer is applied on its own, because the messages in the journal must be recovered
/// whatever fault another part contains.
void Forwarder::take_over(const Json& offer, const std::vector<HandedOverCall>& calls) {
    std::set<AttemptId> attempts;
    for (const HandedOverCall& call : calls)
        for (const auto& attempt : call.attempts) attempts.emplace(attempt.message, attempt.attempt);
    run_guarded([&] {
        for (const Json& name : offer.at("former")) directory_.remember(name.get<std::string>());
        const bool handed_over = offer.contains("list");
        if (handed_over) full_list_received_ = offer.at("whole").get<bool>();
        apply_list(handed_over ? parse_endpoint_list(offer["list"], max_list_entries(config_))
                               : EndpointList{0, true, directory_.records()},
            ListUpdateKind::Cached);
        for (const Json& member : offer.value("removed", Json::array()))
            directory_.add_removed(parse_endpoint(member));
        apply_list({0, false, directory_.removed_records()}, ListUpdateKind::Delta);
    });
    run_guarded([&] { observe_key_rests(offer.value("resting_keys", Json::array())); });
    recover_messages(attempts);
    run_guarded([&] { observe_learned_state(offer.at("learned")); });
    observe_inherited_calls(calls);
}

void Forwarder::observe_inherited_calls(const std::vector<HandedOverCall>& calls) {
    const auto time = std::chrono::steady_clock::now();
    for (const HandedOverCall& call : calls)
        run_guarded([&] {
            observe(InheritedCall{
                call.endpoint, std::chrono::duration_cast<Time>(time - call.started_at), call.attempts});
        });
}

/// Returns the active calls of the previous process, with the endpoint ids of this process.
std::vector<Forwarder::HandedOverCall> Forwarder::parse_inherited_calls(const Json& calls) {
    const auto time = std::chrono::steady_clock::now();
    std::vector<HandedOverCall> inherited;
    for (const Json& call : calls) {
        HandedOverCall inherited_call;
        inherited_call.endpoint = directory_.id_of(call.at("target").get<std::string>());
        inherited_call.started_at = time - Time(call.at("age_us").get<std::int64_t>());
        for (const Json& json : call.at("attempts")) {
            const cometspoke::InheritedAttempt attempt = parse_attempt(json);
            inherited_call.attempts.push_back(attempt);
            inherited_attempts_.emplace(AttemptId(attempt.message, attempt.attempt),
                InheritedAttempt{inherited_call.endpoint, inherited_call.started_at});
            log_.message(MessageStep::AttemptInherited, attempt.message,
                "begun_" + age_text(time - inherited_call.started_at),
                printable(call.at("target").get<std::string>()), attempt.attempt);
        }
        inherited.push_back(std::move(inherited_call));
    }
    return inherited;
}

/// The calls of this process, with the order keys that they block.
std::vector<Forwarder::HandedOverCall> Forwarder::active_calls() const {
    std::vector<HandedOverCall> calls;
    for (const EndpointCaller::ActiveCall& active : endpoint_caller_.active_calls()) {
        HandedOverCall call{active.endpoint, active.started_at, {}};
        for (const auto& [message, attempt] : active.attempts)
            call.attempts.push_back({message, attempt, sender_.key_of_attempt(message, attempt)});
        calls.push_back(std::move(call));
    }
    return calls;
}

Json Forwarder::active_calls_json() const {
    const auto time = std::chrono::steady_clock::now();
    std::set<AttemptId> listed;
    Json calls = Json::array();
    const auto add = [&](const std::string& endpoint_name, auto age,
                         const std::vector<cometspoke::InheritedAttempt>& attempts) {
        Json attempts_json = Json::array();
        for (const auto& attempt : attempts) {
            attempts_json.push_back(attempt_to_json(attempt));
            listed.emplace(attempt.message, attempt.attempt);
        }
        calls.push_back({{"target", endpoint_name}, {"age_us", std::chrono::duration_cast<Time>(age).count()},
            {"attempts", std::move(attempts_json)}});
    };
    for (const HandedOverCall& call : active_calls())
        if (const std::string* name = directory_.name_of(call.endpoint))
            add(*name, time - call.started_at, call.attempts);
    // These attempts are started and not sent; their outcomes wait for a later event-loop iteration. The
    // outcome of an attempt that comes after the end of its message is not in the journal.
    for (const auto& [id, entry] : journal_->entries()) {
        if (!entry.open_attempt || entry.attempts == 0 || entry.notice) continue;
        const std::uint32_t attempt = entry.attempts - 1;
        if (!listed.contains({id, attempt}))
            add(entry.open_attempt->endpoint, clock_.now() - entry.open_attempt->since,
                {{id, attempt, sender_.key_of_attempt(id, attempt)}});
    }
    return calls;
}

Json Forwarder::key_rests_json() const {
    Json rests = Json::array();
    for (const cometspoke::KeyRestEvent& rest : sender_.resting_keys(now()))
        rests.push_back(
            {{"key", *rest.key}, {"exempt", rest.exempt_message}, {"for_us", rest.remaining.count()}});
    return rests;
}
void Forwarder::observe_key_rests(const Json& rests) {
    for (const Json& rest : rests)
        observe(cometspoke::KeyRestEvent{rest.at("key").get<std::uint64_t>(),
            Time(rest.at("for_us").get<std::int64_t>()), rest.at("exempt").get<MessageId>()});
}

Json Forwarder::learned_state_json() const {
    Json all = Json::array();
    for (const LearnedState& state : sender_.learned_state(now())) {
        Json json{{"figures", state.values}};
        if (state.destination) json["destination"] = *state.destination;
        if (state.endpoint) {
            const std::string* name = directory_.name_of(*state.endpoint);
            if (name == nullptr) continue;
            json["target"] = *name;
        }
        all.push_back(std::move(json));
    }
    return all;
}
void Forwarder::observe_learned_state(const Json& states) {
    for (const Json& json : states) {
        LearnedState state;
        state.values = json.at("figures").get<std::map<std::string, double>>();
        if (json.contains("destination")) state.destination = json["destination"].get<std::int64_t>();
        if (json.contains("target")) {
            state.endpoint = directory_.find(json["target"].get<std::string>());
            if (!state.endpoint) continue;
        }
        observe(state);
    }
}

/// From here on nothing is decided or written. Everything can be taken back until "go" is sent to the other
/// process.
Json Forwarder::offer() {
    std::cerr << "handover: another process takes over\n";
    if (iteration_due_) run_iteration();  // Every observed message gets its reply.
    role_ = Role::Offered;
    clients_.pause();
    discovery_.suspend();
    const bool is_small = directory_.size() <= kMaxHandedOverEndpoints;
    last_offer_ = {{"former", directory_.former_names()}, {"whole", full_list_received_},
        {"learned", is_small ? learned_state_json() : Json::array()}, {"calls", active_calls_json()},
        {"drained", drained_}, {"reloaded", config_was_reloaded_}, {"removed", removed_endpoints_json()},
        {"resting_keys", key_rests_json()}};
    if (is_small) last_offer_["list"] = {{"revision", 0}, {"complete", true}, {"members", endpoints_json()}};
    return last_offer_;
}

Json Forwarder::endpoints_json() const {
    Json all = Json::array();
    for (const EndpointRecord& record : directory_.records()) all.push_back(endpoint_to_json(record));
    return all;
}

/// Endpoints that are no longer listed, but that calls, messages or a retry-after may still refer to. Of very
/// many only those with calls are handed over.
Json Forwarder::removed_endpoints_json() const {
    std::set<std::string> with_calls;
    for (const EndpointCaller::ActiveCall& call : endpoint_caller_.active_calls())
        if (const std::string* name = directory_.name_of(call.endpoint)) with_calls.insert(*name);
    const std::vector<EndpointRecord> removed = directory_.removed_records();
    const bool are_few = removed.size() <= kMaxHandedOverEndpoints;
    Json all = Json::array();
    for (const EndpointRecord& record : removed)
        if (are_few || with_calls.contains(record.id)) all.push_back(endpoint_to_json(record));
    return all;
}

void Forwarder::release_files() {
    if (!journal_->write_pending()) std::cerr << "handover: the journal lacks what could not be written\n";
    unrecorded_ends_.clear();  // The other process finds them ended, or ends them.
    journal_.reset();
    discovery_.forget_notices();
    peer_channel_.stop();
    clients_.hand_over_clients();
    endpoint_caller_.close_all_idle();
}

void Forwarder::released() {
    role_ = Role::Released;
    std::cerr << "handover: handed over\n";
    for (const RetryAfterEvent& event : take_kept_retry_afters()) share_retry_after(event);
    for (const OutcomeEvent& event : std::exchange(unreported_outcomes_, {}))
        handover_.send(to_handover_message(event));
    refuse_pending_of_left_clients();
    for (const PendingEnqueue* pending : pending_enqueues_by_arrival())
        handover_.send(to_handover_message(pending->request.message));
    for (const auto& [number, relayed] : relayed_operator_calls_)
        handover_.send(to_handover_message(number, relayed.call));
    if (reload_pending_) handover_.send(kReloadMessage);
    send_held_counts();
    linger_timer_.expires_after(kMaxLingerTime);
    linger_timer_.async_wait([this](auto cancelled) {
        if (cancelled || role_ != Role::Released) return;
        linger_expired_ = true;
        stop_if_done();
    });
    if (finishing_) clients_.drain();
}

/// The two processes share one limit: the new owner leaves room for the connections that are still held here.
void Forwarder::send_held_counts() {
    if (role_ != Role::Released) return;
    handover_.send({{"held",
        {{"clients", clients_.connection_count()}, {"calls", endpoint_caller_.active_call_count()}}}});
    stop_if_done();
    held_counts_timer_.expires_after(kHeldCountsInterval);
    held_counts_timer_.async_wait([this](auto cancelled) {
        if (!cancelled) send_held_counts();
    });
}

/// The other process has ended. If that was before "go", nothing in the folder has changed. Otherwise the
/// journal shows what the other process has done, and this process knows the calls that it has in flight.
void Forwarder::take_back(bool offered) {
    std::cerr << "handover: taken back\n";
    linger_timer_.cancel();
    held_counts_timer_.cancel();
    if (offered) {
        role_ = Role::Owner;
        observe_kept_retry_afters();
        for (const OutcomeEvent& event : std::exchange(unreported_outcomes_, {})) on_outcome(event);
        write_pending_records();
        observe(TimerFired{});
    } else {
        open_journal();
        const std::vector<HandedOverCall> calls = active_calls();
        sender_ = Sender(config_.settings, config_.seed);
        role_ = Role::Owner;
        unreported_outcomes_.clear();
        // The other process may have had calls in flight with any key. They ended with it at the latest.
        observe(cometspoke::KeyRestEvent{std::nullopt, config_.settings.ambiguous_settle_time});
        take_over(last_offer_, calls);
        apply_kept_lists();
        observe_kept_retry_afters();
        run_guarded([this] { peer_channel_.start(); });
    }
    if (!drained_ && !finishing_) clients_.set_closing_between_requests(false);
    discovery_.resume();
    run_guarded([this] { clients_.resume(); });
    if (finishing_ && drain_timer_.expiry() <= std::chrono::steady_clock::now()) clients_.drain();
    if (std::exchange(reload_pending_, false)) run_guarded([this] { reload(); });
    enqueue_pending_again();
    for (auto& [number, relayed] : std::exchange(relayed_operator_calls_, {}))
        handle_operator_call(relayed.call, relayed.reply);
}

/// The order matters to messages with one order key.
std::vector<Forwarder::PendingEnqueue*> Forwarder::pending_enqueues_by_arrival() {
    std::vector<PendingEnqueue*> sorted;
    for (auto& [id, pending] : pending_enqueues_) sorted.push_back(&pending);
    std::sort(sorted.begin(), sorted.end(),
        [](const PendingEnqueue* a, const PendingEnqueue* b) { return a->arrival < b->arrival; });
    return sorted;
}

void Forwarder::enqueue_pending_again() {
    const auto sorted = pending_enqueues_by_arrival();
    const auto kept = std::exchange(pending_enqueues_, {});  // The pointers stay valid.
    for (PendingEnqueue* pending : sorted) {
        pending->request.time_left = pending->request.message.deadline - clock_.now();
        enqueue(std::move(pending->request));
    }
}

/// A client waits for its reply only for a short time, and may then enqueue the message again.
void Forwarder::refuse_pending_of_left_clients() {
    for (auto at = pending_enqueues_.begin(); at != pending_enqueues_.end();) {
        if (!at->second.request.client_has_left()) {
            ++at;
            continue;
        }
        refuse_left_client(at->second.request);
        at = pending_enqueues_.erase(at);
    }
}

/// The reply is read by a client that has only ended its sending: handing in again is harmless.
void Forwarder::refuse_left_client(const ClientServer::Request& request) {
    log_.message(MessageStep::Refused, request.message.id, "client_left");
    request.reply(busy_reply(0ms));
}

void Forwarder::receive(const Json& handover_message) {
    if (handover_message.contains("outcome")) {
        OutcomeEvent event = parse_outcome(handover_message["outcome"]);
        const auto found = inherited_attempts_.find({event.message, event.attempt});
        if (found == inherited_attempts_.end()) return;
        event.endpoint = found->second.endpoint;
        inherited_attempts_.erase(found);
        on_outcome(event);
    } else if (handover_message.contains("list")) {
        keep_list(handover_message["list"]);
    } else if (handover_message.contains("retry_after")) {
        receive_retry_after(handover_message["retry_after"]);
    } else if (handover_message.contains("enqueue")) {
        receive_enqueue(handover_message["enqueue"]);
    } else if (handover_message.contains("answer")) {
        auto extracted = pending_enqueues_.extract(handover_message["answer"].at("id").get<MessageId>());
        if (!extracted.empty())
            extracted.mapped().request.reply(handover_message["answer"].at("text").get<std::string>());
    } else if (handover_message.contains("operate")) {
        const Json& fields = handover_message["operate"];
        const auto number = fields.at("number").get<std::uint64_t>();
        handle_operator_call({static_cast<OperatorCommand>(fields.at("order").get<int>()),
                                 fields.at("who").get<std::string>()},
            [this, number](const OperatorReply& reply) {
                handover_.send({{"verdict",
                    {{"number", number}, {"status", static_cast<int>(reply.status)}, {"text", reply.text}}}});
            });
    } else if (handover_message.contains("verdict")) {
        const Json& fields = handover_message["verdict"];
        auto extracted = relayed_operator_calls_.extract(fields.at("number").get<std::uint64_t>());
        if (extracted.empty()) return;
        const auto status = static_cast<boost::beast::http::status>(fields.at("status").get<int>());
        extracted.mapped().reply({status, fields.at("text").get<std::string>()});
    } else if (handover_message.contains("reload")) {
        if (role_ != Role::Owner) reload_pending_ = true;  // Applies if this process takes back.
        if (role_ == Role::Owner) run_guarded([this] { reload(); });
    } else if (handover_message.contains("cancel")) {
        endpoint_caller_.cancel(handover_message["cancel"].at(0).get<MessageId>(),
            handover_message["cancel"].at(1).get<std::uint32_t>());
    } else if (handover_message.contains("held")) {
        clients_.set_reserved_connections(handover_message["held"].at("clients").get<std::size_t>());
        endpoint_caller_.set_reserved_connections(handover_message["held"].at("calls").get<std::size_t>());
    }
}

/// A request that a client has sent to the previous process.
void Forwarder::receive_enqueue(const Json& json) {
    ClientServer::Request request;
    request.message = parse_message(json);
    request.time_left = request.message.deadline - clock_.now();
    request.reply = [this, id = request.message.id](const std::string& text) {
        handover_.send({{"answer", {{"id", id}, {"text", text}}}});
    };
    request.client_has_left = [] { return false; };  // The previous process has just checked it.
    enqueue(std::move(request));
}

/// The connections of the previous process have ended with it. A call of which nothing was written at the
/// handover has not run, since a replaced process writes no further calls; any other one may have run.
Outcome Forwarder::outcome_of_ended_predecessor(const AttemptId& attempt) const {
    const JournalEntry* entry = journal_->find(attempt.first);
    const bool connecting =
        entry != nullptr && entry->open_attempt && !entry->open_attempt->written && !entry->notice;
    return connecting ? Outcome::Withheld : Outcome::Cancelled;  // Neither says anything of the endpoint.
}

void Forwarder::predecessor_ended() {
    std::cerr << "handover: the process before has ended\n";
    clients_.set_reserved_connections(0);
    endpoint_caller_.set_reserved_connections(0);
    for (const auto& [attempt, call] : std::exchange(inherited_attempts_, {})) {
        OutcomeEvent event;
        event.message = attempt.first;
        event.attempt = attempt.second;
        event.endpoint = call.endpoint;
        event.outcome = outcome_of_ended_predecessor(attempt);
        event.rtt = std::chrono::duration_cast<Time>(std::chrono::steady_clock::now() - call.started_at);
        on_outcome(event);
    }
}

/// Uses the names of this configuration. Another process may have accepted the message under a different
/// configuration.
bool Forwarder::resolve_class(const Message& message, MessageEvent& event) const {
    event.key = message.order_key;
    const auto tenant = config_.names.tenants.find(message.tenant);
    if (tenant != config_.names.tenants.end()) event.tenant = tenant->second;
    const auto message_class = config_.names.classes.find(message.message_class);
    if (message_class != config_.names.classes.end())
        event.message_class = message_class->second;
    else
        event.class_settings = message.class_settings;
    return message_class != config_.names.classes.end() || event.class_settings;
}

/// Ends the attempts of a process that has ended, as far as the journal holds them open. Otherwise a later
/// handover would offer them as calls in flight, and the process that takes over would count their beginning
/// from the end of this one.
void Forwarder::end_attempts_of_ended_process(const std::set<AttemptId>& active_attempts) {
    for (const auto& [id, entry] : journal_->entries()) {
        if (!entry.open_attempt || entry.attempts == 0 || entry.notice) continue;
        if (active_attempts.contains({id, entry.attempts - 1})) continue;
        const bool never_ran = !entry.open_attempt->written;
        retry_unless_recorded(journal_->end_attempt(id, never_ran));
    }
}

/// Recovers the messages of an earlier process from the journal, with what is recorded of their attempts.
void Forwarder::recover_messages(const std::set<AttemptId>& active_attempts) {
    end_attempts_of_ended_process(active_attempts);
    const PersistentTime wall = clock_.now();
    const auto ended_ids = journal_->ended_ids();
    for (const auto& [expiry, id] : ended_ids) remember_ended(id, expiry);
    for (const JournalEntry* entry : journal_->entries_by_arrival()) {
        const Message& message = entry->message;
        const auto possible_run = entry->first_possible_run();
        log_.message(MessageStep::Recovered, message.id,
            entry->notice  ? "ended"
            : possible_run ? "may_have_run_" + age_text(wall - possible_run->since)
                           : "held",
            possible_run ? printable(possible_run->endpoint) : "", entry->attempts);
        counters().add(Counter::MessagesRecovered);
        if (entry->notice) {
            remember_ended(message.id, message.id_expiry());
            discovery_.report(message.id, *entry->notice);
            continue;
        }
        MessageEvent event;
        event.class_settings = message.class_settings;
        // Fails if the class is gone and an older version recorded the message without its settings.
        if (!resolve_class(message, event)) {
            end_message(message.id, {});
            continue;
        }
        event.message = message.id;
        event.destination = message.destination;
        event.time_left = message.deadline - wall;
        event.attempts = entry->attempts;
        event.recovered = true;
        const bool is_active =
            entry->attempts > 0 && active_attempts.contains({message.id, entry->attempts - 1});
        if (const auto first = is_active ? entry->ambiguous_attempt : entry->first_possible_run())
            event.ambiguous_attempt =
                MessageEvent::AmbiguousAttempt{wall - first->since, directory_.id_of(first->endpoint)};
        observe(event);
    }
}

/// An endpoint that was removed keeps the zone, kind and destination that were known of it: calls and
/// messages may still refer to it, and the fields of its last entry may be invalid.
void Forwarder::complete_removals(EndpointList& update) {
    for (EndpointRecord& record : update.endpoints) {
        const bool known = (record.zone.empty() || config_.names.zones.contains(record.zone)) &&
                           (record.kind.empty() || config_.names.kinds.contains(record.kind));
        if (!known) {
            std::cerr << "discovery: passed over " << printable(record.id)
                      << " of an unknown kind or place\n";
            directory_.remember(record.id);
            record.condition = Condition::Removed;
            record.has_place = false;
        }
        if (record.condition != Condition::Removed) continue;
        if (auto last_record = directory_.last_record_of(record.id)) record = std::move(*last_record);
        record.condition = Condition::Removed;
    }
}

/// Tells the previous process what discovery says, in case it has to go on alone: it must not send to
/// endpoints that are known to drain.
void Forwarder::share_list(const EndpointList& update) {
    if (!handover_.connected_to_predecessor() || update.endpoints.size() > kMaxHandedOverEndpoints) return;
    Json members = Json::array();
    for (const EndpointRecord& record : update.endpoints) members.push_back(endpoint_to_json(record));
    handover_.send({{"list", {{"revision", 0}, {"complete", update.complete}, {"members", members}}}});
}

void Forwarder::keep_list(const Json& list) {
    if (role_ != Role::Released) return;
    if (list.at("complete").get<bool>()) kept_lists_.clear();
    kept_lists_.push_back(Json::to_cbor(list));
}

void Forwarder::apply_kept_lists() {
    for (const auto& bytes : std::exchange(kept_lists_, {}))
        run_guarded([&] {
            EndpointList list = parse_endpoint_list(Json::from_cbor(bytes), max_list_entries(config_));
            const auto kind = list.complete ? ListUpdateKind::Full : ListUpdateKind::Delta;
            apply_list(std::move(list), kind);
        });
}

void Forwarder::apply_list(EndpointList update, ListUpdateKind kind) {
    complete_removals(update);
    const auto removed_ids = directory_.apply(update, std::chrono::steady_clock::now());
    for (const EndpointId endpoint : removed_ids) endpoint_caller_.remove_endpoint(endpoint);
    ListEvent event;
    event.kind = kind;
    for (const EndpointRecord& record : update.endpoints) {
        const auto endpoint = directory_.find(record.id);
        // The endpoint was removed before it was ever listed here, or is known by its name alone.
        if (!endpoint || !record.has_place) continue;
        ListEntry entry;
        // A removed endpoint may be of a zone or kind that this configuration lacks.
        const auto zone = config_.names.zones.find(record.zone);
        if (zone != config_.names.zones.end()) entry.zone = zone->second;
        const auto endpoint_kind = config_.names.kinds.find(record.kind);
        if (endpoint_kind != config_.names.kinds.end()) entry.kind = endpoint_kind->second;
        entry.endpoint = *endpoint;
        entry.destination = record.destination;
        entry.agreed_rate_per_s = record.rate;
        entry.condition = record.condition;
        if (record.condition == Condition::Ready)
            endpoint_caller_.set_address(*endpoint, record.address, entry.kind);
        if (record.condition == Condition::Draining) endpoint_caller_.close_idle(*endpoint);
        event.entries.push_back(entry);
    }
    // These events come first, because the list may add a disabled endpoint.
    for (const std::string& name : journal_->disabled_endpoints())
        if (const auto endpoint = directory_.find(name)) observe(AdminDisableEvent{*endpoint, true});
    observe(event);
}

/// While the process is being replaced, requests wait for the next owner with their bodies.
bool Forwarder::has_room_for_pending(const Message& message) const {
    std::size_t bytes = message.body.size();
    for (const auto& [id, pending] : pending_enqueues_) bytes += pending.request.message.body.size();
    return bytes <= config_.memory_bytes / kPendingEnqueuesMemoryDivisor;
}

/// Both clients get the reply of a request whose id is pending already. Returns false if it is not.
bool Forwarder::merge_with_pending(ClientServer::Request& request) {
    const auto found = pending_enqueues_.find(request.message.id);
    if (found == pending_enqueues_.end()) return false;
    ClientServer::Request& first = found->second.request;
    first.reply = [first = std::move(first.reply), second = std::move(request.reply)](
                      const std::string& text) {
        first(text);
        second(text);
    };
    first.client_has_left = [first = std::move(first.client_has_left),
                                second = std::move(request.client_has_left)] { return first() && second(); };
    return true;
}

void Forwarder::hold_as_pending(ClientServer::Request request) {
    const MessageId id = request.message.id;
    pending_enqueues_.emplace(id, PendingEnqueue{std::move(request), ++enqueue_count_});
}

/// Returns the reply to a request that is not accepted, whatever the decision module would say of it.
std::optional<std::string> Forwarder::refusal_of(const Message& message) const {
    if (!directory_.has_destination(message.destination, std::chrono::steady_clock::now()) &&
        !directory_.empty())
        return full_list_received_ ? resp::error("ERR unknown destination") : busy_reply(kFullRetryAfter);
    if (journal_->open_message_count() + pending_enqueues_.size() >= config_.settings.max_held_messages)
        return busy_reply(kFullRetryAfter);
    return std::nullopt;
}

void Forwarder::enqueue(ClientServer::Request request) {
    if (merge_with_pending(request)) return;
    const Message& message = request.message;
    // A client that lost its connection enqueues the same id again; the message is already held or has ended.
    if (role_ == Role::Owner && (journal_->find(message.id) != nullptr || ended_ids_.contains(message.id)))
        return request.reply(resp::simple("OK"));
    if (request.client_has_left()) return refuse_left_client(request);
    if (!has_room_for_pending(message)) return request.reply(busy_reply(kFullRetryAfter));
    if (role_ != Role::Owner) {  // The reply comes from the next owner.
        if (role_ == Role::Released) handover_.send(to_handover_message(message));
        return hold_as_pending(std::move(request));
    }
    if (const auto refusal = refusal_of(message)) return request.reply(*refusal);
    MessageEvent event;
    event.message = message.id;
    event.destination = message.destination;
    resolve_class(message, event);
    event.time_left = request.time_left;
    hold_as_pending(std::move(request));
    observe(event);
}

/// A retry-after whose call has no outcome yet, or had one before.
void Forwarder::on_retry_after(const RetryAfterEvent& event) {
    share_retry_after(event);
    observe(event);
}

/// Binds both processes of a handover: the calls of either may bring a retry-after, and whichever process
/// goes on alone must heed it.
void Forwarder::share_retry_after(const RetryAfterEvent& event) {
    if (event.retry_after <= Time(0)) return;
    if (role_ != Role::Owner) keep_retry_after(event);
    const std::string* endpoint_name = directory_.name_of(event.endpoint);
    if (role_ != Role::Offered && endpoint_name != nullptr)
        handover_.send(to_handover_message(*endpoint_name, event.retry_after));
}

void Forwarder::keep_retry_after(const RetryAfterEvent& event) {
    auto& until = kept_retry_afters_[event.endpoint];
    until = std::max(until, std::chrono::steady_clock::now() + event.retry_after);
}

void Forwarder::receive_retry_after(const Json& fields) {
    const auto endpoint = directory_.find(fields.at("target").get<std::string>());
    if (!endpoint) return;
    const RetryAfterEvent event{*endpoint, Time(fields.at("for_us").get<std::int64_t>())};
    role_ == Role::Owner ? observe(event) : keep_retry_after(event);
}

std::vector<RetryAfterEvent> Forwarder::take_kept_retry_afters() {
    const auto time = std::chrono::steady_clock::now();
    std::vector<RetryAfterEvent> events;
    for (const auto& [endpoint, until] : std::exchange(kept_retry_afters_, {}))
        if (until > time) events.push_back({endpoint, std::chrono::ceil<Time>(until - time)});
    return events;
}

void Forwarder::observe_kept_retry_afters() {
    for (const RetryAfterEvent& event : take_kept_retry_afters()) observe(event);
}

void Forwarder::on_outcome(const OutcomeEvent& event) {
    share_retry_after({event.endpoint, event.retry_after});
    if (role_ == Role::Offered) return unreported_outcomes_.push_back(event);
    if (role_ == Role::Released) return handover_.send(to_handover_message(event)), stop_if_done();
    const JournalEntry* entry = journal_->find(event.message);
    const std::string* endpoint_name = directory_.name_of(event.endpoint);
    log_.message(MessageStep::AttemptEnded, event.message, outcome_name(event.outcome),
        endpoint_name != nullptr ? printable(*endpoint_name) : "", event.attempt);
    if (entry != nullptr && !entry->notice) {
        if (event.terminal)
            on_delivered(*entry, event.outcome);
        else if (event.outcome == Outcome::Withheld)
            retry_unless_recorded(journal_->withdraw_attempt(event.message));
        else
            retry_unless_recorded(journal_->end_attempt(event.message, proves_never_ran(event.outcome)));
    }
    observe(event);
    stop_if_done();
}

/// The platform counts the time of a message from when its client sent it, the forwarder from when it read
/// it. The platform ignores a response that comes between the two deadlines, so such a message is reported as
/// dead; a notice for a message that has already ended is harmless.
void Forwarder::on_delivered(const JournalEntry& entry, Outcome outcome) {
    if (outcome == Outcome::Delivered && entry.message.deadline - clock_.now() <= kMaxRequestReadDelay) {
        counters().add(Counter::LateDeliveries);
        return end_message(entry.message.id, {});
    }
    remember_ended(entry.message.id, entry.message.id_expiry());
    retry_unless_recorded(journal_->delivered(entry.message.id));
}

/// All events of one event-loop iteration are observed before the single decision on them.
void Forwarder::observe(const Event& event) {
    if (role_ != Role::Owner) return;
    sender_.observe(event, now());
    if (std::exchange(iteration_due_, true)) return;
    asio::post(io_, [this] { run_iteration(); });
}

void Forwarder::run_iteration() {
    if (!std::exchange(iteration_due_, false) || role_ != Role::Owner) return;
    check_wall_clock();
    const std::vector<Action> actions = sender_.decide(now());
    reply_to_pending_enqueues(actions);
    std::vector<OutgoingAttempt> attempts;  // Attempts to one endpoint may share a call.
    for (const Action& action : actions)
        if (const auto* send = std::get_if<Send>(&action))
            run_guarded([&] { start_attempt(*send, attempts); });
    bool sent = false;
    for (const Action& action : actions) {
        if (!std::holds_alternative<Send>(action))
            run_guarded([&] { std::visit([this](const auto& chosen) { carry_out(chosen); }, action); });
        else if (!std::exchange(sent, true))
            run_guarded([&] { endpoint_caller_.start(std::move(attempts)); });
    }
}

/// Logs exceptions: a fault in one action must not prevent the other actions of the iteration, above all not
/// the timer.
template <class Step>
void Forwarder::run_guarded(Step step) try {
    step();
} catch (const std::exception& fault) {
    std::cerr << "lockgw: " << fault.what() << '\n';
}

/// Runs before any call is sent, because a message counts as delivered only if its client has received the
/// reply that it was accepted.
void Forwarder::reply_to_pending_enqueues(const std::vector<Action>& actions) {
    std::map<MessageId, std::string> ends;
    for (const Action& action : actions) {
        if (const auto* refuse = std::get_if<Refuse>(&action))
            ends.emplace(
                refuse->message, busy_reply(std::chrono::duration_cast<milliseconds>(refuse->retry_after)));
        else if (const auto* fail = std::get_if<Fail>(&action))
            ends.emplace(fail->message, resp::error("ERR out of time"));
    }
    const auto sorted = pending_enqueues_by_arrival();
    const auto kept = std::exchange(pending_enqueues_, {});  // The pointers stay valid.
    for (const PendingEnqueue* pending : sorted)
        run_guarded([&] {
            const MessageId id = pending->request.message.id;
            const auto end = ends.find(id);
            if (end != ends.end()) log_.message(MessageStep::Refused, id, "decision");
            pending->request.reply(end != ends.end() ? end->second : accept_message(pending->request));
        });
}

/// A step of the wall clock has no effect here. It is logged because it explains the times in logs.
void Forwarder::check_wall_clock() {
    const auto offset = wall_clock_offset();
    const auto step = offset - std::exchange(clock_offset_, offset);
    if (std::chrono::abs(step) < kMinLoggedClockStep) return;
    counters().add(Counter::ClockSteps);
    std::cerr << "lockgw: the wall clock was stepped by " << step.count() / 1000 << " ms\n";
}

std::string Forwarder::accept_message(const ClientServer::Request& request) {
    const MessageId id = request.message.id;
    const bool client_has_left = request.client_has_left();
    if (!client_has_left && journal_->accept(request.message)) {
        log_.message(MessageStep::Accepted, id);
        return resp::simple("OK");
    }
    log_.message(MessageStep::Refused, id, client_has_left ? "client_left" : "journal");
    observe(AbandonedEvent{id});
    return busy_reply(client_has_left ? 0ms : kFullRetryAfter);
}

/// Records the attempt in the journal before it is sent, because after a crash it may have run.
void Forwarder::start_attempt(const Send& send, std::vector<OutgoingAttempt>& attempts) {
    const std::string* endpoint_name = directory_.name_of(send.endpoint);
    const JournalEntry* entry = journal_->find(send.message);
    const std::uint32_t attempt = entry != nullptr ? entry->attempts : 0;
    if (entry == nullptr || endpoint_name == nullptr ||
        !journal_->start_attempt(send.message, *endpoint_name, clock_.now())) {
        OutcomeEvent event;
        event.message = send.message;
        event.endpoint = send.endpoint;
        event.attempt = attempt;
        event.outcome = Outcome::Withheld;  // A local lack of resources does not count as an attempt.
        return observe(event);
    }
    log_.message(MessageStep::AttemptStarted, send.message, {}, printable(*endpoint_name), attempt);
    attempts.push_back({send.message, send.endpoint, attempt, entry->message.key, entry->message.body,
        send.timeout, send.start_within, entry->message.deadline});
}
void Forwarder::carry_out(const CancelAttempt& cancel) {
    if (inherited_attempts_.contains({cancel.message, cancel.attempt}))
        return handover_.send({{"cancel", {cancel.message, cancel.attempt}}});
    endpoint_caller_.cancel(cancel.message, cancel.attempt);
}
void Forwarder::carry_out(const Refuse& refuse) {
    end_message(refuse.message, {true, std::chrono::duration_cast<milliseconds>(refuse.retry_after)});
}
void Forwarder::carry_out(const Fail& fail) { end_message(fail.message, {}); }
void Forwarder::carry_out(const SetTimer& timer) {
    decision_timer_.expires_after(timer.delay);
    decision_timer_.async_wait([this](auto cancelled) {
        if (!cancelled) observe(TimerFired{});
    });
}
void Forwarder::carry_out(const CloseIdle& close) { endpoint_caller_.close_idle(close.endpoint); }
void Forwarder::carry_out(const ReleaseEndpoint& release) { directory_.forget(release.endpoint); }
void Forwarder::carry_out(const SendToPeers& send) { peer_channel_.send(send.to, send.bytes); }
void Forwarder::carry_out(const Log& log) { std::cerr << log.text << '\n'; }

/// Records the end of the message before the platform is notified, because a crash in between must not bring
/// back a message that has ended. If the record cannot be written, the notice waits for it, until the
/// deadline of the message at most: after the deadline no process sends the message any more, and the notice
/// is due.
void Forwarder::end_message(MessageId id, const EndNotice& notice) {
    const JournalEntry* entry = journal_->find(id);
    if (entry == nullptr) return;  // Its client has received the reply.
    log_.message(MessageStep::Ended, id, notice.bounced ? "bounced" : "dead");
    remember_ended(id, entry->message.id_expiry());
    if (journal_->end(id, notice)) return discovery_.report(id, notice);
    counters().add(Counter::JournalEndsDelayed);
    unrecorded_ends_.insert(id);
    write_pending_records();
}

/// The next process would repeat what is not recorded, so the write is retried by a timer even if nothing
/// else happens.
void Forwarder::retry_unless_recorded(bool recorded) {
    if (recorded || std::exchange(write_retry_due_, true)) return;
    write_retry_timer_.expires_after(kJournalWriteRetryInterval);
    write_retry_timer_.async_wait([this](auto) {
        write_retry_due_ = false;
        write_pending_records();
    });
}

void Forwarder::write_pending_records() {
    if (role_ != Role::Owner) return;
    const bool recorded = journal_->write_pending();
    report_recorded_ends(recorded);
    retry_unless_recorded(recorded);
    if (recorded) stop_if_done();
}

void Forwarder::report_recorded_ends(bool recorded) {
    const PersistentTime now = clock_.now();
    std::erase_if(unrecorded_ends_, [&](MessageId id) {
        const JournalEntry* entry = journal_->find(id);
        if (entry != nullptr && !recorded && entry->message.deadline > now) return false;
        if (entry != nullptr && entry->notice) discovery_.report(id, *entry->notice);
        return true;
    });
}

/// An id is enqueued again by a client that lost its connection, and by clients that copy the id of another
/// message.
void Forwarder::remember_ended(MessageId ended, PersistentTime expiry) {
    const PersistentTime now = clock_.now();
    journal_->forget_ended_ids(now);
    ended_ids_.expire(now);
    ended_ids_.insert(ended, expiry);
}

void Forwarder::handle_operator_call(const OperatorCall& call, const Management::Reply& reply) {
    if (call.command == OperatorCommand::Counters)
        return reply({boost::beast::http::status::ok, counters().text()});
    const bool replaced = role_ == Role::Offered || role_ == Role::Released;
    if (call.command == OperatorCommand::Ready || !replaced) return reply(execute_operator_call(call));
    relayed_operator_calls_.emplace(++last_relay_number_, RelayedOperatorCall{call, reply});
    if (role_ == Role::Released) handover_.send(to_handover_message(last_relay_number_, call));
}

OperatorReply Forwarder::execute_operator_call(const OperatorCall& call) {
    using boost::beast::http::status;
    if (role_ == Role::Waiting) return {status::service_unavailable, "waits for the process before it"};
    switch (call.command) {
        case OperatorCommand::Ready:
            if (drained_ || finishing_ || !clients_.listening())
                return {status::service_unavailable, drained_ ? "drained" : "takes no clients"};
            return {status::ok, "ready"};
        case OperatorCommand::Disable:
        case OperatorCommand::Enable:
            return set_endpoint_disabled(call.endpoint, call.command == OperatorCommand::Disable);
        case OperatorCommand::Counters:
            break;  // It needs no owner, and handle_operator_call() has replied.
        case OperatorCommand::Drain:
            drain();
            return {status::ok, "draining"};
        case OperatorCommand::Undrain:
            undrain();
            return {status::ok, "takes clients again"};
    }
    return {status::not_found, "no such call"};
}

/// Recorded before it takes effect, because what was confirmed to operators must outlast the process.
OperatorReply Forwarder::set_endpoint_disabled(const std::string& name, bool disabled) {
    using boost::beast::http::status;
    if (!journal_->disabled_endpoints().contains(name) && !directory_.ever_listed(name))
        return {status::not_found, "no list has named " + printable(name)};
    if (!journal_->set_endpoint_disabled(name, disabled))
        return {status::service_unavailable, "no room to keep it"};
    std::cerr << "operators: " << printable(name) << (disabled ? " is out\n" : " is used again\n");
    if (const auto endpoint = directory_.find(name)) observe(AdminDisableEvent{*endpoint, disabled});
    return {status::ok, disabled ? "out" : "in use"};
}

void Forwarder::drain() {
    if (std::exchange(drained_, true)) return;
    std::cerr << "operators: drain\n";
    clients_.set_unready(true);
    client_close_timer_.expires_after(kDrainStartDelay);
    client_close_timer_.async_wait([this](auto cancelled) {
        if (!cancelled && drained_ && client_close_timer_.expiry() <= std::chrono::steady_clock::now())
            clients_.set_closing_between_requests(true);
    });
}

void Forwarder::undrain() {
    if (!std::exchange(drained_, false)) return;
    std::cerr << "operators: takes clients again\n";
    client_close_timer_.cancel();
    clients_.set_unready(false);
    if (!finishing_) clients_.set_closing_between_requests(false);
}

void Forwarder::reload() {
    if (role_ != Role::Owner) {  // The next owner reads it.
        reload_pending_ = true;
        if (role_ == Role::Released) handover_.send(kReloadMessage);
        return;
    }
    config_was_reloaded_ = true;
    if (handover_.connected_to_predecessor()) handover_.send(kReloadMessage);
    Config fresh = limit_calls_to_descriptors(config_of_environment(&config_));
    fresh.settings.max_calls = std::min(fresh.settings.max_calls, endpoint_caller_.max_connections());
    observe(SettingsEvent{fresh.settings});  // First, because it throws if the settings are invalid.
    config_.settings = std::move(fresh.settings);
    // Entries that were skipped because of an unknown name are sent again only in a full list.
    const bool more_names = fresh.names.zones.size() > config_.names.zones.size() ||
                            fresh.names.kinds.size() > config_.names.kinds.size();
    config_.names = std::move(fresh.names);
    config_.connect_timeout = fresh.connect_timeout;
    config_.load_reports = fresh.load_reports;
    config_.json = std::move(fresh.json);
    discovery_.move_to(fresh.discovery, more_names);
}

void Forwarder::finish() {
    if (std::exchange(finishing_, true)) return;
    if (role_ == Role::Waiting) return io_.stop();
    drain_timer_.expires_after(role_ == Role::Released ? 0ms : kDrainStartDelay);
    drain_timer_.async_wait([this](auto) {
        // The end of the handover, whichever way it goes, continues the shutdown.
        if (role_ == Role::Offered) return;
        clients_.drain();
        stop_if_done();
    });
    exit_timer_.expires_after(kMaxShutdownTime);
    exit_timer_.async_wait([this](auto) { io_.stop(); });
}

/// Stops the loop once no message or notice is open and no client is connected.
void Forwarder::stop_if_done() {
    if (role_ == Role::Released) {
        if ((finishing_ || linger_expired_) && clients_.empty() && endpoint_caller_.active_call_count() == 0)
            io_.stop();
        return;
    }
    if (role_ == Role::Owner && finishing_ && drain_timer_.expiry() <= std::chrono::steady_clock::now() &&
        clients_.empty() && journal_->entries().empty() && journal_->up_to_date() &&
        inherited_attempts_.empty())
        io_.stop();
}

}  // namespace lockgw
