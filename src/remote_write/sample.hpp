/// Samples of time series, and the conversion of Prometheus metrics to samples.
#pragma once

#include <prometheus/metric_family.h>

#include <string>
#include <utility>
#include <vector>

namespace plumkeel::remote_write {

/// Label names and values of a series, sorted by name. The label `__name__` holds the name of the metric.
using Labels = std::vector<std::pair<std::string, std::string>>;

struct Sample {
    Labels labels;
    double value{};
};

/// Converts metrics to samples: one for each counter and gauge; for a histogram one for each bucket, its sum and its
/// count.
std::vector<Sample> to_samples(const std::vector<prometheus::MetricFamily>& families);

/// Prometheus' staleness marker: a NaN with a reserved bit pattern, which tells a receiver that a series has ended.
double stale_marker();
bool is_stale_marker(double value);

}  // namespace plumkeel::remote_write
