#include "resp.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace lockgw::resp {
namespace {

constexpr std::size_t kMaxLengthLineBytes = 24;

/// The memory of a string outside the string itself. Short texts need none.
std::size_t heap_bytes(const std::string& text) {
    return text.capacity() > std::string().capacity() ? text.capacity() + 1 : 0;
}

}  // namespace

std::optional<Command> Parser::next() {
    while (true) {
        if (missing_arguments_ == 0) {
            const auto count = read_length('*', kMaxArguments);
            if (!count) return discard_parsed(), std::nullopt;
            missing_arguments_ = *count;  // an empty array is not a command
            continue;
        }
        if (!read_argument()) return discard_parsed(), std::nullopt;
        if (--missing_arguments_ > 0) continue;
        command_bytes_ = command_held_bytes_ = 0;
        if (parsed_bytes_ == buffer_.size()) discard_parsed();
        return std::exchange(command_, {});
    }
}

std::size_t Parser::held_bytes() const { return heap_bytes(buffer_) + command_held_bytes_; }

/// Assigning an empty parser would keep the buffer: a string that is moved from an empty one keeps its
/// memory.
void Parser::clear() {
    std::string().swap(buffer_);
    Command().swap(command_);
    parsed_bytes_ = missing_arguments_ = command_bytes_ = command_held_bytes_ = 0;
    argument_length_.reset();
}

/// Reads a line such as "*3" or "$5" that begins with `type`. Returns nothing if its end has not arrived yet.
std::optional<std::size_t> Parser::read_length(char type, std::size_t max_value) {
    if (parsed_bytes_ == buffer_.size()) return std::nullopt;
    if (buffer_[parsed_bytes_] != type) throw ProtocolError(std::string("expected '") + type + "'");
    const auto end = buffer_.find("\r\n", parsed_bytes_);
    if (end == std::string::npos) {
        if (buffer_.size() - parsed_bytes_ > kMaxLengthLineBytes)
            throw ProtocolError("a length without an end");
        return std::nullopt;
    }
    std::size_t value = 0;
    const char* last = buffer_.data() + end;
    const auto parsed = std::from_chars(buffer_.data() + parsed_bytes_ + 1, last, value);
    if (parsed.ec != std::errc() || parsed.ptr != last) throw ProtocolError("invalid length");
    if (value > max_value) throw ProtocolError("too long");
    parsed_bytes_ = end + 2;
    return value;
}

bool Parser::read_argument() {
    if (!argument_length_)
        argument_length_ = read_length('$', std::min(kMaxArgumentBytes, kMaxCommandBytes - command_bytes_));
    if (!argument_length_ || buffer_.size() - parsed_bytes_ < *argument_length_ + 2) return false;
    if (buffer_.compare(parsed_bytes_ + *argument_length_, 2, "\r\n") != 0)
        throw ProtocolError("an argument without an end");
    command_.push_back(buffer_.substr(parsed_bytes_, *argument_length_));
    command_held_bytes_ += sizeof(std::string) + heap_bytes(command_.back());
    parsed_bytes_ += *argument_length_ + 2;
    command_bytes_ += *argument_length_;
    argument_length_.reset();
    return true;
}

void Parser::discard_parsed() {
    buffer_.erase(0, std::exchange(parsed_bytes_, 0));
    if (buffer_.empty())
        std::string().swap(buffer_);  // frees the memory: most connections are idle between commands
}

namespace {

std::string reply_line(char type, std::string_view text) {
    std::string bytes(1, type);
    return bytes.append(text).append("\r\n");
}

}  // namespace

std::string simple(std::string_view text) { return reply_line('+', text); }
std::string error(std::string_view text) { return reply_line('-', text); }
std::string bulk(std::string_view text) {
    return reply_line('$', std::to_string(text.size())).append(text).append("\r\n");
}

}  // namespace lockgw::resp
