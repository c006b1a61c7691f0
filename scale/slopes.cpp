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

Line line_through(const Points& points) {
    using boost::math::statistics::simple_ordinary_least_squares_with_R_squared;
    const auto [intercept, slope, r_squared] =
        simple_ordinary_least_squares_with_R_squared(points.sizes, points.values);
    return {intercept, slope, r_squared};
}

bool several_sizes(const Points& points) {
    return std::any_of(points.sizes.begin(), points.sizes.end(),
                       [&](double size) { return size != points.sizes.front(); });
}

double residual_of(const Points& points, const Line& line) {
    double sum = 0;
    for (std::size_t i = 0; i < points.sizes.size(); ++i) {
        const double off = points.values[i] - line.intercept - line.slope * points.sizes[i];
        sum += off * off;
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
    return line_through(logarithms).slope;
}

// The rows of one metric of one series.
Slope slope_of(const std::vector<const Row*>& rows) {
    Points all;
    std::map<int, Points> by_run;
    for (const Row* row : rows) {
        all.add(row->size, row->value);
        by_run[row->run].add(row->size, row->value);
    }
    const Row& first = *rows.front();
    Slope out{first.experiment, first.series, first.size_name, first.metric, first.unit};
    const auto [least, most] = std::minmax_element(all.sizes.begin(), all.sizes.end());
    out.smallest = *least;
    out.largest = *most;
    out.at_smallest = median_at(all, out.smallest);
    out.at_largest = median_at(all, out.largest);
    const Line line = line_through(all);
    out.intercept = line.intercept;
    out.slope = out.slope_least = out.slope_most = line.slope;
    out.r_squared = std::isfinite(line.r_squared) ? line.r_squared : 1;  // not defined where nothing varies
    out.residual = residual_of(all, line);
    out.exponent = growth_exponent(all);
    out.runs = static_cast<int>(by_run.size());
    std::vector<double> slopes;
    for (const auto& [run, points] : by_run)
        if (several_sizes(points)) slopes.push_back(line_through(points).slope);
    if (!slopes.empty()) {
        out.slope_least = *std::min_element(slopes.begin(), slopes.end());
        out.slope_most = *std::max_element(slopes.begin(), slopes.end());
    }
    return out;
}

}  // namespace

std::vector<Slope> slopes_of(const std::vector<Row>& rows) {
    std::vector<std::vector<const Row*>> groups;
    std::map<std::vector<std::string>, std::size_t> place;
    for (const Row& row : rows) {
        const auto [it, fresh] =
            place.try_emplace({row.experiment, row.series, row.size_name, row.metric}, groups.size());
        if (fresh) groups.emplace_back();
        groups[it->second].push_back(&row);
    }
    std::vector<Slope> out;
    for (const auto& group : groups) {
        const double size = group.front()->size;
        if (std::any_of(group.begin(), group.end(), [&](const Row* row) { return row->size != size; }))
            out.push_back(slope_of(group));
    }
    return out;
}

void write_slopes(const std::string& file, const std::vector<Slope>& slopes) {
    std::ofstream out(file);
    out << "experiment,series,size_name,metric,unit,smallest,largest,at_smallest,at_largest,intercept,slope,slope_"
           "least,slope_most,residual,"
           "r_squared,exponent,runs\n";
    for (const Slope& it : slopes)
        out << fmt::format("{},{},{},{},{},{:g},{:g},{:.6g},{:.6g},{:.6g},{:.6g},{:.6g},{:.6g},{:.6g},{:.4f},{},{}\n",
                           it.experiment, it.series, it.size_name, it.metric, it.unit, it.smallest, it.largest,
                           it.at_smallest, it.at_largest, it.intercept, it.slope, it.slope_least, it.slope_most,
                           it.residual, it.r_squared, it.exponent ? fmt::format("{:.2f}", *it.exponent) : "", it.runs);
    out.flush();
    if (!out) throw ResultsFault(file + ": can't be written");
}

}  // namespace plumkeel::scale
