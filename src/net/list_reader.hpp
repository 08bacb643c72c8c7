/// Reads a long list entry by entry as its bytes arrive: it is never held as a whole, and the work of each
/// call is bounded by the bytes of that call.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "endpoint_list.hpp"

namespace lockgw {

class ListReader {
public:
    using Take = std::function<void(EndpointRecord)>;
    /// What stands around the entries.
    struct Head {
        std::int64_t revision = 0;
        bool complete = false;
    };

    ListReader(ListLimits limits, Take take);

    /// The next bytes of the list. Throws InvalidInput or a JSON error once it cannot be a list, or is over a
    /// limit; what was taken before that must count for nothing then.
    void feed(std::string_view bytes);
    /// After the last byte. Throws where something is missing.
    Head finish();

    std::size_t entries() const { return entries_; }
    std::uint64_t bytes() const { return bytes_; }

private:
    enum class Place { Before, FirstEntry, Entry, InEntry, AfterEntry, After };

    void step(char byte);
    void outside(char byte);
    void begin_entry(char byte);
    void in_entry(char byte);
    void after_entry(char byte);
    void end_entry();
    void pass_over(const Json& member, const std::exception& bad);
    bool members_begin() const;

    /// Where strings begin and end, and how deep in objects and arrays a byte stands.
    struct Nesting {
        std::size_t depth = 0;
        bool in_string = false, escaped = false;
        void step(char byte);
    };

    ListLimits limits_;
    Take take_;
    Place place_ = Place::Before;
    Nesting nesting_;
    std::string frame_;                        ///< all but the entries
    std::size_t name_at_ = std::string::npos;  ///< where the last string of the outer object begins in frame_
    std::string entry_;
    std::size_t entries_ = 0, passed_over_ = 0;
    std::uint64_t bytes_ = 0;
};

}  // namespace lockgw
