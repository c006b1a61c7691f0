#include "scale/chart.hpp"

#include <fmt/format.h>
#include <plplot/plplot.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <filesystem>
#include <map>

namespace plumkeel::scale {
namespace {

struct Rgb {
    int red, green, blue;
};
enum Colour : int { background_colour, text_colour, first_series_colour };
constexpr std::array<Rgb, 10> colours = {{{255, 255, 255},
                                          {30, 30, 30},
                                          {31, 119, 180},
                                          {255, 127, 14},
                                          {44, 160, 44},
                                          {214, 39, 40},
                                          {148, 103, 189},
                                          {140, 86, 75},
                                          {188, 189, 34},
                                          {23, 190, 207}}};
constexpr int series_colour_count = static_cast<int>(colours.size()) - first_series_colour;
constexpr int page_width_px = 900, page_height_px = 560;

using ValuesBySize = std::map<double, std::vector<double>>;

std::map<std::string, ValuesBySize> collect_series(const std::vector<LabelledRows>& row_sets,
                                                   const std::string& experiment, const std::string& size_name,
                                                   const std::string& metric, std::string& unit) {
    std::map<std::string, ValuesBySize> series_by_name;
    for (const LabelledRows& row_set : row_sets)
        for (const Row& row : row_set.rows) {
            if (row.experiment != experiment || row.size_name != size_name || row.metric != metric || row.value <= 0)
                continue;
            unit = row.unit;
            series_by_name[row_set.label.empty() ? row.series : row_set.label + ": " + row.series][row.size].push_back(
                row.value);
        }
    std::erase_if(series_by_name, [](const auto& series) { return series.second.size() < 2; });
    return series_by_name;
}

double median(std::vector<double> values) {
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

void draw_series(const ValuesBySize& values, int colour) {
    plcol0(colour);
    std::vector<double> log_sizes, log_medians;
    for (const auto& [size, run_values] : values) {
        log_sizes.push_back(std::log10(size));
        log_medians.push_back(std::log10(median(run_values)));
        for (const double value : run_values) {
            const double log_size = std::log10(size), log_value = std::log10(value);
            plpoin(1, &log_size, &log_value, 4);
        }
    }
    plline(static_cast<PLINT>(log_sizes.size()), log_sizes.data(), log_medians.data());
}

// The range of each axis, as decimal logarithms.
struct AxisRanges {
    double min_log_size = 1e300, max_log_size = -1e300, min_log_value = 1e300, max_log_value = -1e300;

    void include(double size, double value) {
        min_log_size = std::min(min_log_size, std::log10(size));
        max_log_size = std::max(max_log_size, std::log10(size));
        min_log_value = std::min(min_log_value, std::log10(value));
        max_log_value = std::max(max_log_value, std::log10(value));
    }
};

AxisRanges axis_ranges(const std::map<std::string, ValuesBySize>& series_by_name) {
    AxisRanges ranges;
    for (const auto& [name, values] : series_by_name)
        for (const auto& [size, run_values] : values)
            for (const double value : run_values) ranges.include(size, value);
    return ranges;
}

void open_page(const std::string& file) {
    plsdev("svg");
    plsfnam(file.c_str());
    plspage(0, 0, page_width_px, page_height_px, 0, 0);
    plscmap0n(static_cast<PLINT>(colours.size()));
    for (std::size_t i = 0; i < colours.size(); ++i)
        plscol0(static_cast<PLINT>(i), colours[i].red, colours[i].green, colours[i].blue);
    plinit();
}

void draw_axes(const AxisRanges& ranges, const std::string& size_name, const std::string& title) {
    pladv(0);
    plschr(0, 0.6);
    plvpor(0.1, 0.62, 0.12, 0.92);
    const double bottom_log_value = std::floor(ranges.min_log_value);
    plwind(ranges.min_log_size - 0.05, ranges.max_log_size + 0.05, bottom_log_value,
           std::max(std::ceil(ranges.max_log_value), bottom_log_value + 1));
    plcol0(text_colour);
    plbox("bclnst", 0, 0, "bclnstv", 0, 0);
    plmtex("b", 3.2, 0.5, 0.5, size_name.c_str());
    plmtex("t", 1.2, 0.5, 0.5, title.c_str());
}

}  // namespace

bool draw_metric(const std::vector<LabelledRows>& row_sets, const std::string& experiment, const std::string& size_name,
                 const std::string& metric, const std::string& file) {
    std::string unit;
    const auto series_by_name = collect_series(row_sets, experiment, size_name, metric, unit);
    if (series_by_name.empty()) return false;
    open_page(file);
    draw_axes(axis_ranges(series_by_name), size_name, fmt::format("{}: {} ({})", experiment, metric, unit));
    int series_index = 0;
    for (const auto& [name, values] : series_by_name) {
        draw_series(values, first_series_colour + series_index % series_colour_count);
        plmtex("rv", 1.0, 0.97 - 0.06 * series_index++, 0, name.c_str());
    }
    plend();
    if (!std::filesystem::exists(file)) throw ResultsError(file + ": the chart can't be written");
    return true;
}

}  // namespace plumkeel::scale
