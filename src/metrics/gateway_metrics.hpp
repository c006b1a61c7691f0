/// The gateway's own metrics, in a prometheus-cpp registry.
///
/// All functions but collect() are called on the gateway's thread; none reads a clock. MetricsConfig bounds the number
/// of series.
#pragma once

#include <prometheus/registry.h>

#include <string>
#include <vector>

#include "metrics/attempt_metrics.hpp"
#include "metrics/level_metrics.hpp"
#include "metrics/metric_families.hpp"
#include "metrics/metrics_config.hpp"
#include "metrics/request_metrics.hpp"

namespace plumkeel::metrics {

class GatewayMetrics {
public:
    GatewayMetrics(MetricsConfig config, const std::string& controller);

    void request_received(bool is_client_retry);
    void request_ended(const RequestEnd& end) { requests_.record(end); }
    void attempt_ended(const AttemptEnd& end) { attempts_.record(end); }
    void health_check_sent() { health_checks_.Increment(); }
    void preload_sent() { preloads_.Increment(); }
    void set_snapshot(const MetricSnapshot& snapshot) { snapshot_metrics_.set(snapshot); }
    /// Updates which tenants and functions have series of their own; to be called every few seconds.
    void update_reported_names() { requests_.update_reported_names(); }

    /// All metrics in Prometheus' text format.
    std::string exposition() const;
    /// From any thread.
    std::vector<prometheus::MetricFamily> collect() const { return registry_.Collect(); }
    const MetricsConfig& config() const { return config_; }

private:
    const MetricsConfig config_;
    prometheus::Registry registry_;
    MetricFamilies families_;
    RequestMetrics requests_;
    AttemptMetrics attempts_;
    SnapshotMetrics snapshot_metrics_;
    Counter &received_, &client_retries_, &health_checks_, &preloads_;
};

}  // namespace plumkeel::metrics
