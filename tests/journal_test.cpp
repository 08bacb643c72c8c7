#include "net/journal.hpp"

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <boost/crc.hpp>
#include <csignal>
#include <fstream>

#include "net_helpers.hpp"

namespace lockgw {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kDiskBytes = 1 << 20;
const PersistentTime kNow{std::chrono::seconds(1'700'000'000)};

Message make_message(MessageId id, std::string body = "body") {
    return {id, "order", "acme", "key", 7, kNow + milliseconds(8000), std::move(body)};
}
std::string read_bytes(const std::filesystem::path& path) {
    std::ifstream stream(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(stream), {}};
}
void write_bytes(const std::filesystem::path& path, const std::string& bytes) {
    std::ofstream(path, std::ios::binary) << bytes;
}
std::size_t bytes_on_disk(const std::filesystem::path& folder) {
    std::size_t sum = 0;
    for (const auto& file : std::filesystem::directory_iterator(folder))
        sum += (file.file_size() + 511) / 512 * 512;
    return sum;
}

TEST(Journal, RestoresTheOrderKey) {
    TemporaryFolder folder;
    Message message = make_message(1);
    message.class_settings.emplace().sequential = true;
    message.order_key = 0x6483caaef320d;
    {
        Journal journal(folder.path(), kDiskBytes);
        ASSERT_TRUE(journal.accept(message));
    }
    Journal journal(folder.path(), kDiskBytes);
    ASSERT_NE(journal.find(1), nullptr);
    EXPECT_EQ(journal.find(1)->message.order_key, message.order_key);
}

TEST(Journal, RestoresUnfinishedMessages) {
    TemporaryFolder folder;
    {
        Journal journal(folder.path(), kDiskBytes);
        ASSERT_TRUE(journal.accept(make_message(2)));
        ASSERT_TRUE(journal.accept(make_message(1, std::string("\0\n", 2))));
        ASSERT_TRUE(journal.accept(make_message(3)));
        ASSERT_TRUE(journal.accept(make_message(4)));
        ASSERT_TRUE(journal.start_attempt(2, "s-1", kNow));
        EXPECT_TRUE(journal.end_attempt(2, true));
        ASSERT_TRUE(journal.start_attempt(2, "s-2", kNow + milliseconds(5)));
        EXPECT_TRUE(journal.end_attempt(2, false));
        ASSERT_TRUE(journal.start_attempt(2, "s-4", kNow + milliseconds(7)));
        EXPECT_TRUE(journal.withdraw_attempt(2));
        ASSERT_TRUE(journal.start_attempt(2, "s-3", kNow + milliseconds(9)));
        EXPECT_TRUE(journal.delivered(3));
        EXPECT_TRUE(journal.end(4, {true, milliseconds(500)}));
    }
    for (int restart = 0; restart < 2; ++restart) {  // the second reads the file that the first compacted
        Journal journal(folder.path(), kDiskBytes);
        ASSERT_EQ(journal.entries().size(), 3u);
        EXPECT_EQ(journal.entries_by_arrival()[0]->message.id, 2u);
        EXPECT_EQ(journal.entries_by_arrival()[1]->message.id, 1u);
        const JournalEntry& attempted = *journal.find(2);
        EXPECT_EQ(attempted.attempts, 3u);
        ASSERT_TRUE(attempted.first_possible_run());
        EXPECT_EQ(attempted.first_possible_run()->endpoint, "s-2");
        EXPECT_EQ(attempted.first_possible_run()->since, kNow + milliseconds(5));
        const Message& not_attempted = journal.find(1)->message;
        EXPECT_EQ(not_attempted.body, std::string("\0\n", 2));
        EXPECT_EQ(not_attempted.key, "key");
        EXPECT_EQ(not_attempted.destination, 7);
        EXPECT_EQ(not_attempted.deadline, kNow + milliseconds(8000));
        EXPECT_FALSE(journal.find(1)->first_possible_run());
        ASSERT_TRUE(journal.find(4)->notice);
        EXPECT_EQ(journal.find(4)->notice->retry_after, milliseconds(500));
    }
    Journal journal(folder.path(), kDiskBytes);
    EXPECT_TRUE(journal.confirm_notice(4));
    EXPECT_EQ(Journal(folder.path(), kDiskBytes).entries().size(), 2u);
}

// An attempt that waits for its connection has certainly not run; it may have run as soon as its first byte
// may have been written. If the journal mixed up the two, a restart could repeat a message that had run.
TEST(Journal, RestoresWhetherAnAttemptWasWritten) {
    TemporaryFolder folder;
    {
        Journal journal(folder.path(), kDiskBytes);
        for (const MessageId id : {1, 2, 3}) ASSERT_TRUE(journal.accept(make_message(id)));
        for (const MessageId id : {1, 2}) ASSERT_TRUE(journal.start_attempt(id, "s-1", kNow));
        ASSERT_TRUE(journal.mark_attempt_written(2));
    }
    // The record of an earlier version, which did not distinguish the two stages.
    std::string record("\2\3\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\3\0\0\0s-1", 24);
    boost::crc_32_type crc;
    crc.process_bytes(record.data(), record.size());
    const std::uint32_t header[] = {static_cast<std::uint32_t>(record.size()), crc.checksum()};
    record.insert(0, reinterpret_cast<const char*>(header), sizeof header);
    write_bytes(folder.path() / "journal", read_bytes(folder.path() / "journal") + record);
    for (int restart = 0; restart < 2; ++restart) {  // the second reads the file that the first compacted
        const Journal journal(folder.path(), kDiskBytes);
        EXPECT_EQ(journal.find(1)->attempts, 1u);
        EXPECT_FALSE(journal.find(1)->first_possible_run());
        EXPECT_TRUE(journal.find(2)->first_possible_run());
        EXPECT_EQ(journal.find(3)->attempts, 1u);
        EXPECT_TRUE(journal.find(3)->first_possible_run());
    }
}

// Ids of ended messages are kept until their deadline, in a bounded share of the disk space.
TEST(Journal, KeepsEndedIdsUntilTheirDeadline) {
    TemporaryFolder folder;
    {
        Journal journal(folder.path(), kDiskBytes);
        for (const MessageId id : {1, 2, 3}) ASSERT_TRUE(journal.accept(make_message(id)));
        EXPECT_TRUE(journal.delivered(1));
        EXPECT_TRUE(journal.end(2, {}));
        EXPECT_EQ(journal.ended_ids().size(), 1u);  // 2 is still an entry
        EXPECT_TRUE(journal.confirm_notice(2));
    }
    for (int restart = 0; restart < 2; ++restart)  // the second reads the file that the first compacted
        EXPECT_EQ(Journal(folder.path(), kDiskBytes).ended_ids(),
            (std::multimap<PersistentTime, MessageId>{
                {kNow + milliseconds(8000), 1}, {kNow + milliseconds(8000), 2}}));
    Journal journal(folder.path(), kDiskBytes);
    journal.forget_ended_ids(kNow + milliseconds(7999));
    EXPECT_EQ(journal.ended_ids().size(), 2u);
    journal.forget_ended_ids(kNow + milliseconds(8000));
    EXPECT_TRUE(journal.ended_ids().empty());
    for (MessageId id = 10; id < 10'010; ++id) {
        ASSERT_TRUE(journal.accept(make_message(id)));
        EXPECT_TRUE(journal.delivered(id));
    }
    EXPECT_LE(journal.ended_ids().size() * 25, kDiskBytes / 10);
    EXPECT_TRUE(journal.ended_ids().rbegin()->second == 10'009u);  // the latest are kept
    EXPECT_LE(bytes_on_disk(folder.path()), kDiskBytes);
}

// A process that is killed during a write may leave any prefix of the file. Every message whose record is
// complete must be restored from it.
TEST(Journal, RestoresCompleteRecordsOfATruncatedFile) {
    TemporaryFolder folder;
    std::vector<std::size_t> record_ends;
    {
        Journal journal(folder.path(), kDiskBytes);
        for (MessageId id = 1; id <= 3; ++id) {
            ASSERT_TRUE(journal.accept(make_message(id)));
            record_ends.push_back(std::filesystem::file_size(folder.path() / "journal"));
        }
    }
    const std::string whole = read_bytes(folder.path() / "journal");
    for (std::size_t size = 0; size <= whole.size(); ++size) {
        write_bytes(folder.path() / "journal", whole.substr(0, size));
        Journal journal(folder.path(), kDiskBytes);
        const auto complete = std::count_if(
            record_ends.begin(), record_ends.end(), [size](std::size_t end) { return end <= size; });
        ASSERT_EQ(journal.entries().size(), static_cast<std::size_t>(complete)) << size;
        ASSERT_TRUE(journal.accept(make_message(9)));  // is appended behind the complete records
        ASSERT_NE(Journal(folder.path(), kDiskBytes).find(9), nullptr) << size;
    }
}

TEST(Journal, RestoresNothingFromCorruptRecords) {
    TemporaryFolder folder;
    { ASSERT_TRUE(Journal(folder.path(), kDiskBytes).accept(make_message(1))); }
    const std::string whole = read_bytes(folder.path() / "journal");
    for (std::size_t at = 0; at < whole.size(); ++at) {
        std::string corrupt = whole;
        corrupt[at] = static_cast<char>(corrupt[at] ^ 0x55);
        write_bytes(folder.path() / "journal", corrupt);
        EXPECT_EQ(Journal(folder.path(), kDiskBytes).entries().size(), 0u) << at;
    }
    write_bytes(folder.path() / "journal", whole + std::string(5000, '\xff'));
    write_bytes(folder.path() / "journal.new", "an interrupted compaction");
    EXPECT_EQ(Journal(folder.path(), kDiskBytes).entries().size(), 1u);
    EXPECT_FALSE(std::filesystem::exists(folder.path() / "journal.new"));
}

TEST(Journal, CompactsWithinItsDiskLimit) {
    constexpr std::size_t disk_bytes = 64 * 1024;
    TemporaryFolder folder;
    Journal journal(folder.path(), disk_bytes);
    ASSERT_TRUE(journal.accept(make_message(1)));
    for (MessageId id = 2; id < 400; ++id) {
        ASSERT_TRUE(journal.accept(make_message(id, std::string(1000, 'b')))) << id;
        ASSERT_TRUE(journal.start_attempt(id, "s-1", kNow));
        EXPECT_TRUE(journal.delivered(id));
        ASSERT_LE(bytes_on_disk(folder.path()), disk_bytes);
    }
    EXPECT_EQ(Journal(folder.path(), disk_bytes).entries().size(), 1u);
}

// A compaction while the journal is in use keeps when and where each attempt began, and whether it was
// written.
TEST(Journal, CompactionKeepsWhatIsKnownOfAttempts) {
    constexpr std::size_t disk_bytes = 64 * 1024;
    TemporaryFolder folder;
    {
        Journal journal(folder.path(), disk_bytes);
        for (const MessageId id : {1, 2}) {
            ASSERT_TRUE(journal.accept(make_message(id)));
            ASSERT_TRUE(journal.start_attempt(id, "s-1", kNow + milliseconds(100)));
            ASSERT_TRUE(journal.mark_attempt_written(id));
            ASSERT_TRUE(journal.end_attempt(id, false));
            ASSERT_TRUE(journal.start_attempt(id, "s-2", kNow + milliseconds(200)));
        }
        ASSERT_TRUE(journal.mark_attempt_written(2));
        for (MessageId id = 10; id < 200; ++id) {  // compacts several times
            ASSERT_TRUE(journal.accept(make_message(id, std::string(1000, 'b'))));
            ASSERT_TRUE(journal.delivered(id));
        }
    }
    const Journal journal(folder.path(), disk_bytes);
    for (const MessageId id : {1, 2}) {
        const JournalEntry& entry = *journal.find(id);
        EXPECT_EQ(entry.attempts, 2u);
        ASSERT_TRUE(entry.ambiguous_attempt && entry.open_attempt);
        EXPECT_EQ(entry.ambiguous_attempt->since, kNow + milliseconds(100));
        EXPECT_EQ(entry.ambiguous_attempt->endpoint, "s-1");
        EXPECT_EQ(entry.open_attempt->since, kNow + milliseconds(200));
        EXPECT_EQ(entry.open_attempt->endpoint, "s-2");
        EXPECT_EQ(entry.open_attempt->written, id == 2);
    }
}

TEST(Journal, AcceptsNothingBeyondItsDiskLimit) {
    constexpr std::size_t disk_bytes = 64 * 1024;
    TemporaryFolder folder;
    Journal journal(folder.path(), disk_bytes);
    MessageId accepted = 0;
    while (accepted < 1000 && journal.accept(make_message(accepted + 1, std::string(1000, 'b')))) ++accepted;
    EXPECT_GT(accepted, 10u);
    EXPECT_LT(accepted, 64u);
    for (int round = 0; round < 12; ++round)  // accepted messages can still be attempted and ended
        for (MessageId id = 1; id <= accepted; ++id) {
            ASSERT_TRUE(journal.start_attempt(id, "s-1", kNow));
            EXPECT_TRUE(journal.end_attempt(id, true));
            ASSERT_LE(bytes_on_disk(folder.path()), disk_bytes);
        }
    for (MessageId id = 1; id <= accepted; ++id) EXPECT_TRUE(journal.delivered(id));
    EXPECT_TRUE(journal.accept(make_message(5000)));
}

// A full disk cuts a write short. The journal must then report the record as not written and remove the
// partial record, which would make later records unreadable.
TEST(Journal, AcceptsNothingWhileTheDiskIsFull) {
    TemporaryFolder folder;
    Journal journal(folder.path(), kDiskBytes);
    ASSERT_TRUE(journal.accept(make_message(1)));
    const auto size = std::filesystem::file_size(folder.path() / "journal");
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit original{};
    getrlimit(RLIMIT_FSIZE, &original);
    const rlimit full{size + 10, original.rlim_max};
    setrlimit(RLIMIT_FSIZE, &full);
    const bool accepted = journal.accept(make_message(2));
    const bool started = journal.start_attempt(1, "s-1", kNow);
    setrlimit(RLIMIT_FSIZE, &original);
    EXPECT_FALSE(accepted);
    EXPECT_FALSE(started);
    EXPECT_EQ(journal.find(1)->attempts, 0u);  // the attempt must not start and is not counted
    EXPECT_EQ(std::filesystem::file_size(folder.path() / "journal"), size);
    ASSERT_TRUE(journal.accept(make_message(3)));
    Journal restored(folder.path(), kDiskBytes);
    EXPECT_EQ(restored.find(2), nullptr);
    EXPECT_NE(restored.find(3), nullptr);
    EXPECT_EQ(restored.find(1)->attempts, 0u);
}

// ---- each fault is logged in one line ----

std::size_t line_count(const std::string& log) {
    return static_cast<std::size_t>(std::count(log.begin(), log.end(), '\n'));
}

TEST(JournalLog, ReportsATornFile) {
    TemporaryFolder folder;
    {
        Journal journal(folder.path(), kDiskBytes);
        for (const MessageId id : {1, 2}) ASSERT_TRUE(journal.accept(make_message(id)));
    }
    const std::string whole = read_bytes(folder.path() / "journal");
    write_bytes(folder.path() / "journal", whole.substr(0, whole.size() - 1));
    ::testing::internal::CaptureStderr();
    { Journal(folder.path(), kDiskBytes); }
    const std::string log = ::testing::internal::GetCapturedStderr();
    EXPECT_EQ(line_count(log), 1u) << log;
    EXPECT_NE(log.find("journal: torn"), std::string::npos) << log;
    EXPECT_NE(log.find("1 messages"), std::string::npos) << log;
    ::testing::internal::CaptureStderr();
    { Journal(folder.path(), kDiskBytes); }  // reads the file that the first one rewrote
    EXPECT_EQ(::testing::internal::GetCapturedStderr(), "");
}

// The configured disk limit may have been lowered since the file was written.
TEST(JournalLog, ReportsAFileThatIsTooLarge) {
    constexpr std::size_t lowered_disk_bytes = 16 * 1024;
    TemporaryFolder folder;
    {
        Journal journal(folder.path(), kDiskBytes);
        for (MessageId id = 1; id <= 40; ++id)
            ASSERT_TRUE(journal.accept(make_message(id, std::string(1000, 'b'))));
    }
    ::testing::internal::CaptureStderr();
    {
        Journal journal(folder.path(), lowered_disk_bytes);
        EXPECT_EQ(journal.entries().size(), 40u);
    }
    const std::string log = ::testing::internal::GetCapturedStderr();
    EXPECT_EQ(line_count(log), 1u) << log;
    EXPECT_NE(log.find("journal: too large"), std::string::npos) << log;
}

// A full journal is logged once, however many messages it refuses, and again if it had room in between.
TEST(JournalLog, ReportsAFullJournalOnce) {
    constexpr std::size_t disk_bytes = 64 * 1024;
    TemporaryFolder folder;
    Journal journal(folder.path(), disk_bytes);
    for (int round = 1; round <= 2; ++round) {
        ::testing::internal::CaptureStderr();
        std::size_t refused = 0;
        for (MessageId id = 1; id <= 200; ++id)
            refused += journal.accept(make_message(id, std::string(1000, 'b'))) ? 0 : 1;
        const std::string log = ::testing::internal::GetCapturedStderr();
        EXPECT_EQ(line_count(log), 1u) << log;
        EXPECT_NE(log.find("journal: full"), std::string::npos) << log;
        EXPECT_GT(refused, 1u);
        for (MessageId id = 1; id <= 200; ++id) EXPECT_TRUE(journal.delivered(id));
    }
}

TEST(JournalLog, ReportsADiskThatCannotBeWritten) {
    TemporaryFolder folder;
    Journal journal(folder.path(), kDiskBytes);
    ASSERT_TRUE(journal.accept(make_message(1)));
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit original{};
    getrlimit(RLIMIT_FSIZE, &original);
    const rlimit full{std::filesystem::file_size(folder.path() / "journal") + 10, original.rlim_max};
    ::testing::internal::CaptureStderr();
    setrlimit(RLIMIT_FSIZE, &full);
    for (const MessageId id : {2, 3, 4}) EXPECT_FALSE(journal.accept(make_message(id)));
    setrlimit(RLIMIT_FSIZE, &original);
    const std::string log = ::testing::internal::GetCapturedStderr();
    EXPECT_NE(log.find("journal: cannot be written"), std::string::npos) << log;
    EXPECT_EQ(line_count(log), 1u) << log;
}

// Each unreadable file may hold unfinished messages, so none may replace an earlier one.
TEST(Journal, KeepsEveryUnreadableFileAside) {
    constexpr int files = 10;
    TemporaryFolder folder;
    for (int number = 1; number <= files; ++number) {
        std::filesystem::remove(folder.path() / "journal");
        std::filesystem::create_directory(folder.path() / "journal");  // can be opened but not read
        std::ofstream(folder.path() / "journal" / std::to_string(number));
        EXPECT_THROW(Journal(folder.path(), kDiskBytes), std::system_error);
        Journal journal(folder.path(), kDiskBytes, Journal::OnReadError::KeepAside);
        EXPECT_TRUE(journal.accept(make_message(1)));
    }
    for (int number = 1; number <= files; ++number) {
        const auto aside = folder.path() / ("journal.unread-" + std::to_string(number));
        EXPECT_TRUE(std::filesystem::exists(aside / std::to_string(number))) << number;
    }
}

TEST(Journal, ThrowsIfTheFolderCannotBeUsed) {
    EXPECT_THROW(Journal("/nonexistent/folder", kDiskBytes), std::runtime_error);
}

}  // namespace
}  // namespace lockgw
