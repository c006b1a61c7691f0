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
    double sum = 0;
    for (std::size_t i = 0; i < points.sizes.size(); ++i) {
        const double deviation = points.values[i] - line.intercept - line.slope * points.sizes[i];
        sum += deviation * deviation;
    }
    return std::sqrt(sum / static_cast<double>(points.sizes.size()));
}

double median_at(const Points& points, double size) {
    std::vector<double> values;
    for (std::size_t i = 0; i < points.sizes.size(); ++i)
        if (points.sizes[i] == size) values.push_back(points.values[i]);
    std::sort(values.begin(), values.end());
    const std::size_t middle = values.size() / 2;
    return values.size() % 2 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
}

std::optional<double> growth_exponent(const Points& points) {
    Points logarithms;
    for (std::size_t i = 0; i < points.sizes.size(); ++i) {
        if (points.sizes[i] <= 0 || points.values[i] <= 0) return std::nullopt;
        logarithms.add(std::log(points.sizes[i]), std::log(points.values[i]));
    }
    return fit_line(logarithms).slope;
}

// The rows of one metric of one series.
Slope compute_slope(const std::vector<const Row*>& rows) {
    Points all;
    std::map<int, Points> by_run;
    for (const Row* row : rows) {
        all.add(row->size, row->value);
        by_run[row->run].add(row->size, row->value);
    }
    const Row& first = *rows.front();
    Slope out{first.experiment, first.series, first.size_name, first.metric, first.unit};
    const auto [smallest, largest] = std::minmax_element(all.sizes.begin(), all.sizes.end());
    out.smallest = *smallest;
    out.largest = *largest;
    out.at_smallest = median_at(all, out.smallest);
    out.at_largest = median_at(all, out.largest);
    const Line line = fit_line(all);
    out.intercept = line.intercept;
    out.slope = out.slope_min = out.slope_max = line.slope;
    out.r_squared = std::isfinite(line.r_squared) ? line.r_squared : 1;  // not defined where nothing varies
    out.residual = residual(all, line);
    out.exponent = growth_exponent(all);
    out.runs = static_cast<int>(by_run.size());
    std::vector<double> slopes;
    for (const auto& [run, points] : by_run)
        if (has_several_sizes(points)) slopes.push_back(fit_line(points).slope);
    if (!slopes.empty()) {
        out.slope_min = *std::min_element(slopes.begin(), slopes.end());
        out.slope_max = *std::max_element(slopes.begin(), slopes.end());
    }
    return out;
}

}  // namespace

std::vector<Slope> compute_slopes(const std::vector<Row>& rows) {
    std::vector<std::vector<const Row*>> groups;
    std::map<std::vector<std::string>, std::size_t> group_places;
    for (const Row& row : rows) {
        const auto [place, inserted] =
            group_places.try_emplace({row.experiment, row.series, row.size_name, row.metric}, groups.size());
        if (inserted) groups.emplace_back();
        groups[place->second].push_back(&row);
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
                           slope.experiment, slope.series, slope.size_name, slope.metric, slope.unit, slope.smallest,
                           slope.largest, slope.at_smallest, slope.at_largest, slope.intercept, slope.slope,
                           slope.slope_min, slope.slope_max, slope.residual, slope.r_squared,
                           slope.exponent ? fmt::format("{:.2f}", *slope.exponent) : "", slope.runs);
    out.flush();
    if (!out) throw ResultsError(file + ": cannot be written");
}

}  // namespace plumkeel::scale
