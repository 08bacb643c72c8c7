#include "response_reader.hpp"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/buffer.hpp>
#include <charconv>
#include <map>

#include "settings.hpp"

namespace lockgw {

namespace http = boost::beast::http;
using cometspoke::Outcome;
using cometspoke::OutcomeEvent;
using cometspoke::Time;

namespace {

constexpr std::size_t kMaxHeaderBytes = 16 * 1024;
constexpr int kMaxInterimResponses = 16;
constexpr double kMaxReportedValue = 1e6;  // of a load report; the limit is in calls per second
constexpr double kMaxRetryAfterSeconds = 1e9;
constexpr std::string_view kVersionPrefix = "HTTP/1.";

std::string_view to_std(boost::beast::string_view text) { return {text.data(), text.size()}; }

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
    while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
    return text;
}

/// Returns nothing for a value outside of 0 to `max`.
std::optional<double> parse_decimal(std::string_view text, double max) {
    text = trimmed(text);
    double value = 0.0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) return std::nullopt;
    return value >= 0 && value <= max ? std::optional(value) : std::nullopt;
}

Outcome outcome_of_state(const std::string& state) {
    if (state == "ok") return Outcome::Delivered;
    if (state == "error") return Outcome::ServerError;
    if (state == "later") return Outcome::Rejected;
    return state == "gone" || state == "exhausted" ? Outcome::NotSent : Outcome::MalformedResponse;
}

/// Reads the state of each message from the body of a batch response, empty if the body is unreadable. A
/// message that is listed twice has no certain state.
std::map<cometspoke::MessageId, std::string> parse_states(const std::string& body) try {
    std::map<cometspoke::MessageId, std::string> states;
    for (const auto& entry : nlohmann::json::parse(body)) {
        const auto id = cometspoke::settings::parse_message_id(entry.at("id").get<std::string>());
        const auto [state, inserted] = states.emplace(id, entry.at("state").get<std::string>());
        if (!inserted) state->second.clear();
    }
    return states;
} catch (const std::exception&) {
    return {};
}

}  // namespace

std::optional<cometspoke::LoadReport> parse_load_report(std::string_view text) {
    std::optional<double> remaining_share, limit_per_s;
    while (!text.empty()) {
        const std::string_view pair = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos) return std::nullopt;
        const std::string_view name = trimmed(pair.substr(0, equals));
        if (name != "x0" && name != "x1") continue;
        auto& value = name == "x0" ? remaining_share : limit_per_s;
        if (value) return std::nullopt;
        value = parse_decimal(pair.substr(equals + 1), kMaxReportedValue);
        if (!value) return std::nullopt;
    }
    if (!remaining_share || !limit_per_s) return std::nullopt;
    return cometspoke::LoadReport{std::min(*remaining_share, 1.0), *limit_per_s};
}

void ResponseReader::start_response() {
    parser_ = std::make_unique<http::response_parser<OptionalBody>>();
    parser_->get().body().keep = keep_body_;
    parser_->eager(true);
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(OptionalBody::kMaxBytes);
    status_.reset();
    searched_bytes_ = 0;
}

/// Reads the status line ahead of the parser, which reads a header only when all of it has arrived.
void ResponseReader::read_status_line() {
    const std::string_view bytes = unread_;
    if (bytes.substr(0, kVersionPrefix.size()) != kVersionPrefix.substr(0, bytes.size())) {
        set_malformed();  // there is no need to wait for the end of the line
        return;
    }
    const auto end = bytes.find('\n');
    if (end == std::string_view::npos) return;
    const std::string_view line = bytes.substr(0, end);
    if (line.size() < 13 || line[8] != ' ' || (line[12] != ' ' && line[12] != '\r')) return;
    unsigned status = 0;
    const auto parsed = std::from_chars(line.data() + 9, line.data() + 12, status);
    if (parsed.ec == std::errc() && parsed.ptr == line.data() + 12) status_ = status;
}

/// Reads Retry-After ahead of the parser as well, line by line: it also holds where the header never ends or
/// is malformed further on. Of two values the longer one counts.
void ResponseReader::read_retry_after() {
    constexpr std::string_view name = "Retry-After:";
    if (status_ != 429u && !(keep_body_ && status_ == 200u)) return;
    const std::string_view bytes = unread_;
    for (auto end = bytes.find('\n', searched_bytes_); end != std::string_view::npos;
         end = bytes.find('\n', searched_bytes_)) {
        std::string_view line = bytes.substr(searched_bytes_, end - searched_bytes_);
        searched_bytes_ = end + 1;
        if (line.ends_with('\r')) line.remove_suffix(1);
        if (!boost::algorithm::istarts_with(line, name)) continue;
        if (const auto value = parse_decimal(line.substr(name.size()), kMaxRetryAfterSeconds))
            retry_after_s_ = std::max(retry_after_s_.value_or(0.0), *value);
    }
}

ResponseReader::State ResponseReader::feed(std::string_view bytes) {
    if (state_ == State::Malformed) return state_;
    unread_.append(bytes);
    empty_ = empty_ && unread_.empty();
    while (state_ == State::Incomplete && !unread_.empty()) {
        if (!status_ && !parser_->is_header_done()) read_status_line();
        if (state_ != State::Incomplete) break;
        if (!parser_->is_header_done()) read_retry_after();
        boost::beast::error_code error;
        unread_.erase(0, parser_->put(boost::asio::buffer(unread_), error));
        if (error == http::error::need_more)
            return unread_.size() > kMaxHeaderBytes ? set_malformed() : state_;
        if (error) return set_malformed();
        if (!parser_->is_done()) continue;
        const unsigned status = parser_->get().result_int();
        if (status / 100 != 1) {
            state_ = State::Complete;
        } else {
            // The final response follows an interim one. 101 would switch to a protocol that was not
            // requested.
            if (status == 101 || ++interim_responses_ > kMaxInterimResponses) return set_malformed();
            start_response();
            empty_ = unread_.empty();
        }
    }
    return state_;
}

ResponseReader::State ResponseReader::end_of_stream() {
    if (state_ != State::Incomplete) return state_;
    if (!header_complete()) return set_malformed();  // a parser without input would be done, with status 200
    boost::beast::error_code error;
    parser_->put_eof(error);
    if (error || !parser_->is_done() || parser_->get().result_int() / 100 == 1) return set_malformed();
    return state_ = State::Complete;
}

std::optional<Time> ResponseReader::retry_after(Time max) const {
    if (!retry_after_s_) return std::nullopt;
    return std::min(Time(static_cast<Time::rep>(*retry_after_s_ * 1e6)), max);
}

OutcomeEvent ResponseReader::outcome(bool load_reports) const {
    OutcomeEvent event;
    const auto& header = parser_->get().base();
    switch (header.result_int()) {
        case 200:
            event.outcome = Outcome::Delivered, event.terminal = true;
            break;
        case 429:
            event.outcome = Outcome::Rejected;
            break;
        case 503:
            event.outcome = header["X-Over-Slots"] == "1" ? Outcome::NotSent : Outcome::Rejected;
            event.connection_limit_reached =
                event.outcome == Outcome::Rejected && !parser_->get().keep_alive();
            break;
        case 504:
            event.outcome = Outcome::NotSent;
            break;
        case 410:
            event.outcome = Outcome::NotSent, event.terminal = true;
            break;
        default:  // 500, and any code outside of the protocol's table: the message may have run
            event.outcome = Outcome::ServerError;
    }
    if (load_reports) event.report = parse_load_report(to_std(header["X-Load-Report"]));
    return event;
}

std::vector<OutcomeEvent> ResponseReader::outcomes(
    const std::vector<cometspoke::MessageId>& messages, bool load_reports) const {
    OutcomeEvent event = outcome(load_reports);
    const unsigned status = parser_->get().result_int();
    if (status == 400 || status == 413) event.outcome = Outcome::NotSent;  // none of the messages has run
    std::vector<OutcomeEvent> events(messages.size(), event);
    if (status != 200) return events;
    const auto states = parse_states(parser_->get().body().text);
    for (std::size_t i = 0; i < messages.size(); ++i) {
        const auto found = states.find(messages[i]);
        const std::string state = found != states.end() ? found->second : "";
        events[i].outcome = outcome_of_state(state);
        events[i].terminal = state == "ok" || state == "gone";
    }
    return events;
}

}  // namespace lockgw
