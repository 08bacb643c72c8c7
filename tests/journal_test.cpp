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

constexpr std::size_t kRoom = 1 << 20;
const PersistentTime kNow{std::chrono::seconds(1'700'000'000)};

Message make_message(MessageId id, std::string body = "body") {
    return {id, "order", "acme", "key", 7, kNow + milliseconds(8000), std::move(body)};
}
std::string bytes_of(const std::filesystem::path& path) {
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

TEST(Journal, BringsBackTheOrderKey) {
    TemporaryFolder folder;
    Message message = make_message(1);
    message.class_settings.emplace().sequential = true;
    message.order_key = 0x6483caaef320d;
    {
        Journal journal(folder.path(), kRoom);
        ASSERT_TRUE(journal.accept(message));
    }
    Journal journal(folder.path(), kRoom);
    ASSERT_NE(journal.find(1), nullptr);
    EXPECT_EQ(journal.find(1)->message.order_key, message.order_key);
}

TEST(Journal, BringsBackWhatIsOwed) {
    TemporaryFolder folder;
    {
        Journal journal(folder.path(), kRoom);
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
    for (int restart = 0; restart < 2; ++restart) {  // the second reads what the first compacted
        Journal journal(folder.path(), kRoom);
        ASSERT_EQ(journal.entries().size(), 3u);
        EXPECT_EQ(journal.entries_by_arrival()[0]->message.id, 2u);
        EXPECT_EQ(journal.entries_by_arrival()[1]->message.id, 1u);
        const JournalEntry& tried = *journal.find(2);
        EXPECT_EQ(tried.attempts, 3u);
        ASSERT_TRUE(tried.first_possible_run());
        EXPECT_EQ(tried.first_possible_run()->endpoint, "s-2");
        EXPECT_EQ(tried.first_possible_run()->since, kNow + milliseconds(5));
        const Message& untried = journal.find(1)->message;
        EXPECT_EQ(untried.body, std::string("\0\n", 2));
        EXPECT_EQ(untried.key, "key");
        EXPECT_EQ(untried.destination, 7);
        EXPECT_EQ(untried.deadline, kNow + milliseconds(8000));
        EXPECT_FALSE(journal.find(1)->first_possible_run());
        ASSERT_TRUE(journal.find(4)->notice);
        EXPECT_EQ(journal.find(4)->notice->retry_after, milliseconds(500));
    }
    Journal journal(folder.path(), kRoom);
    EXPECT_TRUE(journal.confirm_notice(4));
    EXPECT_EQ(Journal(folder.path(), kRoom).entries().size(), 2u);
}

// A call that waits for its connection has surely not run; once its first byte may have gone it may have.
TEST(Journal, KnowsWhetherAnAttemptWasWritten) {
    TemporaryFolder folder;
    {
        Journal journal(folder.path(), kRoom);
        for (const MessageId id : {1, 2, 3}) ASSERT_TRUE(journal.accept(make_message(id)));
        for (const MessageId id : {1, 2}) ASSERT_TRUE(journal.start_attempt(id, "s-1", kNow));
        ASSERT_TRUE(journal.mark_attempt_written(2));
    }
    // as an earlier version wrote it, which did not tell the two apart
    std::string begun("\2\3\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\3\0\0\0s-1", 24);
    boost::crc_32_type sum;
    sum.process_bytes(begun.data(), begun.size());
    const std::uint32_t head[] = {static_cast<std::uint32_t>(begun.size()), sum.checksum()};
    begun.insert(0, reinterpret_cast<const char*>(head), sizeof head);
    write_bytes(folder.path() / "journal", bytes_of(folder.path() / "journal") + begun);
    for (int restart = 0; restart < 2; ++restart) {  // the second reads what the first compacted
        const Journal journal(folder.path(), kRoom);
        EXPECT_EQ(journal.find(1)->attempts, 1u);
        EXPECT_FALSE(journal.find(1)->first_possible_run());
        EXPECT_TRUE(journal.find(2)->first_possible_run());
        EXPECT_EQ(journal.find(3)->attempts, 1u);
        EXPECT_TRUE(journal.find(3)->first_possible_run());
    }
}

// What is over stays known until its time is up, in a bounded part of the room.
TEST(Journal, KnowsWhatIsOverUntilItsTimeIsUp) {
    TemporaryFolder folder;
    {
        Journal journal(folder.path(), kRoom);
        for (const MessageId id : {1, 2, 3}) ASSERT_TRUE(journal.accept(make_message(id)));
        EXPECT_TRUE(journal.delivered(1));
        EXPECT_TRUE(journal.end(2, {}));
        EXPECT_EQ(journal.ended_ids().size(), 1u);  // 2 is still an entry
        EXPECT_TRUE(journal.confirm_notice(2));
    }
    for (int restart = 0; restart < 2; ++restart)  // the second reads what the first compacted
        EXPECT_EQ(Journal(folder.path(), kRoom).ended_ids(),
            (std::multimap<PersistentTime, MessageId>{
                {kNow + milliseconds(8000), 1}, {kNow + milliseconds(8000), 2}}));
    Journal journal(folder.path(), kRoom);
    journal.forget_ended_ids(kNow + milliseconds(7999));
    EXPECT_EQ(journal.ended_ids().size(), 2u);
    journal.forget_ended_ids(kNow + milliseconds(8000));
    EXPECT_TRUE(journal.ended_ids().empty());
    for (MessageId id = 10; id < 10'010; ++id) {
        ASSERT_TRUE(journal.accept(make_message(id)));
        EXPECT_TRUE(journal.delivered(id));
    }
    EXPECT_LE(journal.ended_ids().size() * 25, kRoom / 10);
    EXPECT_TRUE(journal.ended_ids().rbegin()->second == 10'009u);  // the latest stay
    EXPECT_LE(bytes_on_disk(folder.path()), kRoom);
}

// A process killed in a write leaves any prefix of the file: each must give the messages whose records are
// whole.
TEST(Journal, SurvivesACutAtEveryByte) {
    TemporaryFolder folder;
    std::vector<std::size_t> ends;
    {
        Journal journal(folder.path(), kRoom);
        for (MessageId id = 1; id <= 3; ++id) {
            ASSERT_TRUE(journal.accept(make_message(id)));
            ends.push_back(std::filesystem::file_size(folder.path() / "journal"));
        }
    }
    const std::string whole = bytes_of(folder.path() / "journal");
    for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
        write_bytes(folder.path() / "journal", whole.substr(0, cut));
        Journal journal(folder.path(), kRoom);
        const auto kept =
            std::count_if(ends.begin(), ends.end(), [cut](std::size_t end) { return end <= cut; });
        ASSERT_EQ(journal.entries().size(), static_cast<std::size_t>(kept)) << cut;
        ASSERT_TRUE(journal.accept(make_message(9)));  // and goes on behind what is left
        ASSERT_NE(Journal(folder.path(), kRoom).find(9), nullptr) << cut;
    }
}

TEST(Journal, SurvivesGarbage) {
    TemporaryFolder folder;
    { ASSERT_TRUE(Journal(folder.path(), kRoom).accept(make_message(1))); }
    const std::string whole = bytes_of(folder.path() / "journal");
    for (std::size_t at = 0; at < whole.size(); ++at) {
        std::string spoilt = whole;
        spoilt[at] = static_cast<char>(spoilt[at] ^ 0x55);
        write_bytes(folder.path() / "journal", spoilt);
        EXPECT_EQ(Journal(folder.path(), kRoom).entries().size(), 0u) << at;
    }
    write_bytes(folder.path() / "journal", whole + std::string(5000, '\xff'));
    write_bytes(folder.path() / "journal.new", "a compaction that was cut off");
    EXPECT_EQ(Journal(folder.path(), kRoom).entries().size(), 1u);
    EXPECT_FALSE(std::filesystem::exists(folder.path() / "journal.new"));
}

TEST(Journal, CompactsAndKeepsToItsRoom) {
    constexpr std::size_t room = 64 * 1024;
    TemporaryFolder folder;
    Journal journal(folder.path(), room);
    ASSERT_TRUE(journal.accept(make_message(1)));
    for (MessageId id = 2; id < 400; ++id) {
        ASSERT_TRUE(journal.accept(make_message(id, std::string(1000, 'b')))) << id;
        ASSERT_TRUE(journal.start_attempt(id, "s-1", kNow));
        EXPECT_TRUE(journal.delivered(id));
        ASSERT_LE(bytes_on_disk(folder.path()), room);
    }
    EXPECT_EQ(Journal(folder.path(), room).entries().size(), 1u);
}

TEST(Journal, TakesNothingOnBeyondItsRoom) {
    constexpr std::size_t room = 64 * 1024;
    TemporaryFolder folder;
    Journal journal(folder.path(), room);
    MessageId taken = 0;
    while (taken < 1000 && journal.accept(make_message(taken + 1, std::string(1000, 'b')))) ++taken;
    EXPECT_GT(taken, 10u);
    EXPECT_LT(taken, 64u);
    for (int round = 0; round < 12; ++round)  // what was taken on can still be tried and ended
        for (MessageId id = 1; id <= taken; ++id) {
            ASSERT_TRUE(journal.start_attempt(id, "s-1", kNow));
            EXPECT_TRUE(journal.end_attempt(id, true));
            ASSERT_LE(bytes_on_disk(folder.path()), room);
        }
    for (MessageId id = 1; id <= taken; ++id) EXPECT_TRUE(journal.delivered(id));
    EXPECT_TRUE(journal.accept(make_message(5000)));
}

// A full disk ends a write short: nothing may be said to be kept that is not, and no half record may stay.
TEST(Journal, ToldOfAFullDiskTakesNothingOn) {
    TemporaryFolder folder;
    Journal journal(folder.path(), kRoom);
    ASSERT_TRUE(journal.accept(make_message(1)));
    const auto size = std::filesystem::file_size(folder.path() / "journal");
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit before{};
    getrlimit(RLIMIT_FSIZE, &before);
    const rlimit full{size + 10, before.rlim_max};
    setrlimit(RLIMIT_FSIZE, &full);
    const bool taken = journal.accept(make_message(2));
    const bool begun = journal.start_attempt(1, "s-1", kNow);
    setrlimit(RLIMIT_FSIZE, &before);
    EXPECT_FALSE(taken);
    EXPECT_FALSE(begun);
    EXPECT_EQ(journal.find(1)->attempts, 0u);  // it must not begin, and is none
    EXPECT_EQ(std::filesystem::file_size(folder.path() / "journal"), size);
    ASSERT_TRUE(journal.accept(make_message(3)));
    Journal back(folder.path(), kRoom);
    EXPECT_EQ(back.find(2), nullptr);
    EXPECT_NE(back.find(3), nullptr);
    EXPECT_EQ(back.find(1)->attempts, 0u);
}

// ---- what keeps it from its work is named in one line of the log ----

std::size_t lines_of(const std::string& log) {
    return static_cast<std::size_t>(std::count(log.begin(), log.end(), '\n'));
}

TEST(JournalLog, NamesATornFile) {
    TemporaryFolder folder;
    {
        Journal journal(folder.path(), kRoom);
        for (const MessageId id : {1, 2}) ASSERT_TRUE(journal.accept(make_message(id)));
    }
    const std::string whole = bytes_of(folder.path() / "journal");
    write_bytes(folder.path() / "journal", whole.substr(0, whole.size() - 1));
    ::testing::internal::CaptureStderr();
    { Journal(folder.path(), kRoom); }
    const std::string log = ::testing::internal::GetCapturedStderr();
    EXPECT_EQ(lines_of(log), 1u) << log;
    EXPECT_NE(log.find("journal: torn"), std::string::npos) << log;
    EXPECT_NE(log.find("1 messages"), std::string::npos) << log;
    ::testing::internal::CaptureStderr();
    { Journal(folder.path(), kRoom); }  // it has been written anew
    EXPECT_EQ(::testing::internal::GetCapturedStderr(), "");
}

// The limit on the disk may have become smaller since it was written.
TEST(JournalLog, NamesAFileThatIsTooLarge) {
    constexpr std::size_t small = 16 * 1024;
    TemporaryFolder folder;
    {
        Journal journal(folder.path(), kRoom);
        for (MessageId id = 1; id <= 40; ++id)
            ASSERT_TRUE(journal.accept(make_message(id, std::string(1000, 'b'))));
    }
    ::testing::internal::CaptureStderr();
    {
        Journal journal(folder.path(), small);
        EXPECT_EQ(journal.entries().size(), 40u);
    }
    const std::string log = ::testing::internal::GetCapturedStderr();
    EXPECT_EQ(lines_of(log), 1u) << log;
    EXPECT_NE(log.find("journal: too large"), std::string::npos) << log;
}

// Once, however many messages are refused; once more where it was over meanwhile.
TEST(JournalLog, NamesAFullOneOnce) {
    constexpr std::size_t room = 64 * 1024;
    TemporaryFolder folder;
    Journal journal(folder.path(), room);
    for (int time = 1; time <= 2; ++time) {
        ::testing::internal::CaptureStderr();
        std::size_t refused = 0;
        for (MessageId id = 1; id <= 200; ++id)
            refused += journal.accept(make_message(id, std::string(1000, 'b'))) ? 0 : 1;
        const std::string log = ::testing::internal::GetCapturedStderr();
        EXPECT_EQ(lines_of(log), 1u) << log;
        EXPECT_NE(log.find("journal: full"), std::string::npos) << log;
        EXPECT_GT(refused, 1u);
        for (MessageId id = 1; id <= 200; ++id) EXPECT_TRUE(journal.delivered(id));
    }
}

TEST(JournalLog, NamesADiskThatCannotBeWritten) {
    TemporaryFolder folder;
    Journal journal(folder.path(), kRoom);
    ASSERT_TRUE(journal.accept(make_message(1)));
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit before{};
    getrlimit(RLIMIT_FSIZE, &before);
    const rlimit full{std::filesystem::file_size(folder.path() / "journal") + 10, before.rlim_max};
    ::testing::internal::CaptureStderr();
    setrlimit(RLIMIT_FSIZE, &full);
    for (const MessageId id : {2, 3, 4}) EXPECT_FALSE(journal.accept(make_message(id)));
    setrlimit(RLIMIT_FSIZE, &before);
    const std::string log = ::testing::internal::GetCapturedStderr();
    EXPECT_NE(log.find("journal: cannot be written"), std::string::npos) << log;
    EXPECT_EQ(lines_of(log), 1u) << log;
}

// However many there are: each may hold what is owed.
TEST(Journal, KeepsEveryUnreadableFileAside) {
    constexpr int files = 10;
    TemporaryFolder folder;
    for (int number = 1; number <= files; ++number) {
        std::filesystem::remove(folder.path() / "journal");
        std::filesystem::create_directory(folder.path() / "journal");  // it opens, and cannot be read
        std::ofstream(folder.path() / "journal" / std::to_string(number));
        EXPECT_THROW(Journal(folder.path(), kRoom), std::system_error);
        Journal journal(folder.path(), kRoom, Journal::OnReadError::KeepAside);
        EXPECT_TRUE(journal.accept(make_message(1)));
    }
    for (int number = 1; number <= files; ++number) {
        const auto aside = folder.path() / ("journal.unread-" + std::to_string(number));
        EXPECT_TRUE(std::filesystem::exists(aside / std::to_string(number))) << number;
    }
}

TEST(Journal, SaysThatAFolderCannotBeUsed) {
    EXPECT_THROW(Journal("/nonexistent/folder", kRoom), std::runtime_error);
}

}  // namespace
}  // namespace lockgw
