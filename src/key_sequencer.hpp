/// Serializes the messages that share an order key: one attempt at a time, in the order of their addition.
///
/// The sequencer only keeps state: the caller reports the start and end of each attempt and decides for how
/// long a key stays blocked. Not thread-safe.
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

    /// Appends the message to the queue of its key.
    void add(Key key, Id id) { keys_[key].waiting.push_back(id); }

    /// Removes a message that has ended, whether or not it had reached the front of the queue.
    void remove(Key key, Id id, Time now) {
        const auto found = keys_.find(key);
        if (found == keys_.end()) return;
        std::erase(found->second.waiting, id);
        erase_if_idle(found, now);
    }

    void begin_attempt(Key key) { ++keys_[key].open_attempts; }

    void end_attempt(Key key, Time now) {
        const auto found = keys_.find(key);
        if (found == keys_.end()) return;
        --found->second.open_attempts;
        erase_if_idle(found, now);
    }

    /// Blocks the key's other messages until the given time, because an attempt of this message may still be
    /// running. The message itself is not blocked.
    void rest(Key key, Id id, Time until) {
        KeyState& state = keys_[key];
        state.blocked_until = std::max(state.blocked_until, until);
        state.exempt_id = id;
        blocked_keys_.insert(key);
    }

    /// Blocks all keys until the given time, but for the messages that are exempt from the block of their
    /// key.
    void rest_all(Time until) { all_blocked_until_ = std::max(all_blocked_until_, until); }

    /// Calls `visit(key, exempt id, end of the block)` for each key that is blocked now.
    template <class Visit>
    void visit_resting(Time now, Visit visit) const {
        for (const Key key : blocked_keys_)
            if (const auto found = keys_.find(key); found != keys_.end() && found->second.blocked_until > now)
                visit(key, found->second.exempt_id, found->second.blocked_until);
    }

    /// Returns when the message may be sent, or `never` while another message of its key is ahead of it or an
    /// attempt under the key is open.
    Time turn_of(Key key, Id id, Time never) const {
        const auto found = keys_.find(key);
        if (found == keys_.end()) return never;
        const KeyState& state = found->second;
        if (state.open_attempts > 0 || state.waiting.empty() || state.waiting.front() != id) return never;
        return state.exempt_id == id ? Time::min() : std::max(state.blocked_until, all_blocked_until_);
    }

    /// Returns the earliest end of a block that holds back a message, or `never` if there is none. Blocks
    /// that have ended are dropped.
    Time next_turn(Time now, Time never) {
        Time next = all_blocked_until_ > now && !keys_.empty() ? all_blocked_until_ : never;
        std::erase_if(blocked_keys_, [&](Key key) {
            const auto found = keys_.find(key);
            if (found == keys_.end()) return true;
            if (found->second.blocked_until <= now) {
                erase_if_idle(found, now);
                return true;
            }
            const KeyState& state = found->second;
            const bool holds_back_message = state.open_attempts == 0 && !state.waiting.empty() &&
                                            state.waiting.front() != state.exempt_id;
            if (holds_back_message) next = std::min(next, state.blocked_until);
            return false;
        });
        return next;
    }

private:
    struct KeyState {
        std::deque<Id> waiting;
        int open_attempts = 0;  // attempts that have started and have no outcome yet
        Time blocked_until = Time::min();
        Id exempt_id = 0;  // the message whose attempt caused the block, which the block does not hold back
    };
    using Keys = std::map<Key, KeyState>;

    void erase_if_idle(Keys::iterator key, Time now) {
        const KeyState& state = key->second;
        if (state.waiting.empty() && state.open_attempts == 0 && state.blocked_until <= now) keys_.erase(key);
    }

    Keys keys_;
    std::set<Key> blocked_keys_;
    Time all_blocked_until_ = Time::min();
};

}  // namespace cometspoke
