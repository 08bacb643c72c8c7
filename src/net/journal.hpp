/// The messages that a forwarder has accepted and not finished, kept in files that outlive its process.
///
/// Records are appended with their length and checksum. Data that has been written to a file survives the end
/// of the process without a sync, so only the last record can be torn. The entries in memory are
/// authoritative; the file follows them.
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

/// A message as its client enqueued it. It names its class and tenant because their order in the
/// configuration may change.
struct Message {
    MessageId id = 0;
    std::string message_class, tenant, key;
    std::int64_t destination = 0;
    PersistentTime deadline{};
    std::string body;
    /// Messages of a sequential class with the same order key are sent one at a time, in order of arrival.
    std::optional<std::uint64_t> order_key{};
    /// The settings of its class when the message was accepted. A later configuration may lack the class or
    /// define it differently.
    std::optional<cometspoke::ClassSettings> class_settings{};

    /// No copy of the message may be delivered after this time: its class allows it no longer, whenever the
    /// client sent it, and a copy may state a later deadline than the message itself.
    PersistentTime id_expiry() const {
        return deadline + (class_settings ? class_settings->deadline : cometspoke::Time(0));
    }
};
struct StartedAttempt {
    PersistentTime since{};
    std::string endpoint;
    /// True from the moment at which part of the request may have been written. Until then the attempt waits
    /// for its connection and has certainly not run.
    bool written = true;
};
/// How a message ended that was not delivered.
struct EndNotice {
    bool bounced = false;  ///< otherwise the message is dead
    std::chrono::milliseconds retry_after{0};
};
struct JournalEntry {
    Message message;
    std::uint32_t attempts = 0;
    std::optional<StartedAttempt> ambiguous_attempt;  ///< the first earlier attempt that may have run
    std::optional<StartedAttempt> open_attempt;       ///< the attempt that has no outcome yet
    std::optional<EndNotice> notice;  ///< set once the message has ended, until the platform confirms it
    std::uint64_t arrival = 0;        ///< position in the order of acceptance
    /// The first attempt that may have run if the process ended now.
    std::optional<StartedAttempt> first_possible_run() const {
        return ambiguous_attempt || (open_attempt && !open_attempt->written) ? ambiguous_attempt
                                                                             : open_attempt;
    }
};

/// Converts a message to bytes for another process.
std::string serialize_message(const Message& message);
/// Reads what serialize_message() wrote. Throws std::out_of_range if the bytes are too short for a message.
Message parse_message_record(std::string_view record);

class Descriptor {
public:
    explicit Descriptor(int fd = -1) : fd_(fd) {}
    Descriptor(Descriptor&& other) noexcept;
    Descriptor& operator=(Descriptor&& other) noexcept;
    ~Descriptor();
    int get() const { return fd_; }
    /// Gives up ownership: another owner closes the descriptor.
    void release() { fd_ = -1; }

private:
    int fd_;
};

/// A journal file exists, but reading it failed.
class JournalReadError : public std::system_error {
public:
    using std::system_error::system_error;
};

class Journal {
public:
    /// How to handle a journal that cannot be read: throw, so that the caller may try again, or rename the
    /// file and begin a new one. An unreadable file is never overwritten.
    enum class OnReadError { Throw, KeepAside };

    /// Restores the messages of an earlier process. Throws JournalReadError, or another std::system_error if
    /// the folder cannot be used at present.
    Journal(
        std::filesystem::path folder, std::size_t disk_bytes, OnReadError on_read_error = OnReadError::Throw);

    /// The clock of all times in the journal. It continues across restarts.
    const PersistentClock& clock() const { return clock_; }

    const std::map<MessageId, JournalEntry>& entries() const { return entries_; }
    const JournalEntry* find(MessageId id) const;
    /// The number of entries whose message has been neither delivered nor ended.
    std::size_t open_message_count() const { return open_message_count_; }
    /// The entries in the order in which their messages were accepted.
    std::vector<const JournalEntry*> entries_by_arrival() const;

    /// Ids of finished messages by their expiry; none of them may be accepted again. Only as many are kept
    /// as there is room for.
    const std::multimap<PersistentTime, MessageId>& ended_ids() const { return ended_ids_; }
    void forget_ended_ids(PersistentTime now);

    /// Returns false if the message could not be recorded; the forwarder is then not responsible for it.
    [[nodiscard]] bool accept(const Message& message);
    /// Counts the attempt from this call on. Returns false if it could not be recorded; it must not start
    /// then.
    [[nodiscard]] bool start_attempt(MessageId id, const std::string& endpoint, PersistentTime now);
    /// Records that the first byte of the call is about to be written. Returns false if this could not be
    /// recorded; nothing must be written then.
    [[nodiscard]] bool mark_attempt_written(MessageId id);

    // The following functions change the entries even if the change cannot be recorded. They return false in
    // that case: if the process ends before `write_pending` succeeds, the file lacks the change.

    /// The open attempt has an outcome.
    [[nodiscard]] bool end_attempt(MessageId id, bool never_ran);
    /// The open attempt was not started after all, and does not count.
    [[nodiscard]] bool withdraw_attempt(MessageId id);
    [[nodiscard]] bool delivered(MessageId id);
    [[nodiscard]] bool end(MessageId id, EndNotice notice);
    [[nodiscard]] bool confirm_notice(MessageId id);
    /// Whether the file holds every change that was made to this journal.
    bool up_to_date() const { return !file_is_stale_; }
    /// Tries to write the changes that the file lacks. Returns false if that fails, or if it failed too
    /// recently to be tried again.
    [[nodiscard]] bool write_pending();

    /// Endpoints that operators have disabled.
    const std::set<std::string>& disabled_endpoints() const { return disabled_endpoints_; }
    /// Returns false if the change could not be recorded; nothing has changed then.
    bool set_endpoint_disabled(const std::string& endpoint, bool disabled);

private:
    /// What keeps records out of the file.
    enum class Fault { None, Full, CannotWrite };

    void recover(OnReadError on_read_error);
    void move_aside(const std::string& reason);
    std::filesystem::path unused_aside_path() const;
    std::size_t aside_bytes() const;
    void open_file();
    bool apply(std::string_view record);
    bool append(const std::string& record);
    bool compact();
    bool rewrite_file();
    void log_fault(Fault fault, const std::string& text);
    bool record_event(const std::string& record);
    bool has_room_for(std::size_t bytes) const;
    static std::size_t max_bytes_of(const JournalEntry& entry);
    void add_ended_id(PersistentTime until, MessageId id);
    void drop_earliest_ended_id();

    std::filesystem::path folder_;
    PersistentClock clock_;
    std::optional<PersistentClock::Epoch> epoch_in_file_;  // the last one that was read
    Fault logged_fault_ = Fault::None;  // the last fault in the log; reset when a record is written again
    std::size_t max_disk_bytes_;        // for the old and the new file together
    std::size_t file_bytes_ = 0;
    std::size_t max_live_bytes_ = 0;  // the largest size that the file can have after a compaction
    bool file_is_stale_ = false;      // the file lacks a change and must be rewritten before the next record
    std::chrono::steady_clock::time_point next_compaction_at_{};  // the earliest time, after a failed one
    Descriptor file_;
    std::map<MessageId, JournalEntry> entries_;
    std::set<std::string> disabled_endpoints_;
    std::multimap<PersistentTime, MessageId> ended_ids_;
    std::size_t open_message_count_ = 0;
    std::uint64_t arrival_count_ = 0;
};

}  // namespace lockgw
