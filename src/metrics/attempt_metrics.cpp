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

void AttemptMetrics::record(const CompletedAttempt& attempt) {
    by_outcome_[static_cast<std::size_t>(attempt.outcome)]->Increment();
    const bool succeeded = attempt.outcome == AttemptOutcome::succeeded;
    if (attempt.starts_load && !succeeded) unfinished_loads_.Increment();
    if (!succeeded) return;
    by_load_event_[static_cast<std::size_t>(attempt.load_event)]->Increment();
    const bool loaded = attempt.load_event == LoadEvent::started_load;
    if (attempt.expected_warm && loaded) warm_mispredictions_.Increment();
    if (loaded)
        load_duration_.Observe(to_seconds(attempt.duration));
    else if (attempt.expected_warm)
        warm_duration_.Observe(to_seconds(attempt.duration));
}

}  // namespace plumkeel::metrics
