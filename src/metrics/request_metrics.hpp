/// Metrics of completed requests, by request class, tenant and function.
#pragma once

#include <array>
#include <map>
#include <string>
#include <string_view>

#include "metrics/heavy_hitters.hpp"
#include "metrics/metric_families.hpp"
#include "metrics/metric_labels.hpp"
#include "metrics/metrics_config.hpp"

namespace plumkeel::metrics {

struct CompletedRequest {
    std::string_view request_class, tenant, function;
    RequestState state{};
    DecisionReason reason{};
    bool late{};             ///< the request succeeded, but after its latency target
    Time duration{};         ///< from request to response
    Time queue_time{};       ///< from the request to its first attempt, or to its end if there was none
    std::size_t attempts{};  ///< number of attempts that were sent
};

/// A histogram for each request class, created when the class has its first observation.
class HistogramByClass {
public:
    HistogramByClass(HistogramFamily& family, const Histogram::BucketBoundaries& buckets)
        : family_(family), buckets_(buckets) {}
    void observe(std::string_view request_class, double value);

private:
    HistogramFamily& family_;
    const Histogram::BucketBoundaries& buckets_;
    std::map<std::string, Histogram*, std::less<>> histograms_;
};

class RequestMetrics {
public:
    RequestMetrics(MetricFamilies& families, const MetricsConfig& config);

    void record(const CompletedRequest& request);
    /// Updates which tenants and functions have separate series, and removes the series of the others.
    void update_reported_names();

private:
    using OutcomeCounters = std::array<Counter*, request_outcomes.size()>;
    using CountersByClass = std::map<std::string, OutcomeCounters, std::less<>>;

    Counter& outcome_counter(std::string_view request_class, std::string_view tenant, RequestOutcome outcome);
    OutcomeCounters add_outcome_counters(std::string_view request_class, std::string_view tenant);
    Counter& function_counter(std::string_view function);
    Counter& failure_counter(DecisionReason reason);

    MetricFamilies& families_;
    HeavyHitters tenants_, functions_;
    std::map<std::string, CountersByClass, std::less<>> counters_by_tenant_;
    std::map<std::string, Counter*, std::less<>> counters_by_function_;
    std::map<std::string_view, Counter*> counters_by_reason_;  // by label value
    HistogramByClass request_duration_, queue_time_, attempts_per_request_;
};

}  // namespace plumkeel::metrics
