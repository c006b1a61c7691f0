/// Tests that the timestamps of samples increase while the machine's clock is set.
#include "remote_write/sample_clock.hpp"

#include <gtest/gtest.h>

namespace plumkeel::remote_write {
namespace {

using namespace std::chrono_literals;

TEST(SampleClock, TimestampsIncreaseWhenTheWallClockIsSet) {
    SampleClock clock(1000s, 0s);
    std::int64_t last_ms = 0;
    for (int i = 1; i <= 100; ++i) {
        const Time now = std::chrono::seconds(i);
        const Time wall_time = 1000s + now - (i > 30 ? Time(1h) : Time{}) + (i > 60 ? Time(3h) : Time{});
        const auto timestamp_ms = clock.next_timestamp_ms(wall_time, now);
        EXPECT_GT(timestamp_ms, last_ms);
        if (i > 1 && i != 61) {
            EXPECT_EQ(timestamp_ms - last_ms, 1000) << i;  // timestamps advance with the monotonic clock
        }
        last_ms = timestamp_ms;
    }
    EXPECT_GE(last_ms, (1000s + 2h) / 1ms);
    // The wall clock was set back between two runs of the process.
    SampleClock next_run(900s, 0s, 1'000'000);
    EXPECT_EQ(next_run.next_timestamp_ms(901s, 1s), 1'001'000);
}

}  // namespace
}  // namespace plumkeel::remote_write
