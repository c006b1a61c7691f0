#include "gateway/metrics_collector.hpp"

#include <algorithm>

namespace plumkeel::gateway {

namespace {

/// Collections between two updates of which tenants and functions have metric series of their own.
constexpr std::uint64_t collections_per_name_update = 5;

}  // namespace

void MetricsCollector::start() {
    due_at_ = loop_.now();
    collect();
}

void MetricsCollector::collect() {
    metrics::MetricSnapshot snapshot = status_.metric_snapshot();
    // The delay of this timer shows for how long the event loop was blocked.
    snapshot.gauge_update_delay_s = std::max(0.0, std::chrono::duration<double>(loop_.now() - due_at_).count());
    if (extend_snapshot_) extend_snapshot_(snapshot);
    metrics_.set_snapshot(snapshot);
    if (++collection_count_ % collections_per_name_update == 0) metrics_.update_reported_names();
    due_at_ = loop_.now() + metrics_.config().interval;
    timer_ = loop_.call_at(due_at_, [this] { collect(); });
}

}  // namespace plumkeel::gateway
