/// Metrics that are collected at an interval: gauges, and counters that other components keep.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "metrics/metric_families.hpp"

namespace plumkeel::metrics {

/// The gateway's state at one moment.
struct MetricSnapshot {
    double open_requests{}, parked_requests{};  ///< requests without a response, and of these the parked ones
    double reserved_bytes{};                    ///< memory for request bodies
    double client_connections{};                ///< from clients
    double functions{};                         ///< known to the gateway
    double invoker_connections{};               ///< to invokers
    double healthy{}, suspect{}, ejected{}, recovering{}, not_ready{}, slow_start{};  ///< invokers
    double in_flight_at_unhealthy{};             ///< attempts in flight at invokers that are suspect or ejected
    double longest_drain_s{};                    ///< how long a draining invoker has had attempts in flight
    double slowdown_median{}, slowdown_worst{};  ///< learned run times of invokers relative to their type
    double list_age_s{};                         ///< since the list of invokers was last confirmed
    double gauge_update_delay_s{};               ///< delay of this collection
    // Counted since the start.
    double dropped_trace_records{}, dropped_log_lines{};  ///< trace records and log lines
    double failed_connects{};                             ///< failed connections to invokers
    std::map<std::string, double> rejections;             ///< requests rejected at admission, by reason
    std::map<std::string, double> invariant_violations;   ///< violations by invariant; all invariants, also those at 0
};

class SnapshotMetrics {
public:
    explicit SnapshotMetrics(MetricFamilies& families);

    void set(const MetricSnapshot& snapshot);

private:
    using CountersByLabel = std::map<std::string, Counter*, std::less<>>;
    static void raise_all(CounterFamily& family, const char* name_of_label, CountersByLabel& counters,
                          const std::map<std::string, double>& values);

    MetricFamilies& families_;
    std::vector<std::pair<Gauge*, double MetricSnapshot::*>> gauges_;
    Counter &collections_, &dropped_trace_records_, &dropped_log_lines_, &failed_connects_;
    CountersByLabel rejections_, invariant_violations_;
};

}  // namespace plumkeel::metrics
