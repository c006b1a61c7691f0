/// \file
/// An SVG page with diagrams over time, drawn with PLplot. Used only by chart.cpp.
#pragma once

#include <string>
#include <vector>

namespace plumkeel::trace_analysis {

/// Indexes of the page's colour palette.
enum Colour : int {
    background_colour,
    text_colour,
    annotation_line_colour,
    succeeded_colour,
    late_colour,
    rejected_colour,
    failed_colour,
    cancelled_colour,
    unfinished_colour,
    first_invoker_colour,
};

/// Only one page may exist at a time, because PLplot has global state. The destructor completes the file.
class PlotPage {
public:
    explicit PlotPage(const std::string& file);
    ~PlotPage();
    PlotPage(const PlotPage&) = delete;
    PlotPage& operator=(const PlotPage&) = delete;

    /// Position and axes of a diagram. `bottom` and `top` are vertical positions on the page, from 0 to 1.
    struct Panel {
        double bottom, top;
        double width_s;  ///< Length of the time axis in seconds.
        double max_value;
        const char* label;
        bool has_time_axis;  ///< Whether the time axis has labels.
    };
    /// Starts a panel. Later drawing calls use its coordinates.
    void begin_panel(const Panel& panel);
    void title(const std::string& text);
    void box(double left, double right, double bottom, double top, int colour);
    void curve(const std::vector<double>& x, const std::vector<double>& y, int colour);
    /// Draws dashed vertical lines over the height of the panel.
    void vertical_lines(const std::vector<double>& x, const Panel& panel);

    /// Draws a legend entry to the right of the panels. `height` is the position of the legend's top on the page.
    void legend_entry(double height, int row, int colour, const std::string& text);

    /// Starts the text area below the panels. Later calls of note() use its coordinates, from 0 to 1.
    void begin_notes();
    void note(double x, double y, const std::string& text);
};

}  // namespace plumkeel::trace_analysis
