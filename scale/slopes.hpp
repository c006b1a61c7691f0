/// How a metric grows with size: least squares over all runs, with its residual, the range of the slopes of the single
/// runs, and the exponent of growth (the slope between the logarithms).
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "scale/results.hpp"

namespace plumkeel::scale {

struct Slope {
    std::string experiment, series, size_name, metric, unit;
    double smallest{}, largest{};        // the sizes measured: beyond these a figure is extrapolated
    double at_smallest{}, at_largest{};  // medians over the runs
    double intercept{}, slope{};         // value = intercept + slope * size
    double residual{};                   // root of the mean squared distance from that line
    double r_squared{};
    double slope_min{}, slope_max{};   // over the runs alone
    std::optional<double> exponent{};  // absent where a value is not above 0
    int runs{};
};

/// One for each metric of each series with at least two sizes, in the order of the rows.
std::vector<Slope> compute_slopes(const std::vector<Row>& rows);

/// As CSV, a slope a line. Throws ResultsError where the file can't be written.
void write_slopes(const std::string& file, const std::vector<Slope>& slopes);

}  // namespace plumkeel::scale
