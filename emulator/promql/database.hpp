/// An in-memory store of time series, and the instant vectors that queries return.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace plumkeel::promql {

/// Maps label names to values. The metric name is stored as the label `__name__`.
using Labels = std::map<std::string, std::string>;

constexpr const char* metric_name_label = "__name__";

Labels without_metric_name(Labels labels);

struct Sample {
    std::int64_t ms{};  ///< milliseconds since the Unix epoch
    double value{};
};

struct Series {
    Labels labels;
    std::vector<Sample> samples;  ///< in ascending order of time; a staleness marker means that the series ended
};

/// The sample value with which Prometheus marks the end of a series: a NaN with a reserved bit pattern.
double stale_marker();
bool is_stale_marker(double value);

/// One series of an instant vector, with its value at the time of the evaluation.
struct VectorElement {
    Labels labels;
    double value{};
};
using Vector = std::vector<VectorElement>;

class Database {
public:
    void add(Series series);
    const std::vector<Series>& find_series(const std::string& metric_name) const;
    /// first_ms() and last_ms() return the timestamps of the oldest and the newest sample of all series. If there are
    /// no samples, first_ms() is greater than last_ms().
    std::int64_t first_ms() const { return first_ms_; }
    std::int64_t last_ms() const { return last_ms_; }

private:
    std::map<std::string, std::vector<Series>> series_by_name_;
    std::int64_t first_ms_ = std::numeric_limits<std::int64_t>::max();
    std::int64_t last_ms_ = std::numeric_limits<std::int64_t>::min();
};

}  // namespace plumkeel::promql
