// The containers of the decision module: turns per key, identifiers by time, counted values.
#include <gtest/gtest.h>

#include "counted_values.hpp"
#include "key_sequencer.hpp"
#include "time_index.hpp"

namespace cometspoke {
namespace {

using std::chrono::microseconds;

constexpr microseconds kNone{1'000'000};

TEST(TimeIndex, HoldsOneTimeForEachIdentifier) {
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

TEST(CountedValues, TellsTheLeastOfThoseThatAreLeft) {
    CountedValues<int> values;
    EXPECT_EQ(values.least(9), 9);
    for (const int value : {5, 3, 3, 7}) values.add(value);
    EXPECT_EQ(values.least(9), 3);
    values.remove(3);
    EXPECT_EQ(values.least(9), 3);
    values.remove(3);
    EXPECT_EQ(values.least(9), 5);
}

TEST(KeySequencer, GivesTurnsInOrderAndForgetsIdleKeys) {
    KeySequencer keys;
    keys.add(7, 1);
    keys.add(7, 2);
    EXPECT_LT(keys.turn_of(7, 1, kNone), microseconds(0));
    EXPECT_EQ(keys.turn_of(7, 2, kNone), kNone);
    keys.begin_attempt(7);
    EXPECT_EQ(keys.turn_of(7, 1, kNone), kNone);
    keys.rest(7, 1, microseconds(50));
    keys.end_attempt(7, microseconds(10));
    EXPECT_LT(keys.turn_of(7, 1, kNone), microseconds(0)) << "its own rest does not bind it";
    keys.remove(7, 1, microseconds(10));
    EXPECT_EQ(keys.turn_of(7, 2, kNone), microseconds(50));
    EXPECT_EQ(keys.next_turn(microseconds(10), kNone), microseconds(50));
    keys.remove(7, 2, microseconds(20));
    EXPECT_EQ(keys.next_turn(microseconds(60), kNone), kNone);
    EXPECT_EQ(keys.turn_of(7, 2, kNone), kNone) << "a key without messages is forgotten after its rest";
}

}  // namespace
}  // namespace cometspoke
