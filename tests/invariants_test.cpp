// The checks at run time: what they count, what they tell, and which repeats and promises they let pass.
#include "gateway/invariants.hpp"

#include <gtest/gtest.h>

#include "net/simulated_event_loop.hpp"

namespace plumkeel::gateway {
namespace {

using namespace std::chrono_literals;

TEST(Invariants, CountEachBreakAndDescribeOnlyBreaks) {
    net::SimulatedEventLoop loop;
    LogConfig rules;
    rules.file = "/dev/null";
    Log log(loop, rules);
    Invariants invariants(log);
    int described = 0;
    const auto fields = [&] {
        ++described;
        return Invariants::Fields{{"request", "r"}};
    };
    invariants.check(true, Invariant::unsafe_repeat, fields);
    EXPECT_EQ(invariants.broken(), 0u);
    EXPECT_EQ(described, 0);
    invariants.check(false, Invariant::unsafe_repeat, fields);
    invariants.check(false, Invariant::unsafe_repeat, fields);
    invariants.check(false, Invariant::answered_late, fields);
    EXPECT_EQ(invariants.broken(Invariant::unsafe_repeat), 2u);
    EXPECT_EQ(invariants.broken(Invariant::answered_late), 1u);
    EXPECT_EQ(invariants.broken(), 3u);
    EXPECT_EQ(described, 3);
    EXPECT_EQ(word_of(Invariant::refused_what_may_have_run), "refused_what_may_have_run");
}

class RepeatTest : public testing::Test {
protected:
    RepeatTest() {
        here.zone = same_cell.zone = same_zone.zone = "a";
        elsewhere.zone = "b";
        here.cell = same_cell.cell = 1;
        same_zone.cell = 2;
        elsewhere.cell = 3;
        use.deduplication_window = 5s;
    }
    bool may(const Invoker& to, Time now) const { return may_repeat(use, here, 1s, to, now); }
    RequestClass use;
    Invoker here, same_cell, same_zone, elsewhere;
};

TEST_F(RepeatTest, WhatMayRunAgainMayAnywhere) {
    use.idempotency = Idempotency::idempotent;
    EXPECT_TRUE(may(elsewhere, 60s));
    EXPECT_TRUE(may_promise_no_effect(use, 1s, 60s));
}

TEST_F(RepeatTest, WhatMayRunButOnceNeverMay) {
    use.idempotency = Idempotency::at_most_once;
    EXPECT_FALSE(may(here, 1s));
    EXPECT_FALSE(may_promise_no_effect(use, 1s, 1s));
}

TEST_F(RepeatTest, ByItsKeyItMayWhereAndWhileTheKeyIsKnown) {
    use.idempotency = Idempotency::deduplicated;
    use.deduplication_scope = DeduplicationScope::global;
    EXPECT_TRUE(may(elsewhere, 6s));
    EXPECT_FALSE(may(elsewhere, 6001ms));
    EXPECT_TRUE(may_promise_no_effect(use, 1s, 6s));
    EXPECT_FALSE(may_promise_no_effect(use, 1s, 6001ms));
    use.deduplication_scope = DeduplicationScope::zone;
    EXPECT_TRUE(may(same_zone, 2s));
    EXPECT_FALSE(may(elsewhere, 2s));
    EXPECT_FALSE(may_promise_no_effect(use, 1s, 2s));
    use.deduplication_scope = DeduplicationScope::cell;
    EXPECT_TRUE(may(same_cell, 2s));
    EXPECT_FALSE(may(same_zone, 2s));
}

}  // namespace
}  // namespace plumkeel::gateway
