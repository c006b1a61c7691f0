#include "trace_analysis/summary.hpp"

#include <gtest/gtest.h>

#include "tests/trace_analysis_fixtures.hpp"

namespace plumkeel::trace_analysis {
namespace {

using namespace std::chrono_literals;

TEST(Summary, CountsByOutcomeInvokerAndSecond) {
    const auto records = simulated_trace({});
    Summary summary;
    NameTable names;
    OutcomeCounts counts;
    for (const Record& each : records) {
        names.feed(each);
        summary.add_annotations(each, names);
    }
    std::uint64_t attempts = 0;
    for (const RequestHistory& history : histories_of(records)) {
        summary.add(history);
        counts.add(history);
        attempts += history.attempts.size();
    }
    summary.finish();
    EXPECT_EQ(summary.all().outcomes.total(), 400u);
    EXPECT_GT(counts.succeeded, 200u);
    EXPECT_GT(counts.failed, 0u);
    std::uint64_t by_function = 0, by_invoker = 0, by_second = 0, received = 0;
    for (const auto& [name, requests] : summary.functions()) by_function += requests.outcomes.total();
    for (const auto& [name, stats] : summary.invokers()) by_invoker += stats.sent;
    for (const SecondStats& each : summary.seconds()) by_second += each.ended.total(), received += each.received;
    EXPECT_EQ(by_function, 400u);
    EXPECT_EQ(by_invoker, attempts);
    EXPECT_EQ(by_second, 400u);
    EXPECT_EQ(received, 400u);
    ASSERT_TRUE(summary.worst_period());
    EXPECT_LE(summary.worst_period()->ended.ended_badly(), counts.ended_badly());
    EXPECT_TRUE(
        std::any_of(summary.annotations().begin(), summary.annotations().end(),
                    [](const Annotation& annotation) { return annotation.what.find("drains") != std::string::npos; }));
}

TEST(LatencyHistogram, QuantilesAreWithinTwoPercent) {
    LatencyHistogram histogram;
    EXPECT_EQ(histogram.quantile(0.5), Time{});
    for (int i = 1; i <= 10'000; ++i) histogram.add(Time(i * 100));
    for (const double fraction : {0.01, 0.5, 0.9, 0.99, 0.999})
        EXPECT_NEAR(static_cast<double>(histogram.quantile(fraction).count()), fraction * 1e6, fraction * 1e6 * 0.021)
            << fraction;
    EXPECT_EQ(histogram.quantile(1), Time(1'000'000));
    LatencyHistogram wide_histogram;
    wide_histogram.add(Time(1));
    wide_histogram.add(std::chrono::hours(1));
    EXPECT_EQ(wide_histogram.quantile(0.1), Time(1));
    EXPECT_EQ(wide_histogram.quantile(1), std::chrono::hours(1));
}

TEST(Summary, TablesAndTimeLineAreBounded) {
    Summary summary(3, 10);
    for (int i = 0; i < 20; ++i) {
        RequestHistory history;
        history.submission_recorded = true;
        history.function = "f" + std::to_string(i);
        history.received_at = history.ended_at = std::chrono::seconds(i);
        summary.add(history);
    }
    summary.finish();
    EXPECT_EQ(summary.functions().size(), 4u);
    EXPECT_EQ(summary.functions().at("(others)").outcomes.total(), 17u);
    EXPECT_EQ(summary.seconds().size(), 10u);
    EXPECT_EQ(summary.all().outcomes.total(), 20u);
}

TEST(Summary, WorstPeriodHasTheMostRequestsThatEndedBadly) {
    Summary summary;
    auto add_request = [&](int second, RequestState outcome) {
        RequestHistory history;
        history.submission_recorded = true;
        history.received_at = history.ended_at = std::chrono::seconds(second);
        history.outcome = outcome;
        summary.add(history);
    };
    for (int second = 0; second < 60; ++second) add_request(second, RequestState::succeeded);
    for (int second = 30; second < 38; ++second) add_request(second, RequestState::rejected);
    add_request(5, RequestState::failed);
    summary.finish();
    ASSERT_TRUE(summary.worst_period());
    EXPECT_EQ(summary.worst_period()->ended.rejected, 8u);
    EXPECT_LE(summary.worst_period()->from, 30s);
    EXPECT_GE(summary.worst_period()->from, 28s);
}

}  // namespace
}  // namespace plumkeel::trace_analysis
