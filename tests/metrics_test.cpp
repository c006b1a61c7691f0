// The sketch of heaviest names, and the bound on the number of series.
#include <gtest/gtest.h>

#include "metrics/gateway_metrics.hpp"

namespace plumkeel::metrics {
namespace {

TEST(Heaviest, TheHeaviestOfASkewedStreamAreToldByThemselves) {
    HeavyHitters heaviest(5, 50);
    std::uint64_t dice = 3;
    const auto next = [&] { return (dice = dice * 6364136223846793005ULL + 1442695040888963407ULL) >> 33; };
    for (int round = 0; round < 10; ++round) {
        for (int i = 0; i < 2000; ++i) {
            const auto n = next() % 100;
            heaviest.add(n < 80 ? "heavy" + std::to_string(n % 5) : "light" + std::to_string(next() % 10'000));
        }
        heaviest.review();
    }
    for (int i = 0; i < 5; ++i) EXPECT_TRUE(heaviest.is_reported("heavy" + std::to_string(i))) << i;
}

TEST(Heaviest, NamesUsedOnceNeverTakeAPlace) {
    HeavyHitters heaviest(3, 30);
    for (int round = 0; round < 20; ++round) {
        for (int i = 0; i < 500; ++i) EXPECT_FALSE(heaviest.add("once" + std::to_string(round * 500 + i)));
        EXPECT_TRUE(heaviest.review().begun.empty());
    }
}

// A new favourite every second for an hour: names change places only at reviews, and only some at each.
TEST(Heaviest, FavouritesThatComeAndGoChangePlacesAFewAtATime) {
    HeavyHitters heaviest(16, 160);
    std::size_t changes = 0;
    for (int second = 0; second < 3600; ++second) {
        for (int i = 0; i < 50; ++i) heaviest.add("favourite" + std::to_string(second));
        for (int i = 0; i < 20; ++i) heaviest.add("steady");
        if (second % 5 == 4) {
            const auto turnover = heaviest.review();
            EXPECT_LE(turnover.ended.size(), 2u);
            changes += turnover.begun.size();
        }
    }
    EXPECT_TRUE(heaviest.is_reported("steady"));
    EXPECT_LE(changes, 16u + 720u * 2);
}

std::size_t series(const GatewayMetrics& meters, const std::string& family) {
    for (const auto& each : meters.collect())
        if (each.name == family) return each.metric.size();
    return 0;
}

TEST(Meters, SeriesStayBoundedUnderInventedNames) {
    MetricsConfig few;
    few.max_tenants = 4;
    few.max_functions = 6;
    GatewayMetrics meters(few, "c");
    for (int i = 0; i < 20'000; ++i) {
        const std::string tenant = "t" + std::to_string(i % 300),
                          function = "f" + std::to_string(i / 40 + (i % 7 ? 0 : 1'000'000 + i));
        meters.request_ended({"u", tenant, function, i % 9 ? RequestState::succeeded : RequestState::rejected,
                              DecisionReason::overloaded, false, Time(1000), Time(10), 1});
        if (i % 100 == 0) meters.review();
    }
    EXPECT_LE(series(meters, "plumkeel_function_jobs_total"), 7u);
    EXPECT_LE(series(meters, "plumkeel_jobs_total"), 5u * 5u);
}

TEST(Meters, ALateJobIsNotCountedAsHonoured) {
    GatewayMetrics meters({}, "c");
    meters.request_ended(
        {"u", "", "f", RequestState::succeeded, DecisionReason::response_received, true, Time(2'000'000), Time(0), 1});
    const std::string page = meters.exposition();
    EXPECT_NE(page.find("plumkeel_jobs_total{controller=\"c\",outcome=\"late\",tenant=\"\",use_case=\"u\"} 1"),
              std::string::npos)
        << page;
    EXPECT_NE(page.find("outcome=\"honoured\",tenant=\"\",use_case=\"u\"} 0"), std::string::npos);
}

}  // namespace
}  // namespace plumkeel::metrics
