#include "metrics/level_metrics.hpp"

#include "metrics/metric_labels.hpp"

namespace plumkeel::metrics {
namespace {

struct InvokerStateGauge {
    const char* label;
    double Levels::*value;
};

constexpr InvokerStateGauge invoker_state_gauges[] = {
    {"trusted", &Levels::healthy},   {"suspect", &Levels::suspect},     {"aside", &Levels::ejected},
    {"easing", &Levels::recovering}, {"not_ready", &Levels::not_ready}, {"cold", &Levels::slow_start},
};

struct LevelGauge {
    const char* name;  // without prefix
    const char* help;
    double Levels::*value;
};

constexpr LevelGauge level_gauges[] = {
    {"open_jobs", "Requests without a response", &Levels::open_requests},
    {"parked_jobs", "Requests parked", &Levels::parked},
    {"door_held_bytes", "Memory reserved for request bodies", &Levels::reserved_bytes},
    {"door_connections", "Connections from clients", &Levels::connections},
    {"functions", "Functions known", &Levels::functions},
    {"lines_open", "Connections to invokers", &Levels::connections_open},
    {"hops_at_doubted", "Attempts in flight at invokers suspect or ejected", &Levels::in_flight_at_unhealthy},
    {"oldest_drain_seconds", "How long a draining invoker has had attempts in flight, the longest",
     &Levels::longest_drain_s},
    {"pace_median", "Learned run time of invokers relative to their type: the median", &Levels::slowdown_median},
    {"pace_worst", "Learned run time of invokers relative to their type: the slowest", &Levels::slowdown_worst},
    {"list_age_seconds", "Since the list of invokers was last confirmed", &Levels::list_age_s},
    {"loop_lag_seconds", "Delay of the last update of the gauges", &Levels::lag_s},
};

void raise_to(Counter& counter, double value) {
    if (value > counter.Value()) counter.Increment(value - counter.Value());
}

}  // namespace

LevelMetrics::LevelMetrics(MetricFamilies& families)
    : families_(families),
      collections_(families.collections.Add({})),
      dropped_trace_records_(families.dropped_trace_records.Add({})),
      dropped_log_lines_(families.dropped_log_lines.Add({})),
      failed_connects_(families.failed_connects.Add({})) {
    for (const InvokerStateGauge& gauge : invoker_state_gauges)
        gauges_.emplace_back(&families.invokers.Add({{label_name::invoker_state, gauge.label}}), gauge.value);
    for (const LevelGauge& gauge : level_gauges)
        gauges_.emplace_back(&families.add_gauge(gauge.name, gauge.help).Add({}), gauge.value);
}

void LevelMetrics::set(const Levels& levels) {
    for (const auto& [gauge, value] : gauges_) gauge->Set(levels.*value);
    collections_.Increment();
    raise_to(dropped_trace_records_, levels.recorder_dropped);
    raise_to(dropped_log_lines_, levels.log_dropped);
    raise_to(failed_connects_, levels.unreachable);
    raise_all(families_.rejections, label_name::rejection_reason, rejections_, levels.refused);
    raise_all(families_.invariant_violations, label_name::invariant, invariant_violations_, levels.invariants_broken);
}

void LevelMetrics::raise_all(CounterFamily& family, const char* name_of_label, CountersByLabel& counters,
                             const std::map<std::string, double>& values) {
    for (const auto& [label_value, value] : values) {
        Counter*& counter = counters[label_value];
        if (!counter) counter = &family.Add({{name_of_label, label_value}});
        raise_to(*counter, value);
    }
}

}  // namespace plumkeel::metrics
