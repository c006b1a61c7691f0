/// Tests which names HeavyHitters selects for separate series.
#include "metrics/heavy_hitters.hpp"

#include <gtest/gtest.h>

#include <cstdint>

namespace plumkeel::metrics {
namespace {

TEST(HeavyHitters, ReportsTheMostFrequentNamesOfASkewedStream) {
    HeavyHitters heavy_hitters(5, 50);
    std::uint64_t random_state = 3;
    const auto next_random = [&] {
        return (random_state = random_state * 6364136223846793005ULL + 1442695040888963407ULL) >> 33;
    };
    for (int round = 0; round < 10; ++round) {
        for (int i = 0; i < 2000; ++i) {
            const auto random_number = next_random() % 100;
            heavy_hitters.add(random_number < 80 ? "heavy" + std::to_string(random_number % 5)
                                                 : "light" + std::to_string(next_random() % 10'000));
        }
        heavy_hitters.update_reported_names();
    }
    for (int i = 0; i < 5; ++i) EXPECT_TRUE(heavy_hitters.is_reported("heavy" + std::to_string(i))) << i;
}

TEST(HeavyHitters, NeverReportsNamesUsedOnce) {
    HeavyHitters heavy_hitters(3, 30);
    for (int round = 0; round < 20; ++round) {
        for (int i = 0; i < 500; ++i) EXPECT_FALSE(heavy_hitters.add("once" + std::to_string(round * 500 + i)));
        EXPECT_TRUE(heavy_hitters.update_reported_names().added.empty());
    }
}

// Every second another name is frequent. Guards against replacing many reported names in one update.
TEST(HeavyHitters, ReplacesAFewNamesAtATimeUnderChangingLoad) {
    HeavyHitters heavy_hitters(16, 160);
    std::size_t added_names = 0;
    for (int second = 0; second < 3600; ++second) {
        for (int i = 0; i < 50; ++i) heavy_hitters.add("frequent" + std::to_string(second));
        for (int i = 0; i < 20; ++i) heavy_hitters.add("steady");
        if (second % 5 == 4) {
            const auto changes = heavy_hitters.update_reported_names();
            EXPECT_LE(changes.removed.size(), 2u);
            added_names += changes.added.size();
        }
    }
    EXPECT_TRUE(heavy_hitters.is_reported("steady"));
    EXPECT_LE(added_names, 16u + 720u * 2);
}

}  // namespace
}  // namespace plumkeel::metrics
