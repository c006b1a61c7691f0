/// Series of samples in memory, and vectors of them.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace plumkeel::promql {

/// Label names and values; the metric's name is the label `__name__`.
using Labels = std::map<std::string, std::string>;

constexpr const char* metric_name_label = "__name__";

Labels without_metric_name(Labels labels);

struct Sample {
    std::int64_t ms{};  ///< since the Unix epoch
    double value{};
};

struct Series {
    Labels labels;
    std::vector<Sample> samples;  ///< by time; a staleness marker ends the series
};

/// Prometheus' staleness marker: a NaN with a bit pattern of its own.
double stale_marker();
bool is_stale_marker(double value);

/// An element of an instant vector.
struct VectorElement {
    Labels labels;
    double value{};
};
using Vector = std::vector<VectorElement>;

class Database {
public:
    void add(Series series);
    const std::vector<Series>& named(const std::string& metric_name) const;
    /// The oldest and the newest timestamp; first_ms() > last_ms() where there are no samples.
    std::int64_t first_ms() const { return first_ms_; }
    std::int64_t last_ms() const { return last_ms_; }

private:
    std::map<std::string, std::vector<Series>> series_by_name_;
    std::int64_t first_ms_ = std::numeric_limits<std::int64_t>::max();
    std::int64_t last_ms_ = std::numeric_limits<std::int64_t>::min();
};

}  // namespace plumkeel::promql
