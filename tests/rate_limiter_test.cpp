/// RateLimiter, which limits the rate of log lines.
#include "log/rate_limiter.hpp"

#include <gtest/gtest.h>

namespace plumkeel {
namespace {

using net::Time;

TEST(RateLimiter, LimitsRateAndCountsSuppressedEvents) {
    RateLimiter limiter(10, 5);
    int allowed = 0;
    for (int i = 0; i < 1000; ++i) allowed += limiter.allow(Time(i * 1000));
    EXPECT_GE(allowed, 14);
    EXPECT_LE(allowed, 16);
    EXPECT_EQ(limiter.take_suppressed(), 1000u - static_cast<unsigned>(allowed));
    EXPECT_EQ(limiter.take_suppressed(), 0u);
}

}  // namespace
}  // namespace plumkeel
