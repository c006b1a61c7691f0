#include "metrics/attempt_metrics.hpp"

#include "metrics/duration_buckets.hpp"

namespace plumkeel::metrics {

AttemptMetrics::AttemptMetrics(MetricFamilies& families)
    : warm_mispredictions_(families.warm_mispredictions.Add({})),
      unfinished_loads_(families.unfinished_loads.Add({})),
      warm_duration_(families.attempt_duration.Add({}, duration_buckets())),
      load_duration_(families.load_duration.Add({}, duration_buckets())) {
    for (const AttemptOutcome outcome : attempt_outcomes)
        by_outcome_[static_cast<std::size_t>(outcome)] =
            &families.attempts.Add({{label_name::attempt_outcome, label(outcome)}});
    for (const LoadEvent event : load_events)
        by_load_event_[static_cast<std::size_t>(event)] = &families.loads.Add({{label_name::load_event, label(event)}});
}

void AttemptMetrics::record(const AttemptEnd& end) {
    by_outcome_[static_cast<std::size_t>(end.outcome)]->Increment();
    const bool succeeded = end.outcome == AttemptOutcome::succeeded;
    if (end.starts_load && !succeeded) unfinished_loads_.Increment();
    if (!succeeded) return;
    by_load_event_[static_cast<std::size_t>(end.load_event)]->Increment();
    const bool loaded = end.load_event == LoadEvent::started_load;
    if (end.expected_warm && loaded) warm_mispredictions_.Increment();
    if (loaded)
        load_duration_.Observe(to_seconds(end.duration));
    else if (end.expected_warm)
        warm_duration_.Observe(to_seconds(end.duration));
}

}  // namespace plumkeel::metrics
