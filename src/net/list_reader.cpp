#include "list_reader.hpp"

#include <iostream>
#include <utility>

namespace lockgw {

using cometspoke::settings::InvalidInput;
using cometspoke::settings::required_value;

namespace {

// The bytes around the entries and those of one entry: as many as the protocol allows for any body.
constexpr std::size_t kMaxEnvelopeBytes = 64 * 1024;
constexpr std::size_t kMaxEntryBytes = 64 * 1024;
constexpr std::size_t kMaxLoggedEntries = 10;  // invalid entries with a log line of their own

bool is_space(char byte) { return byte == ' ' || byte == '\n' || byte == '\r' || byte == '\t'; }

}  // namespace

void ListReader::JsonScanner::consume(char byte) {
    if (in_string) {
        if (escaped)
            escaped = false;
        else if (byte == '\\')
            escaped = true;
        else if (byte == '"')
            in_string = false;
    } else if (byte == '"') {
        in_string = true;
    } else if (byte == '{' || byte == '[') {
        ++depth;
    } else if ((byte == '}' || byte == ']') && depth > 0) {
        --depth;
    }
}

ListReader::ListReader(ListLimits limits, OnEntry on_entry)
    : limits_(limits), on_entry_(std::move(on_entry)) {}

void ListReader::feed(std::string_view bytes) {
    bytes_ += bytes.size();
    if (bytes_ > limits_.bytes) throw InvalidInput("more than " + std::to_string(limits_.bytes) + " bytes");
    for (const char byte : bytes) consume(byte);
}

ListReader::Head ListReader::finish() {
    const Json envelope = Json::parse(envelope_);
    if (position_ != Position::AfterMembers) throw InvalidInput("members is not a list");
    if (skipped_ > kMaxLoggedEntries)
        std::cerr << "discovery: passed over " << skipped_ << " entries of the list in all\n";
    return {required_value<std::int64_t>(envelope, "revision"), required_value<bool>(envelope, "complete")};
}

void ListReader::consume(char byte) {
    switch (position_) {
        case Position::BeforeMembers:
        case Position::AfterMembers:
            return read_envelope(byte);
        case Position::BeforeFirstEntry:
        case Position::BeforeEntry:
            return begin_entry(byte);
        case Position::InEntry:
            return continue_entry(byte);
        case Position::AfterEntry:
            return read_separator(byte);
    }
}

void ListReader::read_envelope(char byte) {
    const bool whitespace = is_space(byte) && !scanner_.in_string;
    if (whitespace && envelope_.ends_with(' ')) return;
    if (envelope_.size() >= kMaxEnvelopeBytes) throw InvalidInput("no list of servers");
    const bool was_in_string = scanner_.in_string;
    scanner_.consume(byte);
    if (!was_in_string && scanner_.in_string && scanner_.depth == 1) last_string_at_ = envelope_.size();
    envelope_ += whitespace ? ' ' : byte;
    if (position_ == Position::BeforeMembers && byte == '[' && !scanner_.in_string && at_members_array())
        position_ = Position::BeforeFirstEntry;
}

/// Whether the array that has just started is the array of entries.
bool ListReader::at_members_array() const {
    if (scanner_.depth != 2 || last_string_at_ == std::string::npos) return false;
    std::string start = envelope_.substr(last_string_at_);
    std::erase(start, ' ');
    return start == "\"members\":[";
}

void ListReader::begin_entry(char byte) {
    if (is_space(byte)) return;
    if (byte == ']' && position_ == Position::BeforeFirstEntry) {
        position_ = Position::AfterEntry;
        return read_separator(byte);
    }
    if (byte == ',' || byte == ']') throw InvalidInput("an entry is missing");
    entry_.clear();
    scanner_ = {};
    position_ = Position::InEntry;
    continue_entry(byte);
}

void ListReader::continue_entry(char byte) {
    const bool ends_scalar = scanner_.depth == 0 && !scanner_.in_string && (byte == ',' || byte == ']');
    if (ends_scalar) {
        end_entry();
        return read_separator(byte);
    }
    if (entry_.size() >= kMaxEntryBytes) throw InvalidInput("an entry of more than 64 KiB");
    scanner_.consume(byte);
    entry_ += byte;
    if (scanner_.depth == 0 && !scanner_.in_string && (byte == '}' || byte == ']')) end_entry();
}

void ListReader::read_separator(char byte) {
    if (is_space(byte)) return;
    if (byte == ',') {
        position_ = Position::BeforeEntry;
        return;
    }
    if (byte != ']') throw InvalidInput("no comma after an entry");
    position_ = Position::AfterMembers;
    scanner_ = {};
    scanner_.depth = 1;  // in the outer object
    envelope_ += byte;
}

void ListReader::end_entry() {
    position_ = Position::AfterEntry;
    if (++entries_ > limits_.entries)
        throw InvalidInput("more than " + std::to_string(limits_.entries) + " entries");
    const Json member = Json::parse(entry_);
    EndpointRecord endpoint;
    try {
        endpoint = parse_endpoint(member);
    } catch (const std::exception& error) {
        return skip_entry(member, error);
    }
    on_entry_(std::move(endpoint));
}

void ListReader::skip_entry(const Json& member, const std::exception& error) {
    if (++skipped_ <= kMaxLoggedEntries)
        std::cerr << "discovery: passed over an entry: " << error.what() << '\n';
    if (auto removed = parse_removed_endpoint(member)) on_entry_(std::move(*removed));
}

}  // namespace lockgw
