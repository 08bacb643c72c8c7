#include "simulator_adapter.hpp"

#include <array>
#include <istream>
#include <ostream>
#include <set>
#include <utility>

namespace cometspoke::wire {

using namespace settings;

namespace {

constexpr std::array<std::pair<const char*, Outcome>, 8> kOutcomeCodes{
    {{"served", Outcome::Delivered}, {"server_error", Outcome::ServerError},
        {"turned_away", Outcome::Rejected}, {"no_answer", Outcome::TimedOut},
        {"no_connection", Outcome::ConnectFailed}, {"connection_lost", Outcome::ConnectionLost},
        {"called_off", Outcome::Cancelled}, {"not_sent", Outcome::NotSent}}};
Outcome parse_outcome_code(const Json& fields) {
    const auto text = required_value<std::string>(fields, "code");
    for (const auto& [name, outcome] : kOutcomeCodes)
        if (text == name) return outcome;
    throw InvalidInput("unknown code " + text);
}

constexpr char kBase64Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& bytes) {
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t block = 0;
        const std::size_t available = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 3; ++j)
            block = block << 8 | (j < available ? static_cast<unsigned char>(bytes[i + j]) : 0u);
        for (std::size_t j = 0; j < 4; ++j)
            text += j <= available ? kBase64Digits[block >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}
std::string from_base64(const std::string& text) {
    std::string bytes;
    std::uint32_t block = 0;
    int bits = 0;
    for (const char digit : text) {
        if (digit == '=') break;
        const auto value = std::string_view(kBase64Digits).find(digit);
        if (value == std::string_view::npos) throw InvalidInput("content is not base64");
        block = block << 6 | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) bytes += static_cast<char>(block >> (bits -= 8) & 255);
    }
    return bytes;
}

}  // namespace

Instance::Instance(const Json& params, std::uint64_t seed)
    : names_(settings::parse_names(params)),
      sender_(Sender(settings::parse_settings(params, names_), seed)) {}

EndpointId Instance::endpoint_id(const std::string& name) {
    const auto [found, inserted] = endpoints_.emplace(name, static_cast<EndpointId>(endpoint_names_.size()));
    if (inserted) endpoint_names_.push_back(name);
    return found->second;
}

ListEvent Instance::parse_list(const Json& fields, const Json* rows) {
    const int kind = required_value<int>(fields, "kind");
    if (kind != 0 && kind != 2 && kind != 3 && kind != 4) throw InvalidInput("unknown VIEW kind");
    ListEvent event;
    event.kind = kind == 0   ? ListUpdateKind::Cached
                 : kind == 2 ? ListUpdateKind::Full
                 : kind == 3 ? ListUpdateKind::Failed
                             : ListUpdateKind::Delta;
    if (event.kind == ListUpdateKind::Failed) return event;
    if (rows == nullptr) throw InvalidInput("VIEW names a slot without a LEDGER");
    for (const Json& row : *rows) {
        ListEntry entry;
        entry.endpoint = endpoint_id(required_value<std::string>(row, "target"));
        entry.destination = static_cast<DestinationId>(value_or(row, "destination", 0.0));
        if (const auto zone = value_or<std::string>(row, "az", ""); !zone.empty())
            entry.zone = index_of(names_.zones, zone, "zone");
        if (const auto endpoint_kind = value_or<std::string>(row, "shape", ""); !endpoint_kind.empty())
            entry.kind = index_of(names_.kinds, endpoint_kind, "kind");
        entry.agreed_rate_per_s = value_or(row, "power_hint", 0.0);
        const int condition = value_or(row, "condition", 0);
        entry.condition = condition == 1   ? Condition::Ready
                          : condition == 2 ? Condition::Draining
                                           : Condition::Removed;
        event.entries.push_back(entry);
    }
    return event;
}

MessageEvent Instance::parse_message(const Json& fields) const {
    MessageEvent event;
    event.message = parse_message_id(required_value<std::string>(fields, "ticket"));
    event.destination = static_cast<DestinationId>(required_value<double>(fields, "called_node"));
    event.message_class = index_of(names_.classes, required_value<std::string>(fields, "category"), "class");
    const Json tenant = value_or(fields, "project", Json());
    if (tenant.is_string() && !names_.tenants.empty())
        event.tenant = index_of(names_.tenants, tenant.get<std::string>(), "tenant");
    if (const Json key = value_or(fields, "subject", Json()); !key.is_null())
        event.key = key.get<std::uint64_t>();
    event.time_left = from_ms(required_value<double>(fields, "patience_left_ms"));
    return event;
}

std::optional<LoadReport> Instance::parse_load_report(const Json& fields) const {
    const auto found = fields.find("feedback");
    if (found == fields.end() || !found->is_object()) return std::nullopt;
    if (!found->contains("x0") && !found->contains("x1")) return std::nullopt;
    return LoadReport{value_or(*found, "x0", 0.0), value_or(*found, "x1", 0.0)};
}

OutcomeEvent Instance::parse_outcome(const Json& fields) {
    OutcomeEvent event;
    event.message = parse_message_id(required_value<std::string>(fields, "ticket"));
    event.endpoint = endpoint_id(required_value<std::string>(fields, "target"));
    event.attempt = value_or<std::uint32_t>(fields, "trial", 0);
    event.outcome = parse_outcome_code(fields);
    event.terminal = value_or(fields, "terminal", false);
    event.rtt = time_or(fields, "rtt_ms", Time(0));
    if (event.outcome == Outcome::Rejected) event.retry_after = time_or(fields, "hold_ms", Time(0));
    event.report = parse_load_report(fields);
    return event;
}

ProbeResult Instance::parse_probe_result(const Json& fields) {
    return {endpoint_id(required_value<std::string>(fields, "target")), parse_outcome_code(fields),
        time_or(fields, "rtt_ms", Time(0)), parse_load_report(fields)};
}

void Instance::observe(const std::string& name, const Json& fields, const Json* rows, Time now) {
    if (name == "VIEW") {
        sender_->observe(parse_list(fields, rows), now);
    } else if (name == "JOB_IN") {
        sender_->observe(parse_message(fields), now);
    } else if (name == "FLOWING") {
        sender_->observe(StreamStarted{parse_message_id(required_value<std::string>(fields, "ticket")),
                             value_or<std::uint32_t>(fields, "trial", 0)},
            now);
    } else if (name == "REPORT_BACK") {
        sender_->observe(parse_outcome(fields), now);
    } else if (name == "ABANDONED") {
        sender_->observe(
            AbandonedEvent{parse_message_id(required_value<std::string>(fields, "ticket"))}, now);
    } else if (name == "WAKE") {
        sender_->observe(TimerFired{}, now);
    } else if (name == "CHECK_RESULT") {
        sender_->observe(parse_probe_result(fields), now);
    } else if (name == "DATAGRAM") {
        sender_->observe(PeerMessage{value_or<std::size_t>(fields, "src_peer", 0),
                             from_base64(value_or<std::string>(fields, "content", ""))},
            now);
    } else {
        throw InvalidInput("unknown event " + name);
    }
}

Json Instance::action_json(const Action& action, std::int64_t instance_id) const {
    Json fields{{"who", instance_id}};
    const char* name = "";
    if (const auto* send = std::get_if<Send>(&action)) {
        name = "SEND";
        fields["ticket"] = format_message_id(send->message);
        fields["target"] = endpoint_names_.at(send->endpoint);
        fields["allow_for_ms"] = to_ms(send->timeout);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        name = "DROP_ATTEMPT";
        fields["ticket"] = format_message_id(cancel->message);
        fields["trial"] = cancel->attempt;
    } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
        name = "DENY";
        fields["ticket"] = format_message_id(refuse->message);
        fields["retry_after_ms"] = to_ms(refuse->retry_after);
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
        name = "GIVE_UP";
        fields["ticket"] = format_message_id(fail->message);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
        name = "WAKE_ME";
        fields["sleep_for_ms"] = to_ms(timer->delay);
        fields["tag"] = "next";
    } else if (const auto* probe = std::get_if<Probe>(&action)) {
        name = "POLL";
        fields["target"] = endpoint_names_.at(probe->endpoint);
    } else if (const auto* close = std::get_if<CloseIdle>(&action)) {
        name = "CLOSE";
        fields["target"] = endpoint_names_.at(close->endpoint);
    } else if (const auto* broadcast = std::get_if<SendToPeers>(&action)) {
        name = "BROADCAST_TO";
        fields["dest"] = broadcast->to ? static_cast<std::int64_t>(*broadcast->to) : -1;
        fields["content"] = to_base64(broadcast->bytes);
    } else if (const auto* watch = std::get_if<Watch>(&action)) {
        name = "TAIL";
        fields["on"] = watch->on;
    } else if (std::holds_alternative<FetchList>(action)) {
        name = "LOOKUP";
    } else {
        name = "DEBUG";
        fields["body_text"] = std::get<Log>(action).text;
    }
    return Json{{name, std::move(fields)}};
}

void Instance::write_actions(std::int64_t instance_id, Time now, std::ostream& out) {
    for (const Action& action : sender_->decide(now)) {
        if (const auto* release = std::get_if<ReleaseEndpoint>(&action))
            endpoints_.erase(endpoint_names_.at(release->endpoint));
        else
            out << action_json(action, instance_id).dump() << '\n';
    }
}

namespace {

/// Processes the batches of one run. It holds the instances, and the endpoint lists by slot.
class Host {
public:
    explicit Host(std::ostream& out) : out_(out) {}

    void process_line(const std::string& line) {
        const Json object = Json::parse(line);
        if (!object.is_object() || object.size() != 1) throw InvalidInput("not an object with one key");
        const std::string& name = object.begin().key();
        const Json& fields = object.begin().value();
        if (!fields.is_object()) throw InvalidInput(name + " is not an object");
        if (name == "MARK") return begin_batch(fields);
        if (!in_batch_) throw InvalidInput(name + " outside a batch");
        if (name == "OVER_TO_YOU") return finish_batch();
        if (name == "LEDGER") {
            lists_[required_value<int>(fields, "slot")] = require_field(fields, "rows_in");
            return;
        }
        process_event(name, fields);
    }
    bool in_batch() const { return in_batch_; }

private:
    void begin_batch(const Json& fields) {
        if (in_batch_) throw InvalidInput("MARK inside a batch");
        now_ = from_ms(required_value<double>(fields, "time_ms"));
        in_batch_ = true;
        changed_instances_.clear();
        failures_.clear();
    }
    void process_event(const std::string& name, const Json& fields) {
        const auto instance_id = required_value<std::int64_t>(fields, "who");
        if (name == "PROVISION") {
            catch_module_failure(instance_id, [&] {
                instances_.insert_or_assign(instance_id,
                    Instance(require_field(fields, "params"), value_or<std::uint64_t>(fields, "salt", 0)));
            });
            changed_instances_.insert(instance_id);
            return;
        }
        const auto found = instances_.find(instance_id);
        if (found == instances_.end()) {
            if (failures_.contains(instance_id)) return;
            throw InvalidInput("unknown instance " + std::to_string(instance_id));
        }
        if (name == "DESTROY") {
            instances_.erase(found);
            changed_instances_.erase(instance_id);
            return;
        }
        const auto list = name == "VIEW" ? lists_.find(value_or(fields, "slot", 0)) : lists_.end();
        catch_module_failure(instance_id, [&] {
            found->second.observe(name, fields, list == lists_.end() ? nullptr : &list->second, now_);
        });
        changed_instances_.insert(instance_id);
    }
    /// Records an exception of the module, which the simulator receives as PANIC. Errors in the input pass
    /// through and end the run.
    template <class Work>
    void catch_module_failure(std::int64_t instance_id, Work work) {
        try {
            work();
        } catch (const InvalidInput&) {
            throw;
        } catch (const Json::exception&) {
            throw;
        } catch (const std::exception& failure) {
            failures_.emplace(instance_id, failure.what());
        }
    }
    void finish_batch() {
        for (const std::int64_t instance_id : changed_instances_)
            if (const auto found = instances_.find(instance_id); found != instances_.end())
                catch_module_failure(
                    instance_id, [&] { found->second.write_actions(instance_id, now_, out_); });
        for (const auto& [instance_id, text] : failures_)
            out_ << Json{{"PANIC", {{"who", instance_id}, {"body_text", text}}}}.dump() << '\n';
        out_ << "{\"ACK\":{}}\n" << std::flush;
        in_batch_ = false;
    }

    std::ostream& out_;
    std::map<std::int64_t, Instance> instances_;
    std::map<int, Json> lists_;
    std::set<std::int64_t> changed_instances_;
    std::map<std::int64_t, std::string> failures_;
    Time now_{0};
    bool in_batch_ = false;
};

}  // namespace

int run(std::istream& in, std::ostream& out, std::ostream& err) {
    Host host(out);
    std::string line;
    std::size_t line_number = 0;
    try {
        while (std::getline(in, line)) {
            ++line_number;
            if (!line.empty()) host.process_line(line);
        }
        if (host.in_batch()) throw InvalidInput("the input ends inside a batch");
    } catch (const std::exception& error) {
        std::string message = error.what();
        for (char& c : message)
            if (c == '\n') c = ' ';
        err << "cometspoke_drill: input line " << line_number << ": " << message << std::endl;
        return 1;
    }
    return 0;
}

}  // namespace cometspoke::wire
