// The containers of the decision module: KeySequencer, TimeIndex and CountedValues.
#include <gtest/gtest.h>

#include "counted_values.hpp"
#include "key_sequencer.hpp"
#include "time_index.hpp"

namespace cometspoke {
namespace {

using std::chrono::microseconds;

constexpr microseconds kNever{1'000'000};

TEST(TimeIndex, KeepsOneTimePerIdentifier) {
    TimeIndex<int> index;
    EXPECT_EQ(index.earliest(), std::nullopt);
    index.set(1, microseconds(30));
    index.set(2, microseconds(20));
    index.set(1, microseconds(10));
    EXPECT_EQ(index.size(), 2u);
    EXPECT_EQ(index.earliest(), microseconds(10));
    EXPECT_EQ(index.due(microseconds(9)), std::vector<int>{});
    EXPECT_EQ(index.due(microseconds(20)), (std::vector<int>{1, 2}));
    index.erase(1);
    index.erase(1);
    EXPECT_FALSE(index.contains(1));
    EXPECT_EQ(index.earliest(), microseconds(20));
}

TEST(CountedValues, ReturnsSmallestRemainingValue) {
    CountedValues<int> values;
    EXPECT_EQ(values.least(9), 9);
    for (const int value : {5, 3, 3, 7}) values.add(value);
    EXPECT_EQ(values.least(9), 3);
    values.remove(3);
    EXPECT_EQ(values.least(9), 3);
    values.remove(3);
    EXPECT_EQ(values.least(9), 5);
}

TEST(KeySequencer, SendsInOrderAndErasesIdleKeys) {
    KeySequencer keys;
    keys.add(7, 1);
    keys.add(7, 2);
    EXPECT_LT(keys.turn_of(7, 1, kNever), microseconds(0));
    EXPECT_EQ(keys.turn_of(7, 2, kNever), kNever);
    keys.begin_attempt(7);
    EXPECT_EQ(keys.turn_of(7, 1, kNever), kNever);
    keys.rest(7, 1, microseconds(50));
    keys.end_attempt(7, microseconds(10));
    EXPECT_LT(keys.turn_of(7, 1, kNever), microseconds(0))
        << "a block does not hold back the message that caused it";
    keys.remove(7, 1, microseconds(10));
    EXPECT_EQ(keys.turn_of(7, 2, kNever), microseconds(50));
    EXPECT_EQ(keys.next_turn(microseconds(10), kNever), microseconds(50));
    keys.remove(7, 2, microseconds(20));
    EXPECT_EQ(keys.next_turn(microseconds(60), kNever), kNever);
    EXPECT_EQ(keys.turn_of(7, 2, kNever), kNever) << "a key without messages is erased after its block ends";
}

}  // namespace
}  // namespace cometspoke
