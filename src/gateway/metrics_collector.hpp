/// Updates the gauges of the gateway's metrics at regular intervals.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "config/gateway_config.hpp"
#include "gateway/status.hpp"
#include "metrics/gateway_metrics.hpp"
#include "net/event_loop.hpp"

namespace plumkeel::gateway {

/// Owns the timer, which runs from start() until the collector is destroyed.
class MetricsCollector {
public:
    MetricsCollector(net::EventLoop& loop, metrics::GatewayMetrics& metrics, const StatusReader& status)
        : loop_(loop), metrics_(metrics), status_(status) {}
    ~MetricsCollector() { loop_.cancel(timer_); }
    MetricsCollector(const MetricsCollector&) = delete;
    MetricsCollector& operator=(const MetricsCollector&) = delete;

    void start();
    /// `extend_snapshot` is called at each collection to add gauges that are measured outside the gateway.
    void set_snapshot_extension(std::function<void(metrics::MetricSnapshot&)> extend_snapshot) {
        extend_snapshot_ = std::move(extend_snapshot);
    }

private:
    void collect();

    net::EventLoop& loop_;
    metrics::GatewayMetrics& metrics_;
    const StatusReader& status_;
    std::function<void(metrics::MetricSnapshot&)> extend_snapshot_;
    net::EventLoop::TimerKey timer_{};
    Time due_at_{};
    std::uint64_t collection_count_{};
};

}  // namespace plumkeel::gateway
