/// The gateway's metrics, kept in a prometheus-cpp registry.
///
/// All functions except collect() must be called on the gateway's thread. MetricsConfig limits the number of series.
/// Reads no clock.
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
    void request_ended(const CompletedRequest& request) { requests_.record(request); }
    void attempt_ended(const CompletedAttempt& attempt) { attempts_.record(attempt); }
    void health_check_sent() { health_checks_.Increment(); }
    void preload_sent() { preloads_.Increment(); }
    void set_snapshot(const MetricSnapshot& snapshot) { snapshot_metrics_.set(snapshot); }
    /// Updates which tenants and functions have separate series; to be called every few seconds.
    void update_reported_names() { requests_.update_reported_names(); }

    /// Returns all metrics in Prometheus' text format.
    std::string exposition() const;
    /// Returns all metrics; may be called on any thread.
    std::vector<prometheus::MetricFamily> collect() const { return registry_.Collect(); }
    const MetricsConfig& config() const { return config_; }

private:
    const MetricsConfig config_;
    prometheus::Registry registry_;
    MetricFamilies families_;
    RequestMetrics requests_;
    AttemptMetrics attempts_;
    SnapshotMetrics snapshot_metrics_;
    Counter &received_requests_, &client_retries_, &health_checks_, &preloads_;
};

}  // namespace plumkeel::metrics
