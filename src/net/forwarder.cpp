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

constexpr auto kHandOver = 450ms;   // new connections come for 0.4 s after SIGTERM
constexpr auto kDrainFor = 3400ms;  // SIGKILL comes 3.7 s after it
// A client closes its connection when it has waited so long for its answer: no request that counts was read
// later.
constexpr auto kLongestUnread = 400ms;
constexpr auto kClockStep = 1s;          // a smaller one is an adjustment
constexpr auto kUnreadableFor = 5s;      // a journal is tried to be read for so long at a start
constexpr auto kCatchUpAgain = 20ms;     // until a journal that lacks something is tried again
constexpr auto kRoomWait = 1000ms;       // when there is no room, some is likely to be free so much later
constexpr auto kTellHeld = 100ms;        // how often the new owner is told what is still held here,
constexpr auto kLinger = 10s;            // and for how long, where no signal ends this process
constexpr std::size_t kLeastOther = 32;  // descriptors beside clients and targets,
constexpr std::size_t kMostOther = 80;   // those of operators and of a second process among them
// Targets that are handed over by name: more take longer than the process that takes over waits, and the
// agent tells them at once.
constexpr std::size_t kMostHandedOver = 20'000;

Time now() { return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now().time_since_epoch()); }

std::size_t other_descriptors(const Config& config) {
    return std::clamp(config.max_descriptors / 3, kLeastOther, kMostOther);
}
/// As many as there are calls out, and some that rest between calls; never more than clients leave.
std::size_t most_target_connections(const Config& config) {
    const std::size_t wanted = std::max(config.max_descriptors / 4, config.settings.max_calls * 3 / 2);
    return std::min(wanted, (config.max_descriptors - other_descriptors(config)) / 2);
}
std::size_t most_client_connections(const Config& config) {
    return config.max_descriptors - most_target_connections(config) - other_descriptors(config);
}

std::size_t most_entries(const Config& config) {
    return list_limits(config.memory_bytes, config.max_descriptors).entries;
}

/// The module must not count on more calls than there are descriptors for.
Config within_descriptors(Config config) {
    config.settings.max_calls = std::min(config.settings.max_calls, most_target_connections(config));
    return config;
}

std::string busy(milliseconds wait) {
    return resp::error(wait > 0ms ? "BUSY " + std::to_string(wait.count()) : "BUSY");
}

/// As one line of the log.
std::string plain(std::string text) {
    for (char& letter : text)
        if (letter < ' ' || letter > '~') letter = '?';
    return text;
}

// What two processes tell each other.

Json member_of(const EndpointRecord& target) {
    const char* phase = target.condition == Condition::Ready ? "in_service" : "terminating";
    return {{"id", target.id}, {"host_port", text_of(target.address)}, {"locality", target.zone},
        {"flavor", target.kind}, {"cell", target.destination}, {"phase", phase}, {"size", target.rate}};
}
Json note_of(const OutcomeEvent& event) {
    Json told{{"message", event.message}, {"attempt", event.attempt},
        {"outcome", static_cast<int>(event.outcome)}, {"terminal", event.terminal},
        {"rtt_us", event.rtt.count()}, {"wait_us", event.retry_after.count()}};
    if (event.report) told["report"] = {event.report->remaining_share, event.report->limit_per_s};
    return {{"outcome", told}};
}
OutcomeEvent outcome_of(const Json& told) {
    OutcomeEvent event;
    event.message = told.at("message").get<MessageId>();
    event.attempt = told.at("attempt").get<std::uint32_t>();
    event.outcome = static_cast<Outcome>(told.at("outcome").get<int>());
    event.terminal = told.at("terminal").get<bool>();
    event.rtt = Time(told.at("rtt_us").get<std::int64_t>());
    event.retry_after = Time(told.at("wait_us").get<std::int64_t>());
    if (told.contains("report"))
        event.report = LoadReport{told["report"].at(0).get<double>(), told["report"].at(1).get<double>()};
    return event;
}
/// As the journal keeps it: its texts may hold any bytes, and its class goes along.
Json note_of(const Message& message) {
    const std::string record = serialize_message(message);
    return {{"enqueue", Json::binary({record.begin(), record.end()})}};
}
Message message_of(const Json& told) {
    const auto& bytes = told.get_binary();
    return parse_message_record({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}
Json note_of(std::uint64_t number, const OperatorCall& call) {
    return {
        {"operate", {{"number", number}, {"order", static_cast<int>(call.command)}, {"who", call.endpoint}}}};
}

const Json kReload{{"reload", true}};

std::string_view name_of(Outcome outcome) {
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
      config_(within_descriptors(std::move(config))),
      sender_(config_.settings, config_.seed),
      targets_(
          io, config_, most_target_connections(config_),
          [this](MessageId id, std::uint32_t attempt) {
              // where another process decides, it may have been told what is not known here
              return role_ == Role::Owner && sender_.may_start(id, attempt, now()) &&
                     journal_->mark_attempt_written(id);
          },
          [this](const RetryAfterEvent& told) { observe(told); },
          [this](const OutcomeEvent& event) { outcome(event); }),
      discovery_(
          io, config_, directory_,
          [this](const EndpointList& told) {
              if (!told.has_more_batches) whole_list_ = true;  // changes build on one
              list(told, told.complete ? ListUpdateKind::Full : ListUpdateKind::Delta);
          },
          [this](MessageId id) {
              if (role_ != Role::Owner) return;  // another process tells it again: that does no harm
              log_.message(MessageStep::NoticeConfirmed, id);
              on_record(journal_->confirm_notice(id));
              stop_if_done();
          }),
      peers_(io, config_, [this](const PeerMessage& note) { observe(note); }),
      clients_(
          io, config_, clock_, most_client_connections(config_),
          [this](Message message, Time left, ClientServer::Reply answer) {
              enqueue(std::move(message), left, std::move(answer));
          },
          [this] { asio::post(io_, [this] { stop_if_done(); }); }),
      management_(
          io, [this](const OperatorCall& call, const Management::Reply& answer) { operate(call, answer); }),
      handover_(io, config_.state, handover_steps()),
      timer_(io),
      send_off_(io),
      finish_step_(io),
      finish_end_(io),
      held_pause_(io),
      linger_(io),
      catch_up_again_(io),
      clock_offset_(wall_clock_offset()) {}

void Forwarder::start() {
    if (config_.management) management_.listen(*config_.management);
    handover_.claim();
}

Handover::Steps Forwarder::handover_steps() {
    Handover::Steps steps;
    steps.own = [this](const std::optional<Json>& offer) { own(offer); };
    steps.offer = [this] { return offer(); };
    steps.let_go = [this] { let_go(); };
    steps.released = [this] { released(); };
    steps.take_back = [this](bool offered) { take_back(offered); };
    steps.told = [this](const Json& note) { told(note); };
    steps.left = [this] { predecessor_left(); };
    steps.lost = [this](const std::string& why) {
        std::cerr << "lockgw: cannot go on: " << plain(why) << std::endl;
        failed_ = role_ == Role::Waiting || role_ == Role::Owner;  // one that was replaced has done its work
        io_.stop();
    };
    return steps;
}

void Forwarder::own(const std::optional<Json>& offer) {
    clients_.open();  // first: where another program has the address, its journal must not be touched
    open_journal();
    role_ = Role::Owner;
    std::optional<std::int64_t> held;
    try {
        const EndpointList known = parse_endpoint_list(config_.known_list, most_entries(config_));
        list(known, ListUpdateKind::Cached);
        // an entry that could not be read is not known: then the whole list is asked for
        if (known.complete && known.all_entries_valid) held = known.revision;
    } catch (const std::exception& bad) {
        std::cerr << "config: no known list: " << bad.what() << '\n';
    }
    if (offer) {
        const Json calls = offer->value("calls", Json::array());
        adopt(*offer, out_elsewhere(calls));
    } else {
        take_up({});
    }
    guarded([this] { peers_.start(); });            // notes between peers may be lost
    discovery_.start(offer ? std::nullopt : held);  // the list that was handed over has no revision here
    clients_.listen();
    if (offer && offer->value("drained", false)) drain();
    if (std::exchange(reload_due_, false)) guarded([this] { reload(); });
    std::cerr << (offer ? "handover: taken over\n" : "lockgw: takes clients\n");
}

/// Throws std::system_error where it cannot be used now; all is as before then.
void Forwarder::open_journal() try {
    const auto time = std::chrono::steady_clock::now();
    const bool tried_long = unreadable_since_ && time - *unreadable_since_ >= kUnreadableFor;
    journal_.emplace(config_.state, config_.disk_bytes,
        tried_long ? Journal::OnReadError::KeepAside : Journal::OnReadError::Throw);
    unreadable_since_.reset();
    clock_ = journal_->clock();
} catch (const JournalReadError&) {
    if (!unreadable_since_) unreadable_since_ = std::chrono::steady_clock::now();
    close_after_failed_start();
    throw;
} catch (const std::exception&) {
    unreadable_since_.reset();  // it has been read, and something else is amiss
    close_after_failed_start();
    throw;
}

void Forwarder::close_after_failed_start() {
    journal_.reset();
    if (!config_.inherited_listener) clients_.close_listener();
}

/// Each part by itself: whatever one of them holds, the journal's messages must be taken up.
void Forwarder::adopt(const Json& offer, const std::vector<EndpointCaller::ActiveCall>& out) {
    std::set<AttemptId> attempts;
    for (const EndpointCaller::ActiveCall& call : out)
        attempts.insert(call.attempts.begin(), call.attempts.end());
    guarded([&] {
        for (const Json& name : offer.at("former")) directory_.remember(name.get<std::string>());
        const bool handed_over = offer.contains("list");
        if (handed_over) whole_list_ = offer.at("whole").get<bool>();
        list(handed_over ? parse_endpoint_list(offer["list"], most_entries(config_))
                         : EndpointList{0, true, directory_.records()},
            ListUpdateKind::Cached);
    });
    take_up(attempts);
    guarded([&] { learn(offer.at("learned")); });
    hand_calls_on(out);
}

void Forwarder::hand_calls_on(const std::vector<EndpointCaller::ActiveCall>& out) {
    const auto time = std::chrono::steady_clock::now();
    for (const EndpointCaller::ActiveCall& call : out)
        guarded([&] {
            observe(InheritedCall{
                call.endpoint, std::chrono::duration_cast<Time>(time - call.started_at), call.attempts});
        });
}

/// The calls that the process before has out, under the numbers that their targets have here.
std::vector<EndpointCaller::ActiveCall> Forwarder::out_elsewhere(const Json& calls) {
    const auto time = std::chrono::steady_clock::now();
    std::vector<EndpointCaller::ActiveCall> all;
    for (const Json& call : calls) {
        EndpointCaller::ActiveCall out;
        out.endpoint = directory_.id_of(call.at("target").get<std::string>());
        out.started_at = time - Time(call.at("age_us").get<std::int64_t>());
        for (const Json& attempt : call.at("attempts")) {
            out.attempts.emplace_back(attempt.at(0).get<MessageId>(), attempt.at(1).get<std::uint32_t>());
            elsewhere_.emplace(out.attempts.back(), Elsewhere{out.endpoint, out.started_at});
        }
        all.push_back(std::move(out));
    }
    return all;
}

Json Forwarder::calls_out() const {
    const auto time = std::chrono::steady_clock::now();
    std::set<AttemptId> told;
    Json calls = Json::array();
    const auto add = [&](const std::string& target, auto age, const std::vector<AttemptId>& attempts) {
        calls.push_back({{"target", target}, {"age_us", std::chrono::duration_cast<Time>(age).count()},
            {"attempts", attempts}});
        told.insert(attempts.begin(), attempts.end());
    };
    for (const EndpointCaller::ActiveCall& call : targets_.active_calls())
        if (const std::string* name = directory_.name_of(call.endpoint))
            add(*name, time - call.started_at, call.attempts);
    // begun and not sent: the outcome waits for its turn in the loop
    for (const auto& [id, entry] : journal_->entries())
        if (entry.open_attempt && entry.attempts > 0 && !told.contains({id, entry.attempts - 1}))
            add(entry.open_attempt->endpoint, Time(0), {{id, entry.attempts - 1}});
    return calls;
}

Json Forwarder::learned() const {
    Json all = Json::array();
    for (const LearnedState& one : sender_.learned_state(now())) {
        Json line{{"figures", one.values}};
        if (one.destination) line["destination"] = *one.destination;
        if (one.endpoint) {
            const std::string* name = directory_.name_of(*one.endpoint);
            if (name == nullptr) continue;
            line["target"] = *name;
        }
        all.push_back(std::move(line));
    }
    return all;
}
void Forwarder::learn(const Json& learned) {
    for (const Json& line : learned) {
        LearnedState one;
        one.values = line.at("figures").get<std::map<std::string, double>>();
        if (line.contains("destination")) one.destination = line["destination"].get<std::int64_t>();
        if (line.contains("target")) {
            one.endpoint = directory_.find(line["target"].get<std::string>());
            if (!one.endpoint) continue;
        }
        observe(one);
    }
}

/// Nothing is decided or written from here on; all of it can be taken back until the other one is told go.
Json Forwarder::offer() {
    std::cerr << "handover: another process takes over\n";
    if (turn_due_) turn();  // who has been observed gets an answer
    role_ = Role::Offered;
    clients_.pause();
    discovery_.suspend();
    const bool few = directory_.size() <= kMostHandedOver;
    offer_ = {{"former", directory_.former_names()}, {"whole", whole_list_},
        {"learned", few ? learned() : Json::array()}, {"calls", calls_out()}, {"drained", drained_}};
    if (few) offer_["list"] = {{"revision", 0}, {"complete", true}, {"members", members()}};
    return offer_;
}

Json Forwarder::members() const {
    Json all = Json::array();
    for (const EndpointRecord& target : directory_.records()) all.push_back(member_of(target));
    return all;
}

void Forwarder::let_go() {
    if (!journal_->write_pending()) std::cerr << "handover: the journal lacks what could not be written\n";
    unkept_ends_.clear();  // the other process finds them ended, or ends them
    journal_.reset();
    discovery_.forget_notices();
    peers_.stop();
    clients_.hand_over_clients();
    targets_.close_all_idle();
}

void Forwarder::released() {
    role_ = Role::Released;
    std::cerr << "handover: handed over\n";
    for (const OutcomeEvent& event : std::exchange(outcomes_, {})) handover_.tell(note_of(event));
    for (const auto& [id, newcomer] : newcomers_) handover_.tell(note_of(newcomer.message));
    for (const auto& [number, one] : relayed_) handover_.tell(note_of(number, one.call));
    if (reload_due_) handover_.tell(kReload);
    tell_held();
    linger_.expires_after(kLinger);
    linger_.async_wait([this](auto cancelled) {
        if (cancelled || role_ != Role::Released) return;
        lingered_ = true;
        stop_if_done();
    });
    if (finishing_) clients_.drain();
}

/// The two count as one: the new owner leaves room for what is still held here.
void Forwarder::tell_held() {
    if (role_ != Role::Released) return;
    handover_.tell(
        {{"held", {{"clients", clients_.connection_count()}, {"calls", targets_.active_call_count()}}}});
    stop_if_done();
    held_pause_.expires_after(kTellHeld);
    held_pause_.async_wait([this](auto cancelled) {
        if (!cancelled) tell_held();
    });
}

/// The other process has gone. Before go nothing has changed in the folder; after it the journal says what
/// the other one has done, and the calls that are out here are known here.
void Forwarder::take_back(bool offered) {
    std::cerr << "handover: taken back\n";
    linger_.cancel();
    held_pause_.cancel();
    if (offered) {
        role_ = Role::Owner;
        for (const OutcomeEvent& event : std::exchange(outcomes_, {})) outcome(event);
        catch_up();
        observe(TimerFired{});
    } else {
        open_journal();
        sender_ = Sender(config_.settings, config_.seed);
        role_ = Role::Owner;
        outcomes_.clear();
        adopt(offer_, targets_.active_calls());
        guarded([this] { peers_.start(); });
    }
    if (!drained_ && !finishing_) clients_.set_closing_between_requests(false);
    discovery_.resume();
    guarded([this] { clients_.resume(); });
    if (finishing_ && finish_step_.expiry() <= std::chrono::steady_clock::now()) clients_.drain();
    if (std::exchange(reload_due_, false)) guarded([this] { reload(); });
    enqueue_here_again();
    for (auto& [number, one] : std::exchange(relayed_, {})) operate(one.call, one.answer);
}

void Forwarder::enqueue_here_again() {
    for (auto& [id, newcomer] : std::exchange(newcomers_, {})) {
        const Time left = newcomer.message.deadline - clock_.now();
        enqueue(std::move(newcomer.message), left, std::move(newcomer.answer));
    }
}

void Forwarder::told(const Json& note) {
    if (note.contains("outcome")) {
        OutcomeEvent event = outcome_of(note["outcome"]);
        const auto found = elsewhere_.find({event.message, event.attempt});
        if (found == elsewhere_.end()) return;
        event.endpoint = found->second.endpoint;
        elsewhere_.erase(found);
        outcome(event);
    } else if (note.contains("enqueue")) {
        Message message = message_of(note["enqueue"]);
        const Time left = message.deadline - clock_.now();
        const MessageId id = message.id;
        enqueue(std::move(message), left, [this, id](const std::string& text) {
            handover_.tell({{"answer", {{"id", id}, {"text", text}}}});
        });
    } else if (note.contains("answer")) {
        auto asked = newcomers_.extract(note["answer"].at("id").get<MessageId>());
        if (!asked.empty()) asked.mapped().answer(note["answer"].at("text").get<std::string>());
    } else if (note.contains("operate")) {
        const Json& told = note["operate"];
        const auto number = told.at("number").get<std::uint64_t>();
        operate(
            {static_cast<OperatorCommand>(told.at("order").get<int>()), told.at("who").get<std::string>()},
            [this, number](const OperatorReply& verdict) {
                handover_.tell({{"verdict", {{"number", number}, {"status", static_cast<int>(verdict.status)},
                                                {"text", verdict.text}}}});
            });
    } else if (note.contains("verdict")) {
        const Json& told = note["verdict"];
        auto asked = relayed_.extract(told.at("number").get<std::uint64_t>());
        if (asked.empty()) return;
        const auto status = static_cast<boost::beast::http::status>(told.at("status").get<int>());
        asked.mapped().answer({status, told.at("text").get<std::string>()});
    } else if (note.contains("reload")) {
        guarded([this] { reload(); });
    } else if (note.contains("cancel")) {
        targets_.cancel(note["cancel"].at(0).get<MessageId>(), note["cancel"].at(1).get<std::uint32_t>());
    } else if (note.contains("held")) {
        clients_.set_reserved_connections(note["held"].at("clients").get<std::size_t>());
        targets_.set_reserved_connections(note["held"].at("calls").get<std::size_t>());
    }
}

/// Its connections have ended with it: a call that was out may have run.
void Forwarder::predecessor_left() {
    std::cerr << "handover: the process before has ended\n";
    clients_.set_reserved_connections(0);
    targets_.set_reserved_connections(0);
    for (const auto& [attempt, call] : std::exchange(elsewhere_, {})) {
        OutcomeEvent event;
        event.message = attempt.first;
        event.attempt = attempt.second;
        event.endpoint = call.endpoint;
        event.outcome = Outcome::Cancelled;  // it says nothing of the target
        event.rtt = std::chrono::duration_cast<Time>(std::chrono::steady_clock::now() - call.begun);
        outcome(event);
    }
}

/// By the names of this configuration; another process may have taken the message on by those of another one.
bool Forwarder::name_class(const Message& message, MessageEvent& event) const {
    event.key = message.order_key;
    const auto tenant = config_.names.tenants.find(message.tenant);
    if (tenant != config_.names.tenants.end()) event.tenant = tenant->second;
    const auto kind = config_.names.classes.find(message.message_class);
    if (kind != config_.names.classes.end())
        event.message_class = kind->second;
    else
        event.class_settings = message.class_settings;
    return kind != config_.names.classes.end() || event.class_settings;
}

/// What an earlier process owed is owed still, with what it knew of each attempt.
void Forwarder::take_up(const std::set<AttemptId>& out) {
    const PersistentTime wall = clock_.now();
    const auto over = journal_->ended_ids();
    for (const auto& [until, id] : over) remember(id, until);
    for (const JournalEntry* entry : journal_->entries_by_arrival()) {
        const Message& message = entry->message;
        log_.message(
            MessageStep::Recovered, message.id, entry->notice ? "ended" : "held", {}, entry->attempts);
        counters().add(Counter::MessagesRecovered);
        if (entry->notice) {
            remember(message.id, message.deadline);
            discovery_.report(message.id, *entry->notice);
            continue;
        }
        MessageEvent event;
        event.class_settings = message.class_settings;
        if (!name_class(message, event)) {  // it has gone, and the entry is of a version that kept no terms
            end(message.id, {});
            continue;
        }
        event.message = message.id;
        event.destination = message.destination;
        event.time_left = message.deadline - wall;
        event.attempts = entry->attempts;
        const bool is_out = entry->attempts > 0 && out.contains({message.id, entry->attempts - 1});
        if (const auto first = is_out ? entry->ambiguous_attempt : entry->first_possible_run())
            event.ambiguous_attempt =
                MessageEvent::AmbiguousAttempt{wall - first->since, directory_.id_of(first->endpoint)};
        observe(event);
    }
}

void Forwarder::list(EndpointList told, ListUpdateKind kind) {
    for (EndpointRecord& target : told.endpoints) {
        const bool known = (target.zone.empty() || config_.names.zones.contains(target.zone)) &&
                           (target.kind.empty() || config_.names.kinds.contains(target.kind));
        if (!known) {
            std::cerr << "discovery: passed over " << plain(target.id) << " of an unknown kind or place\n";
            directory_.remember(target.id);
            target.condition = Condition::Removed;
        }
        if (target.condition != Condition::Removed) continue;
        // what else the entry says may make no sense here
        EndpointRecord gone = directory_.record_of(target.id).value_or(EndpointRecord());
        gone.id = target.id;
        gone.condition = Condition::Removed;
        target = std::move(gone);
    }
    const auto gone = directory_.apply(told, std::chrono::steady_clock::now());
    for (const EndpointId endpoint : gone) targets_.remove_endpoint(endpoint);
    ListEvent event;
    event.kind = kind;
    for (const EndpointRecord& target : told.endpoints) {
        const auto endpoint = directory_.find(target.id);
        if (!endpoint) continue;  // it went before it was ever listed here
        ListEntry entry;
        if (!target.zone.empty()) entry.zone = config_.names.zones.at(target.zone);
        if (!target.kind.empty()) entry.kind = config_.names.kinds.at(target.kind);
        entry.endpoint = *endpoint;
        entry.destination = target.destination;
        entry.agreed_rate_per_s = target.rate;
        entry.condition = target.condition;
        if (target.condition == Condition::Ready) targets_.set_address(*endpoint, target.address, entry.kind);
        if (target.condition == Condition::Draining) targets_.close_idle(*endpoint);
        event.entries.push_back(entry);
    }
    for (const std::string& target :
        journal_->disabled_endpoints())  // first: what the list names anew may be out by hand
        if (const auto endpoint = directory_.find(target)) observe(AdminDisableEvent{*endpoint, true});
    observe(event);
}

void Forwarder::enqueue(Message message, Time left, ClientServer::Reply answer) {
    const MessageId id = message.id;
    if (const auto twin = newcomers_.find(id); twin != newcomers_.end()) {
        twin->second.answer = [first = std::move(twin->second.answer), answer = std::move(answer)](
                                  const std::string& text) {
            first(text);
            answer(text);
        };
        return;
    }
    if (role_ == Role::Offered || role_ == Role::Released) {  // the owner answers, whichever that will be
        if (role_ == Role::Released) handover_.tell(note_of(message));
        newcomers_.emplace(id, Newcomer{std::move(message), std::move(answer)});
        return;
    }
    // A client that met a closed connection hands the same id in once more: it is held already.
    if (journal_->find(id) != nullptr || ended_.contains(id)) return answer(resp::simple("OK"));
    if (!directory_.has_destination(message.destination, std::chrono::steady_clock::now()) &&
        !directory_.empty())
        return answer(whole_list_ ? resp::error("ERR unknown destination") : busy(kRoomWait));
    if (journal_->open_message_count() + newcomers_.size() >= config_.settings.max_held_messages)
        return answer(busy(kRoomWait));
    MessageEvent event;
    event.message = id;
    event.destination = message.destination;
    name_class(message, event);
    event.time_left = left;
    newcomers_.emplace(id, Newcomer{std::move(message), std::move(answer)});
    observe(event);
}

void Forwarder::outcome(const OutcomeEvent& event) {
    if (role_ == Role::Offered) return outcomes_.push_back(event);
    if (role_ == Role::Released) return handover_.tell(note_of(event)), stop_if_done();
    const JournalEntry* entry = journal_->find(event.message);
    const std::string* target = directory_.name_of(event.endpoint);
    log_.message(MessageStep::AttemptEnded, event.message, name_of(event.outcome),
        target != nullptr ? plain(*target) : "", event.attempt);
    if (entry != nullptr && !entry->notice) {
        if (event.terminal)
            delivered(*entry, event.outcome);
        else if (event.outcome == Outcome::Withheld)
            on_record(journal_->withdraw_attempt(event.message));
        else
            on_record(journal_->end_attempt(event.message, proves_never_ran(event.outcome)));
    }
    observe(event);
    stop_if_done();
}

/// The platform counts a message's time from when its client sent it, the forwarder from when it read it. An
/// answer that comes in between is none to the platform; a notice for what is over does no harm.
void Forwarder::delivered(const JournalEntry& entry, Outcome outcome) {
    if (outcome == Outcome::Delivered && entry.message.deadline - clock_.now() <= kLongestUnread) {
        counters().add(Counter::LateDeliveries);
        return end(entry.message.id, {});
    }
    remember(entry.message.id, entry.message.deadline);
    on_record(journal_->delivered(entry.message.id));
}

/// All that happens in one turn of the loop is told before the one decision on it.
void Forwarder::observe(const Event& event) {
    if (role_ != Role::Owner) return;
    sender_.observe(event, now());
    if (std::exchange(turn_due_, true)) return;
    asio::post(io_, [this] { turn(); });
}

void Forwarder::turn() {
    if (!std::exchange(turn_due_, false) || role_ != Role::Owner) return;
    watch_clock();
    const std::vector<Action> actions = sender_.decide(now());
    answer_newcomers(actions);
    std::vector<OutgoingAttempt> attempts;  // together: those to one target may share a call
    for (const Action& action : actions)
        if (const auto* send = std::get_if<Send>(&action)) guarded([&] { begin(*send, attempts); });
    bool sent = false;
    for (const Action& action : actions) {
        if (!std::holds_alternative<Send>(action))
            guarded([&] { std::visit([this](const auto& one) { carry_out(one); }, action); });
        else if (!std::exchange(sent, true))
            guarded([&] { targets_.start(std::move(attempts)); });
    }
}

/// A fault in one action must not take the others of its turn with it, the timer least of all.
template <class Step>
void Forwarder::guarded(Step step) try {
    step();
} catch (const std::exception& fault) {
    std::cerr << "lockgw: " << fault.what() << '\n';
}

/// Before any call goes out: a message is delivered only if its client has heard that it was taken on.
void Forwarder::answer_newcomers(const std::vector<Action>& actions) {
    std::map<MessageId, std::string> ends;
    for (const Action& action : actions) {
        if (const auto* refuse = std::get_if<Refuse>(&action))
            ends.emplace(
                refuse->message, busy(std::chrono::duration_cast<milliseconds>(refuse->retry_after)));
        else if (const auto* fail = std::get_if<Fail>(&action))
            ends.emplace(fail->message, resp::error("ERR out of time"));
    }
    for (const auto& [id, newcomer] : std::exchange(newcomers_, {}))
        guarded([&] {
            const auto end = ends.find(id);
            if (end != ends.end()) log_.message(MessageStep::Refused, id, "decision");
            newcomer.answer(end != ends.end() ? end->second : take_on(newcomer.message));
        });
}

/// A step is of no account here, but explains times in logs.
void Forwarder::watch_clock() {
    const auto offset = wall_clock_offset();
    const auto step = offset - std::exchange(clock_offset_, offset);
    if (std::chrono::abs(step) < kClockStep) return;
    counters().add(Counter::ClockSteps);
    std::cerr << "lockgw: the wall clock was stepped by " << step.count() / 1000 << " ms\n";
}

std::string Forwarder::take_on(const Message& message) {
    if (journal_->accept(message)) {
        log_.message(MessageStep::Accepted, message.id);
        return resp::simple("OK");
    }
    log_.message(MessageStep::Refused, message.id, "journal");
    observe(AbandonedEvent{message.id});
    return busy(kRoomWait);
}

/// On record before it goes out: after a crash it may have run.
void Forwarder::begin(const Send& send, std::vector<OutgoingAttempt>& attempts) {
    const std::string* target = directory_.name_of(send.endpoint);
    const JournalEntry* entry = journal_->find(send.message);
    const std::uint32_t attempt = entry != nullptr ? entry->attempts : 0;
    if (entry == nullptr || target == nullptr ||
        !journal_->start_attempt(send.message, *target, clock_.now())) {
        OutcomeEvent event;
        event.message = send.message;
        event.endpoint = send.endpoint;
        event.attempt = attempt;
        event.outcome = Outcome::Withheld;  // by what this machine lacks: no attempt of the message
        return observe(event);
    }
    log_.message(MessageStep::AttemptStarted, send.message, {}, plain(*target), attempt);
    attempts.push_back({send.message, send.endpoint, attempt, entry->message.key, entry->message.body,
        send.timeout, send.start_within, entry->message.deadline});
}
void Forwarder::carry_out(const CancelAttempt& cancel) {
    if (elsewhere_.contains({cancel.message, cancel.attempt}))
        return handover_.tell({{"cancel", {cancel.message, cancel.attempt}}});
    targets_.cancel(cancel.message, cancel.attempt);
}
void Forwarder::carry_out(const Refuse& refuse) {
    end(refuse.message, {true, std::chrono::duration_cast<milliseconds>(refuse.retry_after)});
}
void Forwarder::carry_out(const Fail& fail) { end(fail.message, {}); }
void Forwarder::carry_out(const SetTimer& timer) {
    timer_.expires_after(timer.delay);
    timer_.async_wait([this](auto cancelled) {
        if (!cancelled) observe(TimerFired{});
    });
}
void Forwarder::carry_out(const CloseIdle& close) { targets_.close_idle(close.endpoint); }
void Forwarder::carry_out(const ReleaseEndpoint& forget) { directory_.forget(forget.endpoint); }
void Forwarder::carry_out(const SendToPeers& tell) { peers_.send(tell.to, tell.bytes); }
void Forwarder::carry_out(const Log& log) { std::cerr << log.text << '\n'; }

/// On record before the platform is told: a crash in between must not bring back a message that has ended.
/// Where the record cannot be kept the notice waits for it; from the end of the message's time on no process
/// would call with it any more, and the notice is owed.
void Forwarder::end(MessageId id, const EndNotice& notice) {
    const JournalEntry* entry = journal_->find(id);
    if (entry == nullptr) return;  // its client has the answer itself
    log_.message(MessageStep::Ended, id, notice.bounced ? "bounced" : "dead");
    remember(id, entry->message.deadline);
    if (journal_->end(id, notice)) return discovery_.report(id, notice);
    counters().add(Counter::JournalEndsDelayed);
    unkept_ends_.insert(id);
    catch_up();
}

/// What is not on record would be done once more by the next process: it is tried again, however little else
/// there is to do.
void Forwarder::on_record(bool kept) {
    if (kept || std::exchange(catch_up_due_, true)) return;
    catch_up_again_.expires_after(kCatchUpAgain);
    catch_up_again_.async_wait([this](auto) {
        catch_up_due_ = false;
        catch_up();
    });
}

void Forwarder::catch_up() {
    if (role_ != Role::Owner) return;
    const bool kept = journal_->write_pending();
    tell_ends(kept);
    on_record(kept);
    if (kept) stop_if_done();
}

void Forwarder::tell_ends(bool kept) {
    const PersistentTime now = clock_.now();
    std::erase_if(unkept_ends_, [&](MessageId id) {
        const JournalEntry* entry = journal_->find(id);
        if (entry != nullptr && !kept && entry->message.deadline > now) return false;
        if (entry != nullptr && entry->notice) discovery_.report(id, *entry->notice);
        return true;
    });
}

/// An id is handed in again where its client met a closed connection, and by some that copy one.
void Forwarder::remember(MessageId ended, PersistentTime until) {
    const PersistentTime now = clock_.now();
    journal_->forget_ended_ids(now);
    for (; !ended_until_.empty() && ended_until_.front().first <= now; ended_until_.pop_front())
        ended_.erase(ended_until_.front().second);
    if (ended_.insert(ended).second) ended_until_.emplace_back(until, ended);
}

void Forwarder::operate(const OperatorCall& call, const Management::Reply& answer) {
    if (call.command == OperatorCommand::Counters)
        return answer({boost::beast::http::status::ok, counters().text()});
    const bool replaced = role_ == Role::Offered || role_ == Role::Released;
    if (call.command == OperatorCommand::Ready || !replaced) return answer(verdict_on(call));
    relayed_.emplace(++relays_, Relayed{call, answer});
    if (role_ == Role::Released) handover_.tell(note_of(relays_, call));
}

OperatorReply Forwarder::verdict_on(const OperatorCall& call) {
    using boost::beast::http::status;
    if (role_ == Role::Waiting) return {status::service_unavailable, "waits for the process before it"};
    switch (call.command) {
        case OperatorCommand::Ready:
            if (drained_ || finishing_ || !clients_.listening())
                return {status::service_unavailable, drained_ ? "drained" : "takes no clients"};
            return {status::ok, "ready"};
        case OperatorCommand::Disable:
        case OperatorCommand::Enable:
            return ban(call.endpoint, call.command == OperatorCommand::Disable);
        case OperatorCommand::Counters:
            break;  // needs no owner, and is answered before
        case OperatorCommand::Drain:
            drain();
            return {status::ok, "draining"};
        case OperatorCommand::Undrain:
            undrain();
            return {status::ok, "takes clients again"};
    }
    return {status::not_found, "no such call"};
}

/// On record before it is in force: what operators were told must outlast the process.
OperatorReply Forwarder::ban(const std::string& target, bool on) {
    using boost::beast::http::status;
    if (!journal_->disabled_endpoints().contains(target) && !directory_.ever_listed(target))
        return {status::not_found, "no list has named " + plain(target)};
    if (!journal_->set_endpoint_disabled(target, on))
        return {status::service_unavailable, "no room to keep it"};
    std::cerr << "operators: " << plain(target) << (on ? " is out\n" : " is used again\n");
    if (const auto endpoint = directory_.find(target)) observe(AdminDisableEvent{*endpoint, on});
    return {status::ok, on ? "out" : "in use"};
}

void Forwarder::drain() {
    if (std::exchange(drained_, true)) return;
    std::cerr << "operators: drain\n";
    clients_.set_unready(true);
    send_off_.expires_after(kHandOver);
    send_off_.async_wait([this](auto cancelled) {
        if (!cancelled && drained_ && send_off_.expiry() <= std::chrono::steady_clock::now())
            clients_.set_closing_between_requests(true);
    });
}

void Forwarder::undrain() {
    if (!std::exchange(drained_, false)) return;
    std::cerr << "operators: takes clients again\n";
    send_off_.cancel();
    clients_.set_unready(false);
    if (!finishing_) clients_.set_closing_between_requests(false);
}

void Forwarder::reload() {
    if (role_ != Role::Owner) {  // read by whichever process is the owner next
        reload_due_ = true;
        if (role_ == Role::Released) handover_.tell(kReload);
        return;
    }
    Config fresh = within_descriptors(config_of_environment(&config_));
    fresh.settings.max_calls = std::min(fresh.settings.max_calls, targets_.max_connections());
    observe(SettingsEvent{fresh.settings});  // first: the module knows best which settings make no sense
    config_.settings = std::move(fresh.settings);
    // what was passed over for its name is told again in a whole list alone
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
    finish_step_.expires_after(role_ == Role::Released ? 0ms : kHandOver);
    finish_step_.async_wait([this](auto) {
        if (role_ == Role::Offered) return;  // once it is over, whichever way, all goes on from there
        clients_.drain();
        stop_if_done();
    });
    finish_end_.expires_after(kDrainFor);
    finish_end_.async_wait([this](auto) { io_.stop(); });
}

/// With nothing owed and no client left, there is nothing to wait for.
void Forwarder::stop_if_done() {
    if (role_ == Role::Released) {
        if ((finishing_ || lingered_) && clients_.empty() && targets_.active_call_count() == 0) io_.stop();
        return;
    }
    if (role_ == Role::Owner && finishing_ && finish_step_.expiry() <= std::chrono::steady_clock::now() &&
        clients_.empty() && journal_->entries().empty() && journal_->up_to_date() && elsewhere_.empty())
        io_.stop();
}

}  // namespace lockgw
