/// Reads a long list entry by entry as its bytes arrive. The list is never held as a whole, and the work of
/// each call is bounded by the bytes of that call.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "endpoint_list.hpp"

namespace lockgw {

class ListReader {
public:
    using OnEntry = std::function<void(EndpointRecord)>;
    /// The values outside the array of entries.
    struct Head {
        std::int64_t revision = 0;
        bool complete = false;
    };

    ListReader(ListLimits limits, OnEntry on_entry);

    /// Reads the next bytes of the list. Throws InvalidInput or a JSON error if they cannot belong to a list
    /// or exceed a limit. The caller must then discard the entries that were passed on before.
    void feed(std::string_view bytes);
    /// Must be called after the last byte. Throws if something is missing.
    Head finish();

    std::size_t entries() const { return entries_; }
    std::uint64_t bytes() const { return bytes_; }

private:
    enum class Position { BeforeMembers, BeforeFirstEntry, BeforeEntry, InEntry, AfterEntry, AfterMembers };

    void consume(char byte);
    void read_envelope(char byte);
    void begin_entry(char byte);
    void continue_entry(char byte);
    void read_separator(char byte);
    void end_entry();
    void skip_entry(const Json& member, const std::exception& error);
    bool at_members_array() const;

    /// Tracks strings and the nesting depth of objects and arrays.
    struct JsonScanner {
        std::size_t depth = 0;
        bool in_string = false, escaped = false;
        void consume(char byte);
    };

    ListLimits limits_;
    OnEntry on_entry_;
    Position position_ = Position::BeforeMembers;
    JsonScanner scanner_;
    std::string envelope_;  ///< the text without the entries
    /// The offset in envelope_ of the last string of the outer object.
    std::size_t last_string_at_ = std::string::npos;
    std::string entry_;
    std::size_t entries_ = 0, skipped_ = 0;
    std::uint64_t bytes_ = 0;
};

}  // namespace lockgw
