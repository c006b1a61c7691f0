#include "trace_analysis/plot_page.hpp"

#include <plplot/plplot.h>

#include <algorithm>
#include <array>

namespace plumkeel::trace_analysis {
namespace {

constexpr int page_width_px = 1000, page_height_px = 1100;
constexpr double font_scale = 0.45;
constexpr double y_range_factor = 1.08;  // upper end of the value axis, relative to the largest value
constexpr double legend_row_height = 0.018;

struct RgbColour {
    int red, green, blue;
};
/// Indexed by Colour; the last ten are the colours of invokers.
constexpr std::array<RgbColour, 19> palette = {{{255, 255, 255},
                                                {30, 30, 30},
                                                {150, 150, 150},
                                                {120, 180, 120},
                                                {225, 190, 70},
                                                {110, 150, 210},
                                                {190, 50, 50},
                                                {160, 160, 160},
                                                {215, 215, 215},
                                                {31, 119, 180},
                                                {255, 127, 14},
                                                {44, 160, 44},
                                                {214, 39, 40},
                                                {148, 103, 189},
                                                {140, 86, 75},
                                                {227, 119, 194},
                                                {90, 90, 90},
                                                {188, 189, 34},
                                                {23, 190, 207}}};

/// Escapes '#', which starts a command in PLplot texts.
std::string escape_text(std::string text) {
    for (std::size_t at = 0; (at = text.find('#', at)) != std::string::npos; at += 2) text.insert(at, "#");
    return text;
}

double upper_bound(const PlotPage::Panel& panel) {
    return std::max(1.0, panel.max_value * y_range_factor);
}

}  // namespace

PlotPage::PlotPage(const std::string& file) {
    plsdev("svg");
    plsfnam(file.c_str());
    plspage(0, 0, page_width_px, page_height_px, 0, 0);
    plscmap0n(static_cast<PLINT>(palette.size()));
    for (std::size_t i = 0; i < palette.size(); ++i)
        plscol0(static_cast<PLINT>(i), palette[i].red, palette[i].green, palette[i].blue);
    plinit();
    pladv(0);
    plschr(0, font_scale);
}

PlotPage::~PlotPage() {
    plend();
}

void PlotPage::begin_panel(const Panel& panel) {
    plvpor(0.09, 0.82, panel.bottom, panel.top);
    plwind(0, panel.width_s, 0, upper_bound(panel));
    plcol0(text_colour);
    plbox(panel.has_time_axis ? "bcnst" : "bcst", 0, 0, "bcnstv", 0, 0);
    plmtex("l", 6.5, 0.5, 0.5, panel.label);
    if (panel.has_time_axis) plmtex("b", 3.2, 0.5, 0.5, "seconds since the trace began");
}

void PlotPage::title(const std::string& text) {
    plmtex("t", 1.5, 0.5, 0.5, escape_text(text).c_str());
}

void PlotPage::box(double left, double right, double bottom, double top, int colour) {
    const PLFLT x[] = {left, right, right, left}, y[] = {bottom, bottom, top, top};
    plcol0(colour);
    plfill(4, x, y);
}

void PlotPage::curve(const std::vector<double>& x, const std::vector<double>& y, int colour) {
    plwidth(1.5);
    plcol0(colour);
    plline(static_cast<PLINT>(x.size()), x.data(), y.data());
    plwidth(1);
}

void PlotPage::vertical_lines(const std::vector<double>& x, const Panel& panel) {
    plcol0(annotation_line_colour);
    pllsty(2);
    for (const double each : x) pljoin(each, 0, each, upper_bound(panel));
    pllsty(1);
}

void PlotPage::legend_entry(double height, int row, int colour, const std::string& text) {
    plvpor(0.83, 1.0, 0.0, 1.0);
    plwind(0, 1, 0, 1);
    const double y = height - legend_row_height * row;
    box(0, 0.06, y - 0.004, y + 0.006, colour);
    plcol0(text_colour);
    plptex(0.1, y, 1, 0, 0, escape_text(text).c_str());
}

void PlotPage::begin_notes() {
    plvpor(0.05, 0.98, 0.0, 0.18);
    plwind(0, 1, 0, 1);
    plcol0(text_colour);
}

void PlotPage::note(double x, double y, const std::string& text) {
    plptex(x, y, 1, 0, 0, escape_text(text).c_str());
}

}  // namespace plumkeel::trace_analysis
