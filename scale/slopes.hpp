/// Computes how a metric grows with the size: a least-squares line over all runs, the range of the slopes of the
/// individual runs, and the growth exponent, which is the slope of the line through the logarithms.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "scale/results.hpp"

namespace plumkeel::scale {

struct Slope {
    std::string experiment, series, size_name, metric, unit;
    double smallest_size{}, largest_size{};            // range of the measured sizes
    double median_at_smallest{}, median_at_largest{};  // medians of the values at these sizes
    double intercept{}, slope{};                       // value = intercept + slope * size
    double residual{};                                 // root of the mean squared deviation of the values from the line
    double r_squared{};
    double min_run_slope{}, max_run_slope{};  // range of the slopes of the individual runs
    std::optional<double> growth_exponent{};  // absent if a size or a value is not above 0
    int runs{};
};

/// Returns a slope for each metric of each series that has at least two sizes, in the order of the rows.
std::vector<Slope> compute_slopes(const std::vector<Row>& rows);

/// Writes a CSV file with one slope per line. Throws ResultsError if the file can't be written.
void write_slopes(const std::string& file, const std::vector<Slope>& slopes);

}  // namespace plumkeel::scale
