/// What a forwarder owes, kept in files that outlast its process.
///
/// Records are appended with length and checksum. What is written to a file outlasts the process without a
/// sync; only the last record can be torn. The entries in memory are the truth; the file follows them.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "cometspoke/sender.hpp"
#include "persistent_clock.hpp"

namespace lockgw {

using cometspoke::MessageId;

/// A message as its client handed it in. Class and tenant go by name: their order may change.
struct Message {
    MessageId id = 0;
    std::string message_class, tenant, key;
    std::int64_t destination = 0;
    PersistentTime deadline{};
    std::string body;
    /// Messages of a sequential class that share it go one at a time, in the order of their arrival.
    std::optional<std::uint64_t> order_key{};
    /// Its class as it is: a later configuration may not know it, or mean something else by it.
    std::optional<cometspoke::ClassSettings> class_settings{};
};
struct StartedAttempt {
    PersistentTime since{};
    std::string endpoint;
    bool written =
        true;  ///< in part or whole; before that it waits for its connection and has surely not run
};
/// How a message ended that was not delivered.
struct EndNotice {
    bool bounced = false;  ///< else dead
    std::chrono::milliseconds retry_after{0};
};
struct JournalEntry {
    Message message;
    std::uint32_t attempts = 0;
    std::optional<StartedAttempt> ambiguous_attempt;  ///< the first attempt that may have run
    std::optional<StartedAttempt> open_attempt;       ///< the one without an outcome
    std::optional<EndNotice> notice;                  ///< the message is over, and this is not confirmed yet
    std::uint64_t arrival = 0;                        ///< its place in the order of taking on
    /// The first attempt that may have run if the process ended now.
    std::optional<StartedAttempt> first_possible_run() const {
        return ambiguous_attempt || (open_attempt && !open_attempt->written) ? ambiguous_attempt
                                                                             : open_attempt;
    }
};

/// A message as bytes and back, for another process. Throws std::out_of_range where the bytes are no message.
std::string serialize_message(const Message& message);
Message parse_message_record(std::string_view record);

class Descriptor {
public:
    explicit Descriptor(int fd = -1) : fd_(fd) {}
    Descriptor(Descriptor&& other) noexcept;
    Descriptor& operator=(Descriptor&& other) noexcept;
    ~Descriptor();
    int get() const { return fd_; }
    /// Another owner closes it.
    void release() { fd_ = -1; }

private:
    int fd_;
};

/// There is a journal, and none of its bytes can be had now.
class JournalReadError : public std::system_error {
public:
    using std::system_error::system_error;
};

class Journal {
public:
    /// What to do with a journal that cannot be read: tell the caller, who may try again, or keep the file
    /// aside under another name and begin anew. It is never written over.
    enum class OnReadError { Throw, KeepAside };

    /// Reads back what an earlier process owed. Throws JournalReadError, or another std::system_error where
    /// the folder cannot be used now.
    Journal(
        std::filesystem::path folder, std::size_t disk_bytes, OnReadError unreadable = OnReadError::Throw);

    /// The clock of all its times, which goes on over restarts.
    const PersistentClock& clock() const { return clock_; }

    const std::map<MessageId, JournalEntry>& entries() const { return entries_; }
    const JournalEntry* find(MessageId id) const;
    /// How many of the entries are messages that are still to be delivered or ended.
    std::size_t open_message_count() const { return unended_; }
    /// In the order in which they were taken on.
    std::vector<const JournalEntry*> entries_by_arrival() const;

    /// What has ended, by the end of its time: none of it may be taken on anew. As much as there is room for.
    const std::multimap<PersistentTime, MessageId>& ended_ids() const { return over_; }
    void forget_ended_ids(PersistentTime now);

    /// False where it could not be kept: nothing is owed then.
    [[nodiscard]] bool accept(const Message& message);
    /// It counts from here on. False where it could not be kept: it must not begin then.
    [[nodiscard]] bool start_attempt(MessageId id, const std::string& target, PersistentTime now);
    /// The first byte of its call is about to go. False where it could not be kept: none must go then.
    [[nodiscard]] bool mark_attempt_written(MessageId id);

    // What has happened counts here even where it cannot be kept. They return false then: a process that
    // ends before `write_pending` succeeds leaves a file that does not tell it.

    /// The attempt that is out has an outcome.
    [[nodiscard]] bool end_attempt(MessageId id, bool never_ran);
    /// It was not begun after all, and does not count.
    [[nodiscard]] bool withdraw_attempt(MessageId id);
    [[nodiscard]] bool delivered(MessageId id);
    [[nodiscard]] bool end(MessageId id, EndNotice notice);
    [[nodiscard]] bool confirm_notice(MessageId id);
    /// Whether the file holds all that has been told to this journal.
    bool up_to_date() const { return !stale_; }
    /// Tries to bring it there; false where that fails, or has failed too shortly before.
    [[nodiscard]] bool write_pending();

    /// Targets that operators have taken out by hand.
    const std::set<std::string>& disabled_endpoints() const { return bans_; }
    /// False where it could not be kept: nothing has changed then.
    bool set_endpoint_disabled(const std::string& target, bool on);

private:
    /// What keeps records out of the file.
    enum class Fault { None, Full, CannotWrite };

    void recover(OnReadError unreadable);
    void keep_aside(const std::string& why);
    std::filesystem::path free_aside_name() const;
    std::size_t aside_bytes() const;
    void open_file();
    bool apply(std::string_view record);
    bool append(const std::string& record);
    bool compact();
    bool write_anew();
    void say(Fault fault, const std::string& what);
    bool write(const std::string& record);
    bool room_for(std::size_t bytes) const;
    static std::size_t cost(const JournalEntry& entry);
    void keep_over(PersistentTime until, MessageId id);
    void drop_over();

    std::filesystem::path folder_;
    PersistentClock clock_;
    std::optional<PersistentClock::Epoch> epoch_in_file_;  // the last one that was read
    Fault told_ = Fault::None;  // the last one that the log has named, until a record is kept again
    std::size_t most_;          // bytes that both files together may take
    std::size_t size_ = 0;      // of the file
    std::size_t live_ = 0;      // at most so much after a compaction
    bool stale_ = false;        // the file lacks something: it must be written anew before the next record
    std::chrono::steady_clock::time_point compact_again_at_{};  // after one that failed
    Descriptor file_;
    std::map<MessageId, JournalEntry> entries_;
    std::set<std::string> bans_;
    std::multimap<PersistentTime, MessageId> over_;
    std::size_t unended_ = 0;
    std::uint64_t arrivals_ = 0;
};

}  // namespace lockgw
