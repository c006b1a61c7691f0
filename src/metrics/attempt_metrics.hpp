/// Metrics of completed attempts: outcomes, loads of functions, durations.
#pragma once

#include <array>

#include "metrics/metric_families.hpp"
#include "metrics/metric_labels.hpp"

namespace plumkeel::metrics {

struct AttemptEnd {
    AttemptOutcome outcome{};
    LoadEvent load_event{};  ///< what the invoker reports of the function
    bool expected_warm{};    ///< the invoker was estimated to have the function loaded
    bool starts_load{};      ///< the attempt was to load the function
    Time duration{};
};

class AttemptMetrics {
public:
    explicit AttemptMetrics(MetricFamilies& families);

    void record(const AttemptEnd& end);

private:
    std::array<Counter*, attempt_outcomes.size()> by_outcome_{};
    std::array<Counter*, load_events.size()> by_load_event_{};
    Counter &warm_mispredictions_, &unfinished_loads_;
    Histogram &warm_duration_, &load_duration_;
};

}  // namespace plumkeel::metrics
