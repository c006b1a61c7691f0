/// Tests the values and the number of the gateway's series.
#include "metrics/gateway_metrics.hpp"

#include <gtest/gtest.h>

namespace plumkeel::metrics {
namespace {

std::size_t series_count(const GatewayMetrics& metrics, const std::string& family) {
    for (const auto& collected_family : metrics.collect())
        if (collected_family.name == family) return collected_family.metric.size();
    return 0;
}

TEST(GatewayMetrics, NumberOfSeriesIsBoundedUnderInventedNames) {
    MetricsConfig config;
    config.max_tenants = 4;
    config.max_functions = 6;
    GatewayMetrics metrics(config, "c");
    for (int i = 0; i < 20'000; ++i) {
        const std::string tenant = "t" + std::to_string(i % 300),
                          function = "f" + std::to_string(i / 40 + (i % 7 ? 0 : 1'000'000 + i));
        metrics.request_ended({"u", tenant, function, i % 9 ? RequestState::succeeded : RequestState::rejected,
                               DecisionReason::overloaded, false, Time(1000), Time(10), 1});
        if (i % 100 == 0) metrics.update_reported_names();
    }
    EXPECT_LE(series_count(metrics, "plumkeel_function_jobs_total"), 7u);
    EXPECT_LE(series_count(metrics, "plumkeel_jobs_total"), 5u * 5u);
}

TEST(GatewayMetrics, LateRequestsAreNotCountedAsSucceeded) {
    GatewayMetrics metrics({}, "c");
    metrics.request_ended(
        {"u", "", "f", RequestState::succeeded, DecisionReason::response_received, true, Time(2'000'000), Time(0), 1});
    const std::string exposition = metrics.exposition();
    EXPECT_NE(exposition.find("plumkeel_jobs_total{controller=\"c\",outcome=\"late\",tenant=\"\",use_case=\"u\"} 1"),
              std::string::npos)
        << exposition;
    EXPECT_NE(exposition.find("outcome=\"honoured\",tenant=\"\",use_case=\"u\"} 0"), std::string::npos);
}

}  // namespace
}  // namespace plumkeel::metrics
