/// Metrics that are set from a snapshot at regular intervals: gauges, and counters kept by other components.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "metrics/metric_families.hpp"

namespace plumkeel::metrics {

/// Values of the gateway's gauges, and of counters kept by other components, at one moment.
struct MetricSnapshot {
    double open_requests{}, parked_requests{};  ///< requests without a response; requests that are parked
    double reserved_bytes{};                    ///< memory reserved for request bodies
    double client_connections{};                ///< open connections from clients
    double functions{};                         ///< functions known to the gateway
    double invoker_connections{};               ///< open connections to invokers
    double healthy{}, suspect{}, ejected{}, recovering{}, not_ready{},
        slow_start{};                            ///< number of invokers in each state
    double in_flight_at_unhealthy{};             ///< attempts in flight at suspect or ejected invokers
    double longest_drain_s{};                    ///< longest time that a draining invoker has had attempts in flight
    double slowdown_median{}, slowdown_worst{};  ///< estimated run time at an invoker relative to invokers of its type
    double list_age_s{};                         ///< time since the list of invokers was last confirmed
    double gauge_update_delay_s{};               ///< how late this snapshot was taken
    // The following values count events since the start of the process.
    double dropped_trace_records{}, dropped_log_lines{};  ///< trace records and log lines that were not written
    double failed_connects{};                             ///< failed connections to invokers
    std::map<std::string, double> rejections;             ///< requests rejected at admission, by reason
    std::map<std::string, double>
        invariant_violations;  ///< violations by name of the invariant; invariants without violations have 0
};

class SnapshotMetrics {
public:
    explicit SnapshotMetrics(MetricFamilies& families);

    void set(const MetricSnapshot& snapshot);

private:
    using CountersByLabel = std::map<std::string, Counter*, std::less<>>;
    static void raise_counters(CounterFamily& family, const char* label_key, CountersByLabel& counters,
                               const std::map<std::string, double>& values);

    MetricFamilies& families_;
    std::vector<std::pair<Gauge*, double MetricSnapshot::*>> gauges_;
    Counter &gauge_updates_, &dropped_trace_records_, &dropped_log_lines_, &failed_connects_;
    CountersByLabel rejections_, invariant_violations_;
};

}  // namespace plumkeel::metrics
