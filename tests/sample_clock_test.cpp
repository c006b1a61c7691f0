/// Timestamps of samples while the machine's clock is set.
#include "remote_write/sample_clock.hpp"

#include <gtest/gtest.h>

namespace plumkeel::remote_write {
namespace {

using namespace std::chrono_literals;

TEST(SampleClock, TimestampsIncreaseWhenTheWallClockIsSet) {
    SampleClock clock(1000s, 0s);
    std::int64_t last = 0;
    for (int i = 1; i <= 100; ++i) {
        const Time now = std::chrono::seconds(i);
        const Time wall = 1000s + now - (i > 30 ? Time(1h) : Time{}) + (i > 60 ? Time(3h) : Time{});
        const auto ms = clock.ms(wall, now);
        EXPECT_GT(ms, last);
        if (i > 1 && i != 61) {
            EXPECT_EQ(ms - last, 1000) << i;  // so that rates stay right
        }
        last = ms;
    }
    EXPECT_GE(last, (1000s + 2h) / 1ms);
    // The clock was set back between two runs.
    SampleClock next_run(900s, 0s, 1'000'000);
    EXPECT_EQ(next_run.ms(901s, 1s), 1'001'000);
}

}  // namespace
}  // namespace plumkeel::remote_write
