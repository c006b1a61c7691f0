/// The gateway's metric families: their names, help texts and registration.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace plumkeel::metrics {

using Counter = prometheus::Counter;
using Gauge = prometheus::Gauge;
using Histogram = prometheus::Histogram;
using CounterFamily = prometheus::Family<Counter>;
using GaugeFamily = prometheus::Family<Gauge>;
using HistogramFamily = prometheus::Family<Histogram>;

/// Registers counters, histograms and the gauge of invokers. The registry exposes families in the order of
/// registration, which is the order of the members.
class MetricFamilies {
public:
    /// `controller` is the value of the label `controller`, which all metrics have.
    MetricFamilies(prometheus::Registry& registry, const std::string& controller);
    MetricFamilies(const MetricFamilies&) = delete;

    /// Registers another gauge. `name` is given without the prefix `plumkeel_`.
    GaugeFamily& add_gauge(const std::string& name, const char* help);

private:
    CounterFamily& add_counter(const std::string& name, const char* help);
    HistogramFamily& add_histogram(const std::string& name, const char* help);

    prometheus::Registry& registry_;
    const prometheus::Labels labels_;

public:
    CounterFamily &requests, &function_requests, &failures, &attempts, &loads, &rejections, &invariant_violations;
    CounterFamily &received_requests, &client_retries, &gauge_updates, &health_checks, &preloads, &warm_mispredictions,
        &unfinished_loads, &dropped_trace_records, &dropped_log_lines, &failed_connects;
    HistogramFamily &request_duration, &queue_time, &attempts_per_request;
    HistogramFamily &attempt_duration, &load_duration;
    GaugeFamily& invokers;
};

}  // namespace plumkeel::metrics
