#include "journal.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <boost/crc.hpp>
#include <cerrno>
#include <cstring>
#include <iostream>
#include <stdexcept>
#include <system_error>
#include <utility>

#include "counters.hpp"
#include "file_io.hpp"

namespace lockgw {
namespace {

/// The first byte of a record. The numbers are part of the file format.
enum class RecordType : std::uint8_t {
    Entry = 1,
    StartedOrWritten,  // earlier versions wrote it, and did not tell Connecting from Written
    NeverRan,
    MayHaveRun,
    Delivered,
    Ended,
    NoticeConfirmed,
    EndpointDisabled,
    EndpointEnabled,
    Withdrawn,
    Connecting,  // the attempt has started, and nothing of it has been written yet
    Written,
    EndedId,
    Epoch  // of the clock of all times in the records that follow
};
constexpr MessageId kNoMessage = 0;  // the id in records that belong to no message

// The stage of an attempt; 0 stands for no attempt. Earlier versions stored both stages as 1.
constexpr std::uint8_t kWritten = 1, kConnecting = 2;

constexpr std::size_t kFrameHeaderBytes = 8;  // length and checksum
constexpr std::size_t kDiskBlockBytes = 512;  // the disk space of a file is counted in these blocks
constexpr std::size_t kFolderBytes = 4096;    // kept free for the folder itself
// Longer names are cut; the name only serves to decide where an attempt may be repeated.
constexpr std::size_t kMaxEndpointNameBytes = 128;
// The largest amount by which an entry may grow after its message was accepted.
constexpr std::size_t kMaxEntryGrowthBytes = 2 * kMaxEndpointNameBytes + 64;
// Of the disk space: the old file, the new file and some appended records must fit together.
constexpr double kMaxLiveShare = 0.4;

constexpr std::string_view kAsideFilePrefix = "journal.unread-";  // a number follows

// The file is compacted once it exceeds this size and also this multiple of the size after compaction.
constexpr std::size_t kMinCompactionBytes = 512 * 1024;
constexpr std::size_t kMinCompactionRatio = 4;

// A failed compaction that took no longer than this is retried at once. After a longer one the pause is this
// multiple of its duration.
constexpr std::chrono::milliseconds kMaxCompactionTimeWithoutPause{1};
constexpr int kCompactionPauseFactor = 20;

constexpr double kMaxEndedIdsShare = 0.1;                   // of the disk space
constexpr std::size_t kEndedIdRecordBytes = 8 + 1 + 8 + 8;  // frame header, record type, id and time

std::size_t round_up_to_blocks(std::size_t bytes) {
    return (bytes + kDiskBlockBytes - 1) / kDiskBlockBytes * kDiskBlockBytes;
}

class RecordWriter {
public:
    explicit RecordWriter(RecordType type) { number(type); }
    template <class T>
    RecordWriter& number(T value) {
        char raw[sizeof(T)];
        std::memcpy(raw, &value, sizeof(T));
        bytes_.append(raw, sizeof(T));
        return *this;
    }
    RecordWriter& text(std::string_view value) {
        number(static_cast<std::uint32_t>(value.size()));
        bytes_.append(value);
        return *this;
    }
    RecordWriter& time(PersistentTime value) {
        return number<std::int64_t>(value.time_since_epoch().count());
    }
    RecordWriter& attempt(const std::optional<StartedAttempt>& value) {
        number(static_cast<std::uint8_t>(!value ? 0 : value->written ? kWritten : kConnecting));
        return value ? time(value->since).text(value->endpoint) : *this;
    }
    const std::string& bytes() const { return bytes_; }

private:
    std::string bytes_;
};

/// Throws std::out_of_range if a record is shorter than its fields require.
class RecordReader {
public:
    explicit RecordReader(std::string_view bytes) : rest_(bytes) {}
    template <class T>
    T number() {
        T value;
        std::memcpy(&value, take(sizeof(T)).data(), sizeof(T));
        return value;
    }
    std::string text() { return std::string(take(number<std::uint32_t>())); }
    bool empty() const { return rest_.empty(); }
    PersistentTime time() { return PersistentTime(std::chrono::microseconds(number<std::int64_t>())); }
    std::optional<StartedAttempt> attempt() {
        const auto stage = number<std::uint8_t>();
        if (stage == 0) return std::nullopt;
        const PersistentTime since = time();
        return StartedAttempt{since, text(), stage != kConnecting};
    }

private:
    std::string_view take(std::size_t count) {
        if (count > rest_.size()) throw std::out_of_range("journal record too short");
        const std::string_view taken = rest_.substr(0, count);
        rest_.remove_prefix(count);
        return taken;
    }
    std::string_view rest_;
};

void write_class_settings(const cometspoke::ClassSettings& settings, RecordWriter& writer) {
    writer.number(static_cast<std::uint8_t>(settings.delivery));
    writer.number(static_cast<std::uint8_t>(settings.dedup_scope));
    for (const cometspoke::Time time : {settings.dedup_window, settings.target_latency, settings.deadline})
        writer.number<std::int64_t>(time.count());
    writer.number(settings.utility).number(settings.late_utility).number<std::uint8_t>(settings.sequential);
}
cometspoke::ClassSettings read_class_settings(RecordReader& reader) {
    cometspoke::ClassSettings settings;
    settings.delivery = static_cast<cometspoke::DeliverySemantics>(reader.number<std::uint8_t>());
    settings.dedup_scope = static_cast<cometspoke::DedupScope>(reader.number<std::uint8_t>());
    for (cometspoke::Time* time : {&settings.dedup_window, &settings.target_latency, &settings.deadline})
        *time = cometspoke::Time(reader.number<std::int64_t>());
    settings.utility = reader.number<double>();
    settings.late_utility = reader.number<double>();
    settings.sequential = reader.number<std::uint8_t>() != 0;
    return settings;
}

std::string serialize_entry(const JournalEntry& entry) {
    const Message& message = entry.message;
    RecordWriter writer(RecordType::Entry);
    writer.number(message.id).text(message.message_class).text(message.tenant).text(message.key);
    writer.number(message.destination).time(message.deadline).text(message.body);
    writer.number(entry.attempts).attempt(entry.ambiguous_attempt).attempt(entry.open_attempt);
    writer.number<std::uint8_t>(entry.notice.has_value());
    if (entry.notice) {
        writer.number<std::uint8_t>(entry.notice->bounced);
        writer.number<std::int64_t>(entry.notice->retry_after.count());
    }
    if (message.class_settings) write_class_settings(*message.class_settings, writer);
    if (message.class_settings && message.order_key) writer.number(*message.order_key);
    return writer.bytes();
}
/// An upper bound of the entry's record size. It is computed without serializing the entry because every
/// change of an entry needs it.
std::size_t max_record_bytes(const JournalEntry& entry) {
    constexpr std::size_t fixed = 176;  // all numbers, times and lengths of texts
    const Message& message = entry.message;
    return fixed + message.message_class.size() + message.tenant.size() + message.key.size() +
           message.body.size() + (entry.ambiguous_attempt ? entry.ambiguous_attempt->endpoint.size() : 0) +
           (entry.open_attempt ? entry.open_attempt->endpoint.size() : 0);
}
EndNotice read_notice(RecordReader& reader) {
    const bool bounced = reader.number<std::uint8_t>() != 0;
    return {bounced, std::chrono::milliseconds(reader.number<std::int64_t>())};
}
JournalEntry read_entry(MessageId id, RecordReader& reader) {
    JournalEntry entry;
    Message& message = entry.message;
    message.id = id;
    message.message_class = reader.text();
    message.tenant = reader.text();
    message.key = reader.text();
    message.destination = reader.number<std::int64_t>();
    message.deadline = reader.time();
    message.body = reader.text();
    entry.attempts = reader.number<std::uint32_t>();
    entry.ambiguous_attempt = reader.attempt();
    entry.open_attempt = reader.attempt();
    if (reader.number<std::uint8_t>() != 0) entry.notice = read_notice(reader);
    // Records of earlier versions end here.
    if (!reader.empty()) message.class_settings = read_class_settings(reader);
    if (!reader.empty()) message.order_key = reader.number<std::uint64_t>();
    return entry;
}

std::string serialize_epoch(const PersistentClock::Epoch& epoch) {
    RecordWriter writer(RecordType::Epoch);
    writer.number(kNoMessage).text(epoch.boot_id).number<std::int64_t>(epoch.offset.count());
    return writer.bytes();
}
PersistentClock::Epoch read_epoch(RecordReader& reader) {
    PersistentClock::Epoch epoch;
    epoch.boot_id = reader.text();
    epoch.offset = std::chrono::microseconds(reader.number<std::int64_t>());
    return epoch;
}

std::string serialize_disabled(const std::string& endpoint, bool disabled) {
    return RecordWriter(disabled ? RecordType::EndpointDisabled : RecordType::EndpointEnabled)
        .number(kNoMessage)
        .text(endpoint)
        .bytes();
}

std::uint32_t checksum(std::string_view bytes) {
    boost::crc_32_type crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}
std::string add_frame(const std::string& record) {
    const std::uint32_t header[] = {static_cast<std::uint32_t>(record.size()), checksum(record)};
    std::string bytes(kFrameHeaderBytes, '\0');
    std::memcpy(bytes.data(), header, kFrameHeaderBytes);
    return bytes + record;
}
/// The first record in `bytes`; none if it is torn or its checksum does not match.
std::optional<std::string_view> read_frame(std::string_view bytes) {
    std::uint32_t header[2];
    if (bytes.size() < kFrameHeaderBytes) return std::nullopt;
    std::memcpy(header, bytes.data(), kFrameHeaderBytes);
    bytes.remove_prefix(kFrameHeaderBytes);
    if (header[0] == 0 || header[0] > bytes.size()) return std::nullopt;
    bytes = bytes.substr(0, header[0]);
    return checksum(bytes) == header[1] ? std::optional(bytes) : std::nullopt;
}

/// Clears the stream's error state first: after a line that met a full disk, the stream would otherwise write
/// nothing more.
std::ostream& log() {
    std::cerr.clear();
    return std::cerr << "journal: ";
}

}  // namespace

std::string serialize_message(const Message& message) {
    JournalEntry entry;
    entry.message = message;
    return serialize_entry(entry);
}
Message parse_message_record(std::string_view record) {
    RecordReader reader(record);
    reader.number<std::uint8_t>();  // the record type
    const auto id = reader.number<MessageId>();
    return read_entry(id, reader).message;
}

Descriptor::Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
Descriptor& Descriptor::operator=(Descriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
}
Descriptor::~Descriptor() {
    if (fd_ >= 0) ::close(fd_);
}

Journal::Journal(std::filesystem::path folder, std::size_t disk_bytes, OnReadError on_read_error)
    : folder_(std::move(folder)), max_disk_bytes_(disk_bytes - std::min(disk_bytes, kFolderBytes)) {
    std::error_code ignored;
    std::filesystem::remove(folder_ / "journal.new", ignored);  // left by an interrupted compaction
    max_live_bytes_ += kFrameHeaderBytes + serialize_epoch(clock_.epoch()).size();
    recover(on_read_error);
    max_disk_bytes_ -= std::min(max_disk_bytes_, aside_bytes());
    if (round_up_to_blocks(file_bytes_) > max_disk_bytes_)
        log() << "too large: " << file_bytes_ << " bytes in a room of " << max_disk_bytes_ << '\n';
    if (compact()) return;
    open_file();
    const std::string epoch = serialize_epoch(clock_.epoch());
    if (epoch_in_file_ != clock_.epoch() && has_room_for(kFrameHeaderBytes + epoch.size()))
        file_is_stale_ = !append(epoch);
}

/// Opens the existing file for appending and cuts off what is torn at its end.
void Journal::open_file() {
    file_ = Descriptor(open_retrying_interrupts(folder_ / "journal", O_WRONLY | O_CREAT | O_APPEND, 0600));
    if (file_.get() >= 0 && ::ftruncate(file_.get(), static_cast<off_t>(file_bytes_)) == 0) return;
    throw std::system_error(
        errno, std::system_category(), "the journal in " + folder_.string() + " cannot be written");
}

void Journal::recover(OnReadError on_read_error) {
    FileContents file = read_file_with_retries(folder_ / "journal");
    if (file.error == std::errc::no_such_file_or_directory) return;
    if (file.error && on_read_error == OnReadError::Throw)
        throw JournalReadError(file.error, "the journal in " + folder_.string() + " cannot be read");
    if (file.error) return move_aside(file.error.message());
    const std::string& bytes = file.bytes;
    while (const auto record = read_frame(std::string_view(bytes).substr(file_bytes_))) {
        if (!apply(*record)) break;
        file_bytes_ += kFrameHeaderBytes + record->size();
    }
    if (file_bytes_ < bytes.size())
        log() << "torn or spoilt from byte " << file_bytes_ << " of " << bytes.size() << ": "
              << entries_.size() << " messages before it are kept, the rest is dropped\n";
}

/// The disk space of files that could not be read at an earlier start. They are left to the operators and
/// count towards the limit.
std::size_t Journal::aside_bytes() const {
    std::size_t bytes = 0;
    std::error_code ignored;
    for (const auto& file : std::filesystem::directory_iterator(folder_, ignored)) {
        if (!file.path().filename().string().starts_with(kAsideFilePrefix)) continue;
        std::error_code failed;
        const auto size = file.file_size(failed);
        if (!failed) bytes += round_up_to_blocks(static_cast<std::size_t>(size));
    }
    return bytes;
}

/// Throws if the file system does not tell whether a name is in use.
std::filesystem::path Journal::unused_aside_path() const {
    for (int number = 1;; ++number) {
        const auto path = folder_ / (std::string(kAsideFilePrefix) + std::to_string(number));
        if (!std::filesystem::exists(std::filesystem::symlink_status(path))) return path;
    }
}

void Journal::move_aside(const std::string& reason) {
    const std::filesystem::path path = unused_aside_path();
    std::error_code failed;
    std::filesystem::rename(folder_ / "journal", path, failed);
    if (failed) throw JournalReadError(failed, "the unreadable journal cannot be kept aside");
    log() << "cannot be read, kept aside as " << path.filename() << ": " << reason << std::endl;
}

/// Logs one line when a fault begins, however many records it affects.
void Journal::log_fault(Fault fault, const std::string& text) {
    if (fault == Fault::CannotWrite) counters().add(Counter::JournalWriteFailures);
    if (std::exchange(logged_fault_, fault) != fault) log() << text << '\n';
}

const JournalEntry* Journal::find(MessageId id) const {
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

std::vector<const JournalEntry*> Journal::entries_by_arrival() const {
    std::vector<const JournalEntry*> sorted;
    for (const auto& [id, entry] : entries_) sorted.push_back(&entry);
    std::sort(sorted.begin(), sorted.end(),
        [](const JournalEntry* a, const JournalEntry* b) { return a->arrival < b->arrival; });
    return sorted;
}

std::size_t Journal::max_bytes_of(const JournalEntry& entry) {
    return kFrameHeaderBytes + max_record_bytes(entry) + kMaxEntryGrowthBytes;
}

/// Applies a record to the entries, whether it was just written or read back from the file. Returns false if
/// the record is invalid.
bool Journal::apply(std::string_view record) try {
    RecordReader reader(record);
    const auto type = static_cast<RecordType>(reader.number<std::uint8_t>());
    const auto id = reader.number<MessageId>();
    if (type == RecordType::Entry) {
        JournalEntry entry = read_entry(id, reader);
        if (entries_.contains(id)) return false;
        entry.arrival = ++arrival_count_;
        max_live_bytes_ += max_bytes_of(entry);
        if (!entry.notice) ++open_message_count_;
        entries_.emplace(id, std::move(entry));
        return true;
    }
    if (type == RecordType::EndpointDisabled || type == RecordType::EndpointEnabled) {
        const std::string endpoint = reader.text();
        const std::size_t bytes = kFrameHeaderBytes + serialize_disabled(endpoint, true).size();
        if (type == RecordType::EndpointDisabled && disabled_endpoints_.insert(endpoint).second)
            max_live_bytes_ += bytes;
        if (type == RecordType::EndpointEnabled && disabled_endpoints_.erase(endpoint) > 0)
            max_live_bytes_ -= bytes;
        return true;
    }
    if (type == RecordType::Epoch) {
        epoch_in_file_ = read_epoch(reader);
        clock_.resume(*epoch_in_file_);
        return true;
    }
    if (type == RecordType::EndedId) {
        add_ended_id(reader.time(), id);
        return true;
    }
    const auto found = entries_.find(id);
    if (found == entries_.end()) return true;
    JournalEntry& entry = found->second;
    max_live_bytes_ -= max_bytes_of(entry);
    if (type == RecordType::StartedOrWritten || type == RecordType::Connecting) {
        entry.ambiguous_attempt = entry.first_possible_run();
        const PersistentTime since = reader.time();
        entry.open_attempt = StartedAttempt{since, reader.text(), type == RecordType::StartedOrWritten};
        ++entry.attempts;
    } else if (type == RecordType::Written) {
        if (entry.open_attempt) entry.open_attempt->written = true;
    } else if (type == RecordType::NeverRan) {
        entry.open_attempt.reset();
    } else if (type == RecordType::Withdrawn) {
        entry.open_attempt.reset();
        if (entry.attempts > 0) --entry.attempts;
    } else if (type == RecordType::MayHaveRun) {
        // The outcome decides, whether or not the journal holds the record that the attempt was written.
        if (!entry.ambiguous_attempt) entry.ambiguous_attempt = std::move(entry.open_attempt);
        entry.open_attempt.reset();
    } else if (type == RecordType::Ended) {
        if (!entry.notice) --open_message_count_;
        entry.notice = read_notice(reader);
        std::string().swap(entry.message.body);
    } else {
        if (!entry.notice) --open_message_count_;
        add_ended_id(entry.message.id_expiry(), id);
        entries_.erase(found);
        return true;
    }
    max_live_bytes_ += max_bytes_of(entry);
    return true;
} catch (const std::out_of_range&) {
    return false;
}

void Journal::add_ended_id(PersistentTime until, MessageId id) {
    ended_ids_.emplace(until, id);
    max_live_bytes_ += kEndedIdRecordBytes;
    while (static_cast<double>(ended_ids_.size() * kEndedIdRecordBytes) >
           kMaxEndedIdsShare * static_cast<double>(max_disk_bytes_))
        drop_earliest_ended_id();
}
void Journal::drop_earliest_ended_id() {
    ended_ids_.erase(ended_ids_.begin());
    max_live_bytes_ -= kEndedIdRecordBytes;
}
void Journal::forget_ended_ids(PersistentTime now) {
    while (!ended_ids_.empty() && ended_ids_.begin()->first <= now) drop_earliest_ended_id();
}

bool Journal::accept(const Message& message) {
    JournalEntry entry;
    entry.message = message;
    const auto max_live = static_cast<std::size_t>(kMaxLiveShare * static_cast<double>(max_disk_bytes_));
    if (entries_.contains(message.id)) return false;
    if (max_live_bytes_ + max_bytes_of(entry) > max_live) {
        log_fault(
            Fault::Full, "full: " + std::to_string(entries_.size()) + " messages held, no more are taken on");
        return false;
    }
    const std::string record = serialize_entry(entry);
    return append(record) && apply(record);
}
bool Journal::start_attempt(MessageId id, const std::string& endpoint, PersistentTime now) {
    const RecordWriter writer = RecordWriter(RecordType::Connecting)
                                    .number(id)
                                    .time(now)
                                    .text(std::string_view(endpoint).substr(0, kMaxEndpointNameBytes));
    return append(writer.bytes()) && apply(writer.bytes());
}
bool Journal::mark_attempt_written(MessageId id) {
    const JournalEntry* entry = find(id);
    if (entry != nullptr && entry->open_attempt && entry->open_attempt->written) return true;
    const RecordWriter writer = RecordWriter(RecordType::Written).number(id);
    return append(writer.bytes()) && apply(writer.bytes());
}
bool Journal::end_attempt(MessageId id, bool never_ran) {
    return record_event(
        RecordWriter(never_ran ? RecordType::NeverRan : RecordType::MayHaveRun).number(id).bytes());
}
bool Journal::withdraw_attempt(MessageId id) {
    return record_event(RecordWriter(RecordType::Withdrawn).number(id).bytes());
}
bool Journal::delivered(MessageId id) {
    return record_event(RecordWriter(RecordType::Delivered).number(id).bytes());
}
bool Journal::confirm_notice(MessageId id) {
    return record_event(RecordWriter(RecordType::NoticeConfirmed).number(id).bytes());
}
bool Journal::end(MessageId id, EndNotice notice) {
    RecordWriter writer(RecordType::Ended);
    writer.number(id).number<std::uint8_t>(notice.bounced).number<std::int64_t>(notice.retry_after.count());
    return record_event(writer.bytes());
}
bool Journal::write_pending() { return !file_is_stale_ || compact(); }

bool Journal::set_endpoint_disabled(const std::string& endpoint, bool disabled) {
    if (disabled_endpoints_.contains(endpoint) == disabled) return true;
    const std::string record = serialize_disabled(endpoint, disabled);
    return append(record) && apply(record);
}

/// Applies an event that has already happened, even if it cannot be written now; the next compaction writes
/// it.
bool Journal::record_event(const std::string& record) {
    const bool appended = append(record);
    if (!appended) file_is_stale_ = true;
    apply(record);
    return appended;
}

bool Journal::has_room_for(std::size_t bytes) const {
    return round_up_to_blocks(file_bytes_ + bytes) + round_up_to_blocks(max_live_bytes_ + bytes) <=
           max_disk_bytes_;
}

bool Journal::append(const std::string& record) {
    const std::string bytes = add_frame(record);
    // The size is limited because the file counts as memory and the next start reads all of it.
    if (file_bytes_ > kMinCompactionBytes && file_bytes_ > kMinCompactionRatio * max_live_bytes_) compact();
    const bool ready = (!file_is_stale_ && has_room_for(bytes.size())) || compact();
    if (!has_room_for(bytes.size())) {
        log_fault(Fault::Full, "full: no room for a record beside " + std::to_string(file_bytes_) + " bytes");
        return false;
    }
    if (!ready) return false;
    const std::error_code failed = write_all(file_.get(), bytes);
    if (!failed) {
        file_bytes_ += bytes.size();
        logged_fault_ = Fault::None;
        return true;
    }
    log_fault(Fault::CannotWrite, "cannot be written: " + failed.message());
    // A partial record would make all records appended behind it unreadable.
    file_is_stale_ = ::ftruncate(file_.get(), static_cast<off_t>(file_bytes_)) != 0;
    return false;
}

/// An attempt takes time in proportion to what there is to write. Pauses after failed attempts leave most of
/// the time for other work while the disk fails.
bool Journal::compact() {
    const auto started_at = std::chrono::steady_clock::now();
    if (started_at < next_compaction_at_) return false;
    if (rewrite_file()) return true;
    const auto ended_at = std::chrono::steady_clock::now();
    if (ended_at - started_at > kMaxCompactionTimeWithoutPause)
        next_compaction_at_ = ended_at + kCompactionPauseFactor * (ended_at - started_at);
    return false;
}

/// Writes the entries to a new file and replaces the old file by it.
bool Journal::rewrite_file() {
    std::string bytes = add_frame(serialize_epoch(clock_.epoch()));
    for (const std::string& endpoint : disabled_endpoints_)
        bytes += add_frame(serialize_disabled(endpoint, true));
    for (const JournalEntry* entry : entries_by_arrival()) bytes += add_frame(serialize_entry(*entry));
    for (const auto& [until, id] : ended_ids_)
        bytes += add_frame(RecordWriter(RecordType::EndedId).number(id).time(until).bytes());
    if (round_up_to_blocks(file_bytes_) + round_up_to_blocks(bytes.size()) > max_disk_bytes_) return false;
    const auto new_path = folder_ / "journal.new";
    Descriptor file(open_retrying_interrupts(new_path, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0600));
    std::error_code failed;
    if (file.get() < 0) failed = std::error_code(errno, std::system_category());
    if (!failed) failed = write_all(file.get(), bytes);
    if (!failed) std::filesystem::rename(new_path, folder_ / "journal", failed);
    if (failed) {
        log_fault(Fault::CannotWrite, "cannot be written anew: " + failed.message());
        std::filesystem::remove(new_path, failed);
        return false;
    }
    file_ = std::move(file);
    file_bytes_ = bytes.size();
    file_is_stale_ = false;
    return true;
}

}  // namespace lockgw
