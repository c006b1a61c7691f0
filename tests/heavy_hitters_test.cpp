/// Which names get series of their own.
#include "metrics/heavy_hitters.hpp"

#include <gtest/gtest.h>

#include <cstdint>

namespace plumkeel::metrics {
namespace {

TEST(HeavyHitters, ReportsTheMostFrequentNamesOfASkewedStream) {
    HeavyHitters sketch(5, 50);
    std::uint64_t random_state = 3;
    const auto next = [&] {
        return (random_state = random_state * 6364136223846793005ULL + 1442695040888963407ULL) >> 33;
    };
    for (int round = 0; round < 10; ++round) {
        for (int i = 0; i < 2000; ++i) {
            const auto n = next() % 100;
            sketch.add(n < 80 ? "heavy" + std::to_string(n % 5) : "light" + std::to_string(next() % 10'000));
        }
        sketch.update_reported_names();
    }
    for (int i = 0; i < 5; ++i) EXPECT_TRUE(sketch.is_reported("heavy" + std::to_string(i))) << i;
}

TEST(HeavyHitters, NeverReportsNamesUsedOnce) {
    HeavyHitters sketch(3, 30);
    for (int round = 0; round < 20; ++round) {
        for (int i = 0; i < 500; ++i) EXPECT_FALSE(sketch.add("once" + std::to_string(round * 500 + i)));
        EXPECT_TRUE(sketch.update_reported_names().added.empty());
    }
}

// Another frequent name every second for an hour: reported names change only in reviews, a few in each.
TEST(HeavyHitters, ReplacesAFewNamesAtATimeUnderChangingLoad) {
    HeavyHitters sketch(16, 160);
    std::size_t changes = 0;
    for (int second = 0; second < 3600; ++second) {
        for (int i = 0; i < 50; ++i) sketch.add("frequent" + std::to_string(second));
        for (int i = 0; i < 20; ++i) sketch.add("steady");
        if (second % 5 == 4) {
            const auto turnover = sketch.update_reported_names();
            EXPECT_LE(turnover.removed.size(), 2u);
            changes += turnover.added.size();
        }
    }
    EXPECT_TRUE(sketch.is_reported("steady"));
    EXPECT_LE(changes, 16u + 720u * 2);
}

}  // namespace
}  // namespace plumkeel::metrics
