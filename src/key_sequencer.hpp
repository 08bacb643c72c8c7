/// Turns of messages that share an order key: one at a time, in the order in which they were added.
///
/// A container without decisions: its caller says when an attempt begins and ends, and how long a key rests.
/// Not thread-safe.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>

namespace cometspoke {

class KeySequencer {
public:
    using Key = std::uint64_t;
    using Id = std::uint64_t;
    using Time = std::chrono::microseconds;

    /// The message waits behind all that were added under the key before it.
    void add(Key key, Id id) { lines_[key].waiting.push_back(id); }

    /// The message is over, whether or not its turn had come.
    void remove(Key key, Id id, Time now) {
        const auto found = lines_.find(key);
        if (found == lines_.end()) return;
        std::erase(found->second.waiting, id);
        forget_if_idle(found, now);
    }

    void begin_attempt(Key key) { ++lines_[key].attempts_out; }

    void end_attempt(Key key, Time now) {
        const auto found = lines_.find(key);
        if (found == lines_.end()) return;
        --found->second.attempts_out;
        forget_if_idle(found, now);
    }

    /// An attempt of the message may still be running: the others of its key wait until then.
    void rest(Key key, Id id, Time until) {
        Line& line = lines_[key];
        line.rest_until = std::max(line.rest_until, until);
        line.rest_exempt = id;
        resting_.insert(key);
    }

    /// When the message may be sent; `never` while others of its key stand before it or are out.
    Time turn_of(Key key, Id id, Time never) const {
        const auto found = lines_.find(key);
        if (found == lines_.end()) return never;
        const Line& line = found->second;
        if (line.attempts_out > 0 || line.waiting.empty() || line.waiting.front() != id) return never;
        return line.rest_exempt == id ? Time::min() : line.rest_until;
    }

    /// When the next rest ends for which a message waits; `never` where there is none.
    Time next_turn(Time now, Time never) {
        Time next = never;
        std::erase_if(resting_, [&](Key key) {
            const auto found = lines_.find(key);
            if (found == lines_.end()) return true;
            if (found->second.rest_until <= now) {
                forget_if_idle(found, now);
                return true;
            }
            const Line& line = found->second;
            const bool waits =
                line.attempts_out == 0 && !line.waiting.empty() && line.waiting.front() != line.rest_exempt;
            if (waits) next = std::min(next, line.rest_until);
            return false;
        });
        return next;
    }

private:
    struct Line {
        std::deque<Id> waiting;
        int attempts_out = 0;  // begun and without an outcome
        Time rest_until = Time::min();
        Id rest_exempt = 0;  // the message whose attempt caused the rest
    };
    using Lines = std::map<Key, Line>;

    void forget_if_idle(Lines::iterator line, Time now) {
        const Line& state = line->second;
        if (state.waiting.empty() && state.attempts_out == 0 && state.rest_until <= now) lines_.erase(line);
    }

    Lines lines_;
    std::set<Key> resting_;
};

}  // namespace cometspoke
