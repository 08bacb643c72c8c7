#include "net/ended_ids.hpp"

#include <gtest/gtest.h>

namespace lockgw {
namespace {

using std::chrono::seconds;
constexpr PersistentTime kStart{};

TEST(EndedIds, ForgetsIdsInTheOrderOfTheirExpiry) {
    EndedIds ids(1 << 20);
    ids.insert(1, kStart + seconds(60));
    ids.insert(2, kStart + seconds(1));
    ids.insert(3, kStart + seconds(30));
    ids.expire(kStart + seconds(1));
    EXPECT_TRUE(ids.contains(1));
    EXPECT_FALSE(ids.contains(2));  // one that expires later does not keep it
    EXPECT_TRUE(ids.contains(3));
    ids.expire(kStart + seconds(60));
    EXPECT_EQ(ids.size(), 0u);
}

// Failure: one client that sent requests with ever new ids made the memory grow for as long as one id of a
// long deadline had ended before them.
TEST(EndedIds, KeepsNoMoreThanItsMemoryAllows) {
    constexpr std::size_t kMaxBytes = 64 * 1024;
    EndedIds ids(kMaxBytes);
    ids.insert(1, kStart + seconds(60));
    for (MessageId id = 2; id < 100'000; ++id) ids.insert(id, kStart + seconds(2));
    EXPECT_EQ(ids.size(), ids.max_size());
    EXPECT_LE(ids.size(), kMaxBytes / 64);
    EXPECT_TRUE(ids.contains(1));  // the longest to come is kept
}

}  // namespace
}  // namespace lockgw
