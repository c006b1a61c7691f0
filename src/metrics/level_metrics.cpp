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
    const char* name;  // without prefix
    const char* help;
    double MetricSnapshot::*value;
};

constexpr SnapshotGauge snapshot_gauges[] = {
    {"open_jobs", "Requests without a response", &MetricSnapshot::open_requests},
    {"parked_jobs", "Requests parked", &MetricSnapshot::parked_requests},
    {"door_held_bytes", "Memory reserved for request bodies", &MetricSnapshot::reserved_bytes},
    {"door_connections", "Connections from clients", &MetricSnapshot::client_connections},
    {"functions", "Functions known", &MetricSnapshot::functions},
    {"lines_open", "Connections to invokers", &MetricSnapshot::invoker_connections},
    {"hops_at_doubted", "Attempts in flight at invokers suspect or ejected", &MetricSnapshot::in_flight_at_unhealthy},
    {"oldest_drain_seconds", "How long a draining invoker has had attempts in flight, the longest",
     &MetricSnapshot::longest_drain_s},
    {"pace_median", "Learned run time of invokers relative to their type: the median",
     &MetricSnapshot::slowdown_median},
    {"pace_worst", "Learned run time of invokers relative to their type: the slowest", &MetricSnapshot::slowdown_worst},
    {"list_age_seconds", "Since the list of invokers was last confirmed", &MetricSnapshot::list_age_s},
    {"loop_lag_seconds", "Delay of the last update of the gauges", &MetricSnapshot::gauge_update_delay_s},
};

void raise_to(Counter& counter, double value) {
    if (value > counter.Value()) counter.Increment(value - counter.Value());
}

}  // namespace

SnapshotMetrics::SnapshotMetrics(MetricFamilies& families)
    : families_(families),
      collections_(families.collections.Add({})),
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
    collections_.Increment();
    raise_to(dropped_trace_records_, snapshot.dropped_trace_records);
    raise_to(dropped_log_lines_, snapshot.dropped_log_lines);
    raise_to(failed_connects_, snapshot.failed_connects);
    raise_all(families_.rejections, label_name::rejection_reason, rejections_, snapshot.rejections);
    raise_all(families_.invariant_violations, label_name::invariant, invariant_violations_,
              snapshot.invariant_violations);
}

void SnapshotMetrics::raise_all(CounterFamily& family, const char* name_of_label, CountersByLabel& counters,
                                const std::map<std::string, double>& values) {
    for (const auto& [label_value, value] : values) {
        Counter*& counter = counters[label_value];
        if (!counter) counter = &family.Add({{name_of_label, label_value}});
        raise_to(*counter, value);
    }
}

}  // namespace plumkeel::metrics
