/// Metrics of completed attempts: outcomes, loads of functions and durations.
#pragma once

#include <array>

#include "metrics/metric_families.hpp"
#include "metrics/metric_labels.hpp"

namespace plumkeel::metrics {

struct CompletedAttempt {
    AttemptOutcome outcome{};
    LoadEvent load_event{};  ///< the invoker's report of whether the function was loaded
    bool expected_warm{};    ///< the function was expected to be loaded at the invoker
    bool starts_load{};      ///< the attempt was expected to load the function
    Time duration{};
};

class AttemptMetrics {
public:
    explicit AttemptMetrics(MetricFamilies& families);

    void record(const CompletedAttempt& attempt);

private:
    std::array<Counter*, attempt_outcomes.size()> by_outcome_{};
    std::array<Counter*, load_events.size()> by_load_event_{};
    Counter &warm_mispredictions_, &unfinished_loads_;
    Histogram &warm_duration_, &load_duration_;
};

}  // namespace plumkeel::metrics
