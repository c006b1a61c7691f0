#include "scale/slopes.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/math/statistics/linear_regression.hpp>
#include <cmath>
#include <fstream>
#include <map>

namespace plumkeel::scale {
namespace {

struct Points {
    std::vector<double> sizes, values;
    void add(double size, double value) {
        sizes.push_back(size);
        values.push_back(value);
    }
};

struct Line {
    double intercept{}, slope{}, r_squared{};
};

Line fit_line(const Points& points) {
    using boost::math::statistics::simple_ordinary_least_squares_with_R_squared;
    const auto [intercept, slope, r_squared] =
        simple_ordinary_least_squares_with_R_squared(points.sizes, points.values);
    return {intercept, slope, r_squared};
}

bool has_several_sizes(const Points& points) {
    return std::any_of(points.sizes.begin(), points.sizes.end(),
                       [&](double size) { return size != points.sizes.front(); });
}

double residual(const Points& points, const Line& line) {
    double sum_of_squares = 0;
    for (std::size_t i = 0; i < points.sizes.size(); ++i) {
        const double deviation = points.values[i] - line.intercept - line.slope * points.sizes[i];
        sum_of_squares += deviation * deviation;
    }
    return std::sqrt(sum_of_squares / static_cast<double>(points.sizes.size()));
}

double median_at(const Points& points, double size) {
    std::vector<double> values;
    for (std::size_t i = 0; i < points.sizes.size(); ++i)
        if (points.sizes[i] == size) values.push_back(points.values[i]);
    std::sort(values.begin(), values.end());
    const std::size_t middle = values.size() / 2;
    return values.size() % 2 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
}

std::optional<double> fit_growth_exponent(const Points& points) {
    Points logarithms;
    for (std::size_t i = 0; i < points.sizes.size(); ++i) {
        if (points.sizes[i] <= 0 || points.values[i] <= 0) return std::nullopt;
        logarithms.add(std::log(points.sizes[i]), std::log(points.values[i]));
    }
    return fit_line(logarithms).slope;
}

// Computes the slope of `rows`, which are all rows of one metric of one series.
Slope compute_slope(const std::vector<const Row*>& rows) {
    Points all_points;
    std::map<int, Points> points_by_run;
    for (const Row* row : rows) {
        all_points.add(row->size, row->value);
        points_by_run[row->run].add(row->size, row->value);
    }
    const Row& first = *rows.front();
    Slope out{first.experiment, first.series, first.size_name, first.metric, first.unit};
    const auto [smallest, largest] = std::minmax_element(all_points.sizes.begin(), all_points.sizes.end());
    out.smallest_size = *smallest;
    out.largest_size = *largest;
    out.median_at_smallest = median_at(all_points, out.smallest_size);
    out.median_at_largest = median_at(all_points, out.largest_size);
    const Line line = fit_line(all_points);
    out.intercept = line.intercept;
    out.slope = out.min_run_slope = out.max_run_slope = line.slope;
    out.r_squared = std::isfinite(line.r_squared) ? line.r_squared : 1;  // undefined if all values are equal
    out.residual = residual(all_points, line);
    out.growth_exponent = fit_growth_exponent(all_points);
    out.runs = static_cast<int>(points_by_run.size());
    std::vector<double> slopes;
    for (const auto& [run, points] : points_by_run)
        if (has_several_sizes(points)) slopes.push_back(fit_line(points).slope);
    if (!slopes.empty()) {
        out.min_run_slope = *std::min_element(slopes.begin(), slopes.end());
        out.max_run_slope = *std::max_element(slopes.begin(), slopes.end());
    }
    return out;
}

}  // namespace

std::vector<Slope> compute_slopes(const std::vector<Row>& rows) {
    std::vector<std::vector<const Row*>> groups;
    std::map<std::vector<std::string>, std::size_t> group_indices;
    for (const Row& row : rows) {
        const auto [group_entry, inserted] =
            group_indices.try_emplace({row.experiment, row.series, row.size_name, row.metric}, groups.size());
        if (inserted) groups.emplace_back();
        groups[group_entry->second].push_back(&row);
    }
    std::vector<Slope> out;
    for (const auto& group : groups) {
        const double size = group.front()->size;
        if (std::any_of(group.begin(), group.end(), [&](const Row* row) { return row->size != size; }))
            out.push_back(compute_slope(group));
    }
    return out;
}

void write_slopes(const std::string& file, const std::vector<Slope>& slopes) {
    std::ofstream out(file);
    out << "experiment,series,size_name,metric,unit,smallest,largest,at_smallest,at_largest,intercept,slope,slope_"
           "least,slope_most,residual,"
           "r_squared,exponent,runs\n";
    for (const Slope& slope : slopes)
        out << fmt::format("{},{},{},{},{},{:g},{:g},{:.6g},{:.6g},{:.6g},{:.6g},{:.6g},{:.6g},{:.6g},{:.4f},{},{}\n",
                           slope.experiment, slope.series, slope.size_name, slope.metric, slope.unit,
                           slope.smallest_size, slope.largest_size, slope.median_at_smallest, slope.median_at_largest,
                           slope.intercept, slope.slope, slope.min_run_slope, slope.max_run_slope, slope.residual,
                           slope.r_squared, slope.growth_exponent ? fmt::format("{:.2f}", *slope.growth_exponent) : "",
                           slope.runs);
    out.flush();
    if (!out) throw ResultsError(file + ": the file of slopes can't be written");
}

}  // namespace plumkeel::scale
