/// Metrics that are collected at an interval: gauges, and counters that other components keep.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "metrics/metric_families.hpp"

namespace plumkeel::metrics {

/// The gateway's state at one moment.
struct Levels {
    double open_requests{}, parked{};  ///< requests without a response, and of these the parked ones
    double reserved_bytes{};           ///< memory for request bodies
    double connections{};              ///< from clients
    double functions{};                ///< known to the gateway
    double connections_open{};         ///< to invokers
    double healthy{}, suspect{}, ejected{}, recovering{}, not_ready{}, slow_start{};  ///< invokers
    double in_flight_at_unhealthy{};             ///< attempts in flight at invokers that are suspect or ejected
    double longest_drain_s{};                    ///< how long a draining invoker has had attempts in flight
    double slowdown_median{}, slowdown_worst{};  ///< learned run times of invokers relative to their type
    double list_age_s{};                         ///< since the list of invokers was last confirmed
    double lag_s{};                              ///< delay of this collection
    // Counted since the start.
    double recorder_dropped{}, log_dropped{};         ///< trace records and log lines
    double unreachable{};                             ///< failed connections to invokers
    std::map<std::string, double> refused;            ///< requests rejected at admission, by reason
    std::map<std::string, double> invariants_broken;  ///< violations by invariant; all invariants, also those at 0
};

class LevelMetrics {
public:
    explicit LevelMetrics(MetricFamilies& families);

    void set(const Levels& levels);

private:
    using CountersByLabel = std::map<std::string, Counter*, std::less<>>;
    static void raise_all(CounterFamily& family, const char* name_of_label, CountersByLabel& counters,
                          const std::map<std::string, double>& values);

    MetricFamilies& families_;
    std::vector<std::pair<Gauge*, double Levels::*>> gauges_;
    Counter &collections_, &dropped_trace_records_, &dropped_log_lines_, &failed_connects_;
    CountersByLabel rejections_, invariant_violations_;
};

}  // namespace plumkeel::metrics
