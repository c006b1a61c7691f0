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
enum Colour : int { paper, ink, first_line };
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
constexpr int line_colours = static_cast<int>(colours.size()) - first_line;
constexpr int page_width = 900, page_height = 560;

using Values = std::map<double, std::vector<double>>;  // by size

std::map<std::string, Values> collect(const std::vector<LabelledRows>& sets, const std::string& experiment,
                                      const std::string& size_name, const std::string& metric, std::string& unit) {
    std::map<std::string, Values> out;
    for (const LabelledRows& set : sets)
        for (const Row& row : set.rows) {
            if (row.experiment != experiment || row.size_name != size_name || row.metric != metric || row.value <= 0)
                continue;
            unit = row.unit;
            out[set.label.empty() ? row.series : set.label + ": " + row.series][row.size].push_back(row.value);
        }
    std::erase_if(out, [](const auto& line) { return line.second.size() < 2; });
    return out;
}

double median(std::vector<double> values) {
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

void draw_line(const Values& values, int colour) {
    plcol0(colour);
    std::vector<double> x, y;
    for (const auto& [size, all] : values) {
        x.push_back(std::log10(size));
        y.push_back(std::log10(median(all)));
        for (const double value : all) {
            const double mark_x = std::log10(size), mark_y = std::log10(value);
            plpoin(1, &mark_x, &mark_y, 4);
        }
    }
    plline(static_cast<PLINT>(x.size()), x.data(), y.data());
}

// Of the values on both axes, as logarithms.
struct Range {
    double least_x = 1e300, most_x = -1e300, least_y = 1e300, most_y = -1e300;

    void include(double size, double value) {
        least_x = std::min(least_x, std::log10(size));
        most_x = std::max(most_x, std::log10(size));
        least_y = std::min(least_y, std::log10(value));
        most_y = std::max(most_y, std::log10(value));
    }
};

Range range_of(const std::map<std::string, Values>& lines) {
    Range range;
    for (const auto& [name, values] : lines)
        for (const auto& [size, all] : values)
            for (const double value : all) range.include(size, value);
    return range;
}

void open_page(const std::string& file) {
    plsdev("svg");
    plsfnam(file.c_str());
    plspage(0, 0, page_width, page_height, 0, 0);
    plscmap0n(static_cast<PLINT>(colours.size()));
    for (std::size_t i = 0; i < colours.size(); ++i)
        plscol0(static_cast<PLINT>(i), colours[i].red, colours[i].green, colours[i].blue);
    plinit();
}

void draw_axes(const Range& range, const std::string& size_name, const std::string& title) {
    pladv(0);
    plschr(0, 0.6);
    plvpor(0.1, 0.62, 0.12, 0.92);
    const double bottom = std::floor(range.least_y);
    plwind(range.least_x - 0.05, range.most_x + 0.05, bottom, std::max(std::ceil(range.most_y), bottom + 1));
    plcol0(ink);
    plbox("bclnst", 0, 0, "bclnstv", 0, 0);
    plmtex("b", 3.2, 0.5, 0.5, size_name.c_str());
    plmtex("t", 1.2, 0.5, 0.5, title.c_str());
}

}  // namespace

bool draw_metric(const std::vector<LabelledRows>& sets, const std::string& experiment, const std::string& size_name,
                 const std::string& metric, const std::string& file) {
    std::string unit;
    const auto lines = collect(sets, experiment, size_name, metric, unit);
    if (lines.empty()) return false;
    open_page(file);
    draw_axes(range_of(lines), size_name, fmt::format("{}: {} ({})", experiment, metric, unit));
    int number = 0;
    for (const auto& [name, values] : lines) {
        draw_line(values, first_line + number % line_colours);
        plmtex("rv", 1.0, 0.97 - 0.06 * number++, 0, name.c_str());
    }
    plend();
    if (!std::filesystem::exists(file)) throw ResultsError(file + ": cannot be written");
    return true;
}

}  // namespace plumkeel::scale
