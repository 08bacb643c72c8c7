#include "list_reader.hpp"

#include <iostream>
#include <utility>

namespace lockgw {

using cometspoke::settings::InvalidInput;
using cometspoke::settings::required_value;

namespace {

constexpr std::size_t kMostFrame = 64 * 1024;   // bytes around the entries,
constexpr std::size_t kMostEntry = 64 * 1024;   // and of one entry: as much as the protocol allows any body
constexpr std::size_t kMostToldOfEntries = 10;  // lines of the log on entries that make no sense

bool is_space(char byte) { return byte == ' ' || byte == '\n' || byte == '\r' || byte == '\t'; }

}  // namespace

void ListReader::Nesting::step(char byte) {
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

ListReader::ListReader(ListLimits limits, Take take) : limits_(limits), take_(std::move(take)) {}

void ListReader::feed(std::string_view bytes) {
    bytes_ += bytes.size();
    if (bytes_ > limits_.bytes) throw InvalidInput("more than " + std::to_string(limits_.bytes) + " bytes");
    for (const char byte : bytes) step(byte);
}

ListReader::Head ListReader::finish() {
    const Json frame = Json::parse(frame_);
    if (place_ != Place::After) throw InvalidInput("members is not a list");
    if (passed_over_ > kMostToldOfEntries)
        std::cerr << "discovery: passed over " << passed_over_ << " entries of the list in all\n";
    return {required_value<std::int64_t>(frame, "revision"), required_value<bool>(frame, "complete")};
}

void ListReader::step(char byte) {
    switch (place_) {
        case Place::Before:
        case Place::After:
            return outside(byte);
        case Place::FirstEntry:
        case Place::Entry:
            return begin_entry(byte);
        case Place::InEntry:
            return in_entry(byte);
        case Place::AfterEntry:
            return after_entry(byte);
    }
}

void ListReader::outside(char byte) {
    const bool between = is_space(byte) && !nesting_.in_string;
    if (between && frame_.ends_with(' ')) return;
    if (frame_.size() >= kMostFrame) throw InvalidInput("no list of servers");
    const bool was_in_string = nesting_.in_string;
    nesting_.step(byte);
    if (!was_in_string && nesting_.in_string && nesting_.depth == 1) name_at_ = frame_.size();
    frame_ += between ? ' ' : byte;
    if (place_ == Place::Before && byte == '[' && !nesting_.in_string && members_begin())
        place_ = Place::FirstEntry;
}

/// Whether the array that has just begun is that of the entries.
bool ListReader::members_begin() const {
    if (nesting_.depth != 2 || name_at_ == std::string::npos) return false;
    std::string start = frame_.substr(name_at_);
    std::erase(start, ' ');
    return start == "\"members\":[";
}

void ListReader::begin_entry(char byte) {
    if (is_space(byte)) return;
    if (byte == ']' && place_ == Place::FirstEntry) {
        place_ = Place::AfterEntry;
        return after_entry(byte);
    }
    if (byte == ',' || byte == ']') throw InvalidInput("an entry is missing");
    entry_.clear();
    nesting_ = {};
    place_ = Place::InEntry;
    in_entry(byte);
}

void ListReader::in_entry(char byte) {
    const bool ends_plain_value = nesting_.depth == 0 && !nesting_.in_string && (byte == ',' || byte == ']');
    if (ends_plain_value) {
        end_entry();
        return after_entry(byte);
    }
    if (entry_.size() >= kMostEntry) throw InvalidInput("an entry of more than 64 KiB");
    nesting_.step(byte);
    entry_ += byte;
    if (nesting_.depth == 0 && !nesting_.in_string && (byte == '}' || byte == ']')) end_entry();
}

void ListReader::after_entry(char byte) {
    if (is_space(byte)) return;
    if (byte == ',') {
        place_ = Place::Entry;
        return;
    }
    if (byte != ']') throw InvalidInput("no comma after an entry");
    place_ = Place::After;
    nesting_ = {};
    nesting_.depth = 1;  // in the outer object
    frame_ += byte;
}

void ListReader::end_entry() {
    place_ = Place::AfterEntry;
    if (++entries_ > limits_.entries)
        throw InvalidInput("more than " + std::to_string(limits_.entries) + " entries");
    const Json member = Json::parse(entry_);
    EndpointRecord target;
    try {
        target = parse_endpoint(member);
    } catch (const std::exception& bad) {
        return pass_over(member, bad);
    }
    take_(std::move(target));
}

void ListReader::pass_over(const Json& member, const std::exception& bad) {
    if (++passed_over_ <= kMostToldOfEntries)
        std::cerr << "discovery: passed over an entry: " << bad.what() << '\n';
    if (auto gone = parse_removed_endpoint(member)) take_(std::move(*gone));
}

}  // namespace lockgw
