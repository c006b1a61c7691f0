/// Samples of time series, and how the metrics of a registry become samples.
#pragma once

#include <prometheus/metric_family.h>

#include <string>
#include <utility>
#include <vector>

namespace plumkeel::remote_write {

/// Label names and values of a series, sorted by name; `__name__` is among them.
using Labels = std::vector<std::pair<std::string, std::string>>;

struct Sample {
    Labels labels;
    double value{};
};

/// One sample for each counter and gauge; a histogram becomes its buckets, its sum and its count.
std::vector<Sample> flatten(const std::vector<prometheus::MetricFamily>& families);

/// Prometheus' staleness marker: a NaN with a bit pattern of its own, which says that a series has ended.
double stale_marker();
bool is_stale_marker(double value);

}  // namespace plumkeel::remote_write
