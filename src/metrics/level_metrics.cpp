#include "metrics/level_metrics.hpp"

#include "metrics/metric_labels.hpp"

namespace plumkeel::metrics {
namespace {

struct InvokerStateGauge {
    const char* label;
    double MetricSnapshot::*value;
};

constexpr InvokerStateGauge invoker_state_gauges[] = {
    {"trusted", &MetricSnapshot::healthy},     {"suspect", &MetricSnapshot::suspect},
    {"aside", &MetricSnapshot::ejected},       {"easing", &MetricSnapshot::recovering},
    {"not_ready", &MetricSnapshot::not_ready}, {"cold", &MetricSnapshot::slow_start},
};

struct SnapshotGauge {
    const char* name;  // metric name without the prefix `plumkeel_`
    const char* help;
    double MetricSnapshot::*value;
};

constexpr SnapshotGauge snapshot_gauges[] = {
    {"open_jobs", "Requests that have no response yet", &MetricSnapshot::open_requests},
    {"parked_jobs", "Requests that are parked", &MetricSnapshot::parked_requests},
    {"door_held_bytes", "Memory reserved for request bodies", &MetricSnapshot::reserved_bytes},
    {"door_connections", "Open connections from clients", &MetricSnapshot::client_connections},
    {"functions", "Functions known to the controller", &MetricSnapshot::functions},
    {"lines_open", "Open connections to invokers", &MetricSnapshot::invoker_connections},
    {"hops_at_doubted", "Attempts in flight at invokers that are suspect or ejected",
     &MetricSnapshot::in_flight_at_unhealthy},
    {"oldest_drain_seconds", "Longest time that a draining invoker has had attempts in flight",
     &MetricSnapshot::longest_drain_s},
    {"pace_median", "Run time at an invoker relative to invokers of its type: median of all invokers",
     &MetricSnapshot::slowdown_median},
    {"pace_worst", "Run time at an invoker relative to invokers of its type: highest of all invokers",
     &MetricSnapshot::slowdown_worst},
    {"list_age_seconds", "Time since the list of invokers was last confirmed by its source",
     &MetricSnapshot::list_age_s},
    {"loop_lag_seconds", "How late the last update of the gauges was", &MetricSnapshot::gauge_update_delay_s},
};

void raise_counter(Counter& counter, double value) {
    if (value > counter.Value()) counter.Increment(value - counter.Value());
}

}  // namespace

SnapshotMetrics::SnapshotMetrics(MetricFamilies& families)
    : families_(families),
      gauge_updates_(families.gauge_updates.Add({})),
      dropped_trace_records_(families.dropped_trace_records.Add({})),
      dropped_log_lines_(families.dropped_log_lines.Add({})),
      failed_connects_(families.failed_connects.Add({})) {
    for (const InvokerStateGauge& gauge : invoker_state_gauges)
        gauges_.emplace_back(&families.invokers.Add({{label_name::invoker_state, gauge.label}}), gauge.value);
    for (const SnapshotGauge& gauge : snapshot_gauges)
        gauges_.emplace_back(&families.add_gauge(gauge.name, gauge.help).Add({}), gauge.value);
}

void SnapshotMetrics::set(const MetricSnapshot& snapshot) {
    for (const auto& [gauge, value] : gauges_) gauge->Set(snapshot.*value);
    gauge_updates_.Increment();
    raise_counter(dropped_trace_records_, snapshot.dropped_trace_records);
    raise_counter(dropped_log_lines_, snapshot.dropped_log_lines);
    raise_counter(failed_connects_, snapshot.failed_connects);
    raise_counters(families_.rejections, label_name::rejection_reason, rejections_, snapshot.rejections);
    raise_counters(families_.invariant_violations, label_name::invariant, invariant_violations_,
                   snapshot.invariant_violations);
}

void SnapshotMetrics::raise_counters(CounterFamily& family, const char* label_key, CountersByLabel& counters,
                                     const std::map<std::string, double>& values) {
    for (const auto& [label_value, value] : values) {
        Counter*& counter = counters[label_value];
        if (!counter) counter = &family.Add({{label_key, label_value}});
        raise_counter(*counter, value);
    }
}

}  // namespace plumkeel::metrics
