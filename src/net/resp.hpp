/// A parser for RESP2 requests and functions that write RESP2 replies. It uses neither sockets nor a clock.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace lockgw::resp {

constexpr std::size_t kMaxArguments = 16;
constexpr std::size_t kMaxArgumentBytes = 64 * 1024;  ///< of one argument, such as a message body
constexpr std::size_t kMaxCommandBytes = kMaxArgumentBytes + 4096;  ///< of all arguments of one command

using Command = std::vector<std::string>;

/// The input is not a valid RESP2 request, and the input after it cannot be parsed either.
class ProtocolError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Parses a stream of commands: call feed() with the received bytes, then next() until it returns nothing.
/// The parser holds at most the bytes that were fed and one command.
class Parser {
public:
    void feed(std::string_view bytes) { buffer_.append(bytes); }
    /// Returns the next complete command, or nothing if more bytes are needed. Throws ProtocolError.
    std::optional<Command> next();
    /// Whether the beginning of a command was received, but not its end.
    bool has_partial_command() const { return missing_arguments_ > 0 || parsed_bytes_ < buffer_.size(); }
    /// The memory that the parser holds, with the spare room of its buffers.
    std::size_t held_bytes() const;
    /// Discards all input and frees its memory.
    void clear();

private:
    std::optional<std::size_t> read_length(char type, std::size_t max_value);
    bool read_argument();
    void discard_parsed();

    std::string buffer_;
    std::size_t parsed_bytes_ = 0;                // of the buffer
    std::size_t missing_arguments_ = 0;           // of the current command
    std::optional<std::size_t> argument_length_;  // set once the length line of an argument was read
    Command command_;
    std::size_t command_bytes_ = 0;       // in the arguments of command_
    std::size_t command_held_bytes_ = 0;  // by the arguments of command_, with their spare room
};

/// These functions format a simple string, an error and a bulk string.
std::string simple(std::string_view text);
std::string error(std::string_view text);
std::string bulk(std::string_view text);

}  // namespace lockgw::resp
