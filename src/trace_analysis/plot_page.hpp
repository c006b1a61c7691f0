/// \file
/// A page of diagrams over time as an SVG file, drawn with PLplot. Private to chart.cpp.
#pragma once

#include <string>
#include <vector>

namespace plumkeel::trace_analysis {

/// Indexes into the page's palette.
enum Colour : int {
    paper,
    ink,
    grey,
    succeeded_colour,
    late_colour,
    rejected_colour,
    failed_colour,
    cancelled_colour,
    unfinished_colour,
    first_invoker_colour,
};

/// PLplot has global state: only one page may exist at a time. The file is complete when the page is destroyed.
class PlotPage {
public:
    explicit PlotPage(const std::string& file);
    ~PlotPage();
    PlotPage(const PlotPage&) = delete;
    PlotPage& operator=(const PlotPage&) = delete;

    /// What a diagram shows on its axes. `bottom` and `top` place it on the page, from 0 to 1.
    struct Panel {
        double bottom, top;
        double width_s;  ///< Of the time axis.
        double max_value;
        const char* label;
        bool has_time_axis;  ///< Whether the time axis is labelled.
    };
    /// What is drawn next is in the panel's coordinates.
    void begin_panel(const Panel& panel);
    void title(const std::string& text);
    void box(double left, double right, double bottom, double top, int colour);
    void curve(const std::vector<double>& x, const std::vector<double>& y, int colour);
    /// Dashed vertical lines in the panel.
    void vertical_lines(const std::vector<double>& x, const Panel& panel);

    /// An entry to the right of the panels; `height` is that of the legend's top on the page.
    void legend_entry(double height, int row, int colour, const std::string& text);

    /// Starts the area for text below the panels, with coordinates from 0 to 1.
    void begin_notes();
    void note(double x, double y, const std::string& text);
};

}  // namespace plumkeel::trace_analysis
