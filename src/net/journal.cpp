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

enum class Kind : std::uint8_t {
    Entry = 1,
    Begun,
    NeverRan,
    MayHaveRun,
    Delivered,
    Ended,
    Confirmed,
    Banned,
    Unbanned,
    Withdrawn,
    Connecting,  // begun, and not written yet; Begun, of earlier versions, left open which
    Written,
    Over,
    Epoch  // of the clock of all times behind it
};
constexpr MessageId kNoMessage = 0;  // stands in the records that are of none

// How far an attempt has come; 0 stands for none. Earlier versions told written and connecting as one.
constexpr std::uint8_t kWritten = 1, kConnecting = 2;

constexpr std::size_t kHeader = 8;           // length and checksum
constexpr std::size_t kBlock = 512;          // files count in these
constexpr std::size_t kFolder = 4096;        // kept free for the folder itself
constexpr std::size_t kLongestTarget = 128;  // longer names are cut: they only tell where a repeat may go
constexpr std::size_t kGrowth =
    2 * kLongestTarget + 64;        // an entry may grow by so much after it was taken on
constexpr double kLiveShare = 0.4;  // of the room: the old file, the new one and some appending fit in it

constexpr std::string_view kAsideName = "journal.unread-";  // and a number

constexpr std::size_t kLeastCompaction = 512 * 1024;  // a file is written anew from this size,
constexpr std::size_t kStaleTimes = 4;                // and so many times what it would then hold

constexpr std::chrono::milliseconds kCheapCompaction{1};  // one that fails is tried again at once;
constexpr int kPauseTimes = 20;                           // a longer one, after so many times its time

constexpr double kOverShare = 0.1;                // of the room: for ids of what is over
constexpr std::size_t kOverCost = 8 + 1 + 8 + 8;  // with header, kind, id and time

std::size_t in_blocks(std::size_t bytes) { return (bytes + kBlock - 1) / kBlock * kBlock; }

class Writer {
public:
    explicit Writer(Kind kind) { number(kind); }
    template <class T>
    Writer& number(T value) {
        char raw[sizeof(T)];
        std::memcpy(raw, &value, sizeof(T));
        bytes_.append(raw, sizeof(T));
        return *this;
    }
    Writer& text(std::string_view value) {
        number(static_cast<std::uint32_t>(value.size()));
        bytes_.append(value);
        return *this;
    }
    Writer& time(PersistentTime value) { return number<std::int64_t>(value.time_since_epoch().count()); }
    Writer& attempt(const std::optional<StartedAttempt>& value) {
        number(static_cast<std::uint8_t>(!value ? 0 : value->written ? kWritten : kConnecting));
        return value ? time(value->since).text(value->endpoint) : *this;
    }
    const std::string& bytes() const { return bytes_; }

private:
    std::string bytes_;
};

/// Throws std::out_of_range where a record is too short for what it says it holds.
class Reader {
public:
    explicit Reader(std::string_view bytes) : rest_(bytes) {}
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
        if (count > rest_.size()) throw std::out_of_range("record");
        const std::string_view taken = rest_.substr(0, count);
        rest_.remove_prefix(count);
        return taken;
    }
    std::string_view rest_;
};

void write_terms(const cometspoke::ClassSettings& terms, Writer& writer) {
    writer.number(static_cast<std::uint8_t>(terms.delivery));
    writer.number(static_cast<std::uint8_t>(terms.dedup_scope));
    for (const cometspoke::Time time : {terms.dedup_window, terms.target_latency, terms.deadline})
        writer.number<std::int64_t>(time.count());
    writer.number(terms.utility).number(terms.late_utility).number<std::uint8_t>(terms.sequential);
}
cometspoke::ClassSettings read_terms(Reader& reader) {
    cometspoke::ClassSettings terms;
    terms.delivery = static_cast<cometspoke::DeliverySemantics>(reader.number<std::uint8_t>());
    terms.dedup_scope = static_cast<cometspoke::DedupScope>(reader.number<std::uint8_t>());
    for (cometspoke::Time* time : {&terms.dedup_window, &terms.target_latency, &terms.deadline})
        *time = cometspoke::Time(reader.number<std::int64_t>());
    terms.utility = reader.number<double>();
    terms.late_utility = reader.number<double>();
    terms.sequential = reader.number<std::uint8_t>() != 0;
    return terms;
}

std::string record_of(const JournalEntry& entry) {
    const Message& message = entry.message;
    Writer writer(Kind::Entry);
    writer.number(message.id).text(message.message_class).text(message.tenant).text(message.key);
    writer.number(message.destination).time(message.deadline).text(message.body);
    writer.number(entry.attempts).attempt(entry.ambiguous_attempt).attempt(entry.open_attempt);
    writer.number<std::uint8_t>(entry.notice.has_value());
    if (entry.notice) {
        writer.number<std::uint8_t>(entry.notice->bounced);
        writer.number<std::int64_t>(entry.notice->retry_after.count());
    }
    if (message.class_settings) write_terms(*message.class_settings, writer);
    if (message.class_settings && message.order_key) writer.number(*message.order_key);
    return writer.bytes();
}
/// Of its record, or a little more, without writing it: it is asked for at every change of an entry.
std::size_t size_of(const JournalEntry& entry) {
    constexpr std::size_t fixed = 176;  // all numbers, times and lengths of texts
    const Message& message = entry.message;
    return fixed + message.message_class.size() + message.tenant.size() + message.key.size() +
           message.body.size() + (entry.ambiguous_attempt ? entry.ambiguous_attempt->endpoint.size() : 0) +
           (entry.open_attempt ? entry.open_attempt->endpoint.size() : 0);
}
EndNotice read_notice(Reader& reader) {
    const bool bounced = reader.number<std::uint8_t>() != 0;
    return {bounced, std::chrono::milliseconds(reader.number<std::int64_t>())};
}
JournalEntry read_entry(MessageId id, Reader& reader) {
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
    if (!reader.empty()) message.class_settings = read_terms(reader);  // earlier versions wrote none
    if (!reader.empty()) message.order_key = reader.number<std::uint64_t>();
    return entry;
}

std::string epoch_record(const PersistentClock::Epoch& epoch) {
    Writer writer(Kind::Epoch);
    writer.number(kNoMessage).text(epoch.boot_id).number<std::int64_t>(epoch.offset.count());
    return writer.bytes();
}
PersistentClock::Epoch read_epoch(Reader& reader) {
    PersistentClock::Epoch epoch;
    epoch.boot_id = reader.text();
    epoch.offset = std::chrono::microseconds(reader.number<std::int64_t>());
    return epoch;
}

std::string ban_record(const std::string& target, bool on) {
    return Writer(on ? Kind::Banned : Kind::Unbanned).number(kNoMessage).text(target).bytes();
}

std::uint32_t checksum(std::string_view bytes) {
    boost::crc_32_type sum;
    sum.process_bytes(bytes.data(), bytes.size());
    return sum.checksum();
}
std::string framed(const std::string& record) {
    const std::uint32_t head[] = {static_cast<std::uint32_t>(record.size()), checksum(record)};
    std::string bytes(kHeader, '\0');
    std::memcpy(bytes.data(), head, kHeader);
    return bytes + record;
}
/// The record at the front; none where it is torn or garbage.
std::optional<std::string_view> unframed(std::string_view bytes) {
    std::uint32_t head[2];
    if (bytes.size() < kHeader) return std::nullopt;
    std::memcpy(head, bytes.data(), kHeader);
    bytes.remove_prefix(kHeader);
    if (head[0] == 0 || head[0] > bytes.size()) return std::nullopt;
    bytes = bytes.substr(0, head[0]);
    return checksum(bytes) == head[1] ? std::optional(bytes) : std::nullopt;
}

/// A line that found the disk full must not silence the log from then on: a failed stream writes nothing
/// more.
std::ostream& log() {
    std::cerr.clear();
    return std::cerr << "journal: ";
}

}  // namespace

std::string serialize_message(const Message& message) {
    JournalEntry entry;
    entry.message = message;
    return record_of(entry);
}
Message parse_message_record(std::string_view record) {
    Reader reader(record);
    reader.number<std::uint8_t>();  // its kind
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

Journal::Journal(std::filesystem::path folder, std::size_t disk_bytes, OnReadError unreadable)
    : folder_(std::move(folder)), most_(disk_bytes - std::min(disk_bytes, kFolder)) {
    std::error_code ignored;
    std::filesystem::remove(folder_ / "journal.new", ignored);  // a compaction that was cut off
    live_ += kHeader + epoch_record(clock_.epoch()).size();
    recover(unreadable);
    most_ -= std::min(most_, aside_bytes());
    if (in_blocks(size_) > most_) log() << "too large: " << size_ << " bytes in a room of " << most_ << '\n';
    if (compact()) return;
    open_file();
    const std::string epoch = epoch_record(clock_.epoch());
    if (epoch_in_file_ != clock_.epoch() && room_for(kHeader + epoch.size())) stale_ = !append(epoch);
}

/// The file as it is, without what is torn at its end.
void Journal::open_file() {
    file_ = Descriptor(open_retrying_interrupts(folder_ / "journal", O_WRONLY | O_CREAT | O_APPEND, 0600));
    if (file_.get() >= 0 && ::ftruncate(file_.get(), static_cast<off_t>(size_)) == 0) return;
    throw std::system_error(
        errno, std::system_category(), "the journal in " + folder_.string() + " cannot be written");
}

void Journal::recover(OnReadError unreadable) {
    FileContents file = read_file_with_retries(folder_ / "journal");
    if (file.error == std::errc::no_such_file_or_directory) return;
    if (file.error && unreadable == OnReadError::Throw)
        throw JournalReadError(file.error, "the journal in " + folder_.string() + " cannot be read");
    if (file.error) return keep_aside(file.error.message());
    const std::string& bytes = file.bytes;
    while (const auto record = unframed(std::string_view(bytes).substr(size_))) {
        if (!apply(*record)) break;
        size_ += kHeader + record->size();
    }
    if (size_ < bytes.size())
        log() << "torn or spoilt from byte " << size_ << " of " << bytes.size() << ": " << entries_.size()
              << " messages before it are kept, the rest is dropped\n";
}

/// Files that could not be read at an earlier start stay for the operators, and count as disk.
std::size_t Journal::aside_bytes() const {
    std::size_t bytes = 0;
    std::error_code ignored;
    for (const auto& file : std::filesystem::directory_iterator(folder_, ignored)) {
        if (!file.path().filename().string().starts_with(kAsideName)) continue;
        std::error_code failed;
        const auto size = file.file_size(failed);
        if (!failed) bytes += in_blocks(static_cast<std::size_t>(size));
    }
    return bytes;
}

/// Throws where it cannot be told whether a name is free.
std::filesystem::path Journal::free_aside_name() const {
    for (int number = 1;; ++number) {
        const auto name = folder_ / (std::string(kAsideName) + std::to_string(number));
        if (!std::filesystem::exists(std::filesystem::symlink_status(name))) return name;
    }
}

void Journal::keep_aside(const std::string& why) {
    const std::filesystem::path name = free_aside_name();
    std::error_code failed;
    std::filesystem::rename(folder_ / "journal", name, failed);
    if (failed) throw JournalReadError(failed, "the unreadable journal cannot be kept aside");
    log() << "cannot be read, kept aside as " << name.filename() << ": " << why << std::endl;
}

/// One line where it begins, however many records meet it.
void Journal::say(Fault fault, const std::string& what) {
    if (fault == Fault::CannotWrite) counters().add(Counter::JournalWriteFailures);
    if (std::exchange(told_, fault) != fault) log() << what << '\n';
}

const JournalEntry* Journal::find(MessageId id) const {
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

std::vector<const JournalEntry*> Journal::entries_by_arrival() const {
    std::vector<const JournalEntry*> all;
    for (const auto& [id, entry] : entries_) all.push_back(&entry);
    std::sort(all.begin(), all.end(),
        [](const JournalEntry* a, const JournalEntry* b) { return a->arrival < b->arrival; });
    return all;
}

std::size_t Journal::cost(const JournalEntry& entry) { return kHeader + size_of(entry) + kGrowth; }

/// What a record says, done to the entries: the same for one just written and for one read back.
bool Journal::apply(std::string_view record) try {
    Reader reader(record);
    const auto kind = static_cast<Kind>(reader.number<std::uint8_t>());
    const auto id = reader.number<MessageId>();
    if (kind == Kind::Entry) {
        JournalEntry entry = read_entry(id, reader);
        if (entries_.contains(id)) return false;
        entry.arrival = ++arrivals_;
        live_ += cost(entry);
        if (!entry.notice) ++unended_;
        entries_.emplace(id, std::move(entry));
        return true;
    }
    if (kind == Kind::Banned || kind == Kind::Unbanned) {
        const std::string target = reader.text();
        const std::size_t bytes = kHeader + ban_record(target, true).size();
        if (kind == Kind::Banned && bans_.insert(target).second) live_ += bytes;
        if (kind == Kind::Unbanned && bans_.erase(target) > 0) live_ -= bytes;
        return true;
    }
    if (kind == Kind::Epoch) {
        epoch_in_file_ = read_epoch(reader);
        clock_.resume(*epoch_in_file_);
        return true;
    }
    if (kind == Kind::Over) {
        keep_over(reader.time(), id);
        return true;
    }
    const auto found = entries_.find(id);
    if (found == entries_.end()) return true;
    JournalEntry& entry = found->second;
    live_ -= cost(entry);
    if (kind == Kind::Begun || kind == Kind::Connecting) {
        entry.ambiguous_attempt = entry.first_possible_run();
        const PersistentTime since = reader.time();
        entry.open_attempt = StartedAttempt{since, reader.text(), kind == Kind::Begun};
        ++entry.attempts;
    } else if (kind == Kind::Written) {
        if (entry.open_attempt) entry.open_attempt->written = true;
    } else if (kind == Kind::NeverRan) {
        entry.open_attempt.reset();
    } else if (kind == Kind::Withdrawn) {
        entry.open_attempt.reset();
        if (entry.attempts > 0) --entry.attempts;
    } else if (kind == Kind::MayHaveRun) {
        if (!entry.ambiguous_attempt)
            entry.ambiguous_attempt =
                std::move(entry.open_attempt);  // by its outcome, written on record or not
        entry.open_attempt.reset();
    } else if (kind == Kind::Ended) {
        if (!entry.notice) --unended_;
        entry.notice = read_notice(reader);
        std::string().swap(entry.message.body);
    } else {
        if (!entry.notice) --unended_;
        keep_over(entry.message.deadline, id);
        entries_.erase(found);
        return true;
    }
    live_ += cost(entry);
    return true;
} catch (const std::out_of_range&) {
    return false;
}

void Journal::keep_over(PersistentTime until, MessageId id) {
    over_.emplace(until, id);
    live_ += kOverCost;
    while (static_cast<double>(over_.size() * kOverCost) > kOverShare * static_cast<double>(most_))
        drop_over();
}
void Journal::drop_over() {
    over_.erase(over_.begin());
    live_ -= kOverCost;
}
void Journal::forget_ended_ids(PersistentTime now) {
    while (!over_.empty() && over_.begin()->first <= now) drop_over();
}

bool Journal::accept(const Message& message) {
    JournalEntry entry;
    entry.message = message;
    const auto most_live = static_cast<std::size_t>(kLiveShare * static_cast<double>(most_));
    if (entries_.contains(message.id)) return false;
    if (live_ + cost(entry) > most_live) {
        say(Fault::Full, "full: " + std::to_string(entries_.size()) + " messages held, no more are taken on");
        return false;
    }
    const std::string record = record_of(entry);
    return append(record) && apply(record);
}
bool Journal::start_attempt(MessageId id, const std::string& target, PersistentTime now) {
    const Writer writer = Writer(Kind::Connecting)
                              .number(id)
                              .time(now)
                              .text(std::string_view(target).substr(0, kLongestTarget));
    return append(writer.bytes()) && apply(writer.bytes());
}
bool Journal::mark_attempt_written(MessageId id) {
    const Writer writer = Writer(Kind::Written).number(id);
    return append(writer.bytes()) && apply(writer.bytes());
}
bool Journal::end_attempt(MessageId id, bool never_ran) {
    return write(Writer(never_ran ? Kind::NeverRan : Kind::MayHaveRun).number(id).bytes());
}
bool Journal::withdraw_attempt(MessageId id) { return write(Writer(Kind::Withdrawn).number(id).bytes()); }
bool Journal::delivered(MessageId id) { return write(Writer(Kind::Delivered).number(id).bytes()); }
bool Journal::confirm_notice(MessageId id) { return write(Writer(Kind::Confirmed).number(id).bytes()); }
bool Journal::end(MessageId id, EndNotice notice) {
    Writer writer(Kind::Ended);
    writer.number(id).number<std::uint8_t>(notice.bounced).number<std::int64_t>(notice.retry_after.count());
    return write(writer.bytes());
}
bool Journal::write_pending() { return !stale_ || compact(); }

bool Journal::set_endpoint_disabled(const std::string& target, bool on) {
    if (bans_.contains(target) == on) return true;
    const std::string record = ban_record(target, on);
    return append(record) && apply(record);
}

/// What has happened counts also where it cannot be written now: the next compaction brings it.
bool Journal::write(const std::string& record) {
    const bool kept = append(record);
    if (!kept) stale_ = true;
    apply(record);
    return kept;
}

bool Journal::room_for(std::size_t bytes) const {
    return in_blocks(size_ + bytes) + in_blocks(live_ + bytes) <= most_;
}

bool Journal::append(const std::string& record) {
    const std::string bytes = framed(record);
    // The file counts as memory, and all of it is read at the next start.
    if (size_ > kLeastCompaction && size_ > kStaleTimes * live_) compact();
    const bool compacted = (!stale_ && room_for(bytes.size())) || compact();
    if (!room_for(bytes.size())) {
        say(Fault::Full, "full: no room for a record beside " + std::to_string(size_) + " bytes");
        return false;
    }
    if (!compacted) return false;
    const std::error_code failed = write_all(file_.get(), bytes);
    if (!failed) {
        size_ += bytes.size();
        told_ = Fault::None;
        return true;
    }
    say(Fault::CannotWrite, "cannot be written: " + failed.message());
    // Half a record would hide all that is appended behind it.
    stale_ = ::ftruncate(file_.get(), static_cast<off_t>(size_)) != 0;
    return false;
}

/// An attempt costs as much as there is to write: while a disk fails, most of the time is left for the rest.
bool Journal::compact() {
    const auto begun = std::chrono::steady_clock::now();
    if (begun < compact_again_at_) return false;
    if (write_anew()) return true;
    const auto ended = std::chrono::steady_clock::now();
    if (ended - begun > kCheapCompaction) compact_again_at_ = ended + kPauseTimes * (ended - begun);
    return false;
}

/// Writes the entries to a new file and puts it in the place of the old one.
bool Journal::write_anew() {
    std::string bytes = framed(epoch_record(clock_.epoch()));
    for (const std::string& target : bans_) bytes += framed(ban_record(target, true));
    for (const JournalEntry* entry : entries_by_arrival()) bytes += framed(record_of(*entry));
    for (const auto& [until, id] : over_) bytes += framed(Writer(Kind::Over).number(id).time(until).bytes());
    if (in_blocks(size_) + in_blocks(bytes.size()) > most_) return false;
    const auto fresh = folder_ / "journal.new";
    Descriptor file(open_retrying_interrupts(fresh, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0600));
    std::error_code failed;
    if (file.get() < 0) failed = std::error_code(errno, std::system_category());
    if (!failed) failed = write_all(file.get(), bytes);
    if (!failed) std::filesystem::rename(fresh, folder_ / "journal", failed);
    if (failed) {
        say(Fault::CannotWrite, "cannot be written anew: " + failed.message());
        std::filesystem::remove(fresh, failed);
        return false;
    }
    file_ = std::move(file);
    size_ = bytes.size();
    stale_ = false;
    return true;
}

}  // namespace lockgw
