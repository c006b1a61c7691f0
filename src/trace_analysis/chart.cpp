#include "trace_analysis/chart.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>

#include "trace_analysis/plot_page.hpp"

namespace plumkeel::trace_analysis {
namespace {

constexpr std::size_t max_columns = 150, max_invokers = 10, max_shown_annotations = 16;
/// Annotations that are closer than this fraction of the diagram's width share a vertical line.
constexpr double min_line_distance_ratio = 1.0 / 400;

/// Aggregated statistics of several consecutive seconds, drawn as one column of the diagrams.
struct TimeColumn {
    OutcomeCounts ended;
    std::uint64_t parked{};  // maximum number of parked requests at the end of a second
    std::map<std::string, std::uint64_t> attempts;
};

struct TimeLine {
    std::size_t seconds_per_column{};
    std::vector<TimeColumn> columns;

    double begin(std::size_t column) const { return static_cast<double>(column * seconds_per_column); }
    double end(std::size_t column) const { return begin(column + 1); }
    double middle(std::size_t column) const {
        return (static_cast<double>(column) + 0.5) * static_cast<double>(seconds_per_column);
    }
    double width() const { return begin(columns.size()); }
    double per_second(std::uint64_t count) const {
        return static_cast<double>(count) / static_cast<double>(seconds_per_column);
    }
    double attempts_per_second(std::size_t column, const std::string& invoker) const {
        const auto it = columns[column].attempts.find(invoker);
        return it == columns[column].attempts.end() ? 0 : per_second(it->second);
    }
};

TimeLine make_time_line(const Summary& summary) {
    const std::vector<SecondStats>& seconds = summary.seconds();
    TimeLine time_line;
    time_line.seconds_per_column = std::max<std::size_t>(1, (seconds.size() + max_columns - 1) / max_columns);
    time_line.columns.resize((seconds.size() + time_line.seconds_per_column - 1) / time_line.seconds_per_column);
    for (std::size_t i = 0; i < seconds.size(); ++i) {
        TimeColumn& column = time_line.columns[i / time_line.seconds_per_column];
        column.ended.add(seconds[i].ended);
        column.parked = std::max(column.parked, seconds[i].parked);
        for (const auto& [invoker, count] : seconds[i].attempts) column.attempts[invoker] += count;
    }
    return time_line;
}

void draw_annotation_lines(PlotPage& page, const PlotPage::Panel& panel, const Summary& summary) {
    std::vector<double> line_positions;
    for (const Annotation& annotation : summary.annotations()) {
        const double x = static_cast<double>(annotation.at.count()) / 1e6;
        if (x - (line_positions.empty() ? -1 : line_positions.back()) >= panel.width_s * min_line_distance_ratio)
            line_positions.push_back(x);
    }
    page.vertical_lines(line_positions, panel);
}

void draw_outcomes(PlotPage& page, const TimeLine& time_line, const Summary& summary, const std::string& title) {
    double max_value = 0;
    for (const TimeColumn& column : time_line.columns)
        max_value = std::max(max_value, time_line.per_second(column.ended.total()));
    const PlotPage::Panel panel{0.69, 0.95, time_line.width(), max_value, "requests ended per second", false};
    page.begin_panel(panel);
    page.title(title);
    for (std::size_t i = 0; i < time_line.columns.size(); ++i) {
        const OutcomeCounts& counts = time_line.columns[i].ended;
        const std::pair<std::uint64_t, Colour> stacked_counts[] = {
            {counts.succeeded, succeeded_colour}, {counts.late, late_colour},
            {counts.rejected, rejected_colour},   {counts.failed, failed_colour},
            {counts.cancelled, cancelled_colour}, {counts.unfinished, unfinished_colour}};
        double bottom = 0;
        for (const auto& [count, colour] : stacked_counts) {
            const double top = bottom + time_line.per_second(count);
            if (count) page.box(time_line.begin(i), time_line.end(i), bottom, top, colour);
            bottom = top;
        }
    }
    draw_annotation_lines(page, panel, summary);
    constexpr FinalOutcome outcomes[] = {FinalOutcome::succeeded, FinalOutcome::late,      FinalOutcome::rejected,
                                         FinalOutcome::failed,    FinalOutcome::cancelled, FinalOutcome::unfinished};
    int row = 0;
    for (const FinalOutcome outcome : outcomes) {
        page.legend_entry(0.94, row, succeeded_colour + row, std::string(name_of(outcome)));
        ++row;
    }
}

void draw_parked(PlotPage& page, const TimeLine& time_line, const Summary& summary) {
    double max_value = 0;
    for (const TimeColumn& column : time_line.columns)
        max_value = std::max(max_value, static_cast<double>(column.parked));
    const PlotPage::Panel panel{0.49, 0.66, time_line.width(), max_value, "requests parked", false};
    page.begin_panel(panel);
    for (std::size_t i = 0; i < time_line.columns.size(); ++i)
        if (const std::uint64_t parked = time_line.columns[i].parked)
            page.box(time_line.begin(i), time_line.end(i), 0, static_cast<double>(parked), rejected_colour);
    draw_annotation_lines(page, panel, summary);
}

/// Names of the invokers with the most attempts, in descending order; at most max_invokers.
std::vector<std::string> busiest_invokers(const Summary& summary) {
    std::vector<std::pair<std::uint64_t, std::string>> invokers_by_attempts;
    for (const auto& [name, stats] : summary.invokers()) invokers_by_attempts.emplace_back(stats.sent, name);
    std::stable_sort(invokers_by_attempts.begin(), invokers_by_attempts.end(),
                     [](const auto& a, const auto& b) { return a.first > b.first; });
    if (invokers_by_attempts.size() > max_invokers) invokers_by_attempts.resize(max_invokers);
    std::vector<std::string> names;
    for (const auto& [count, name] : invokers_by_attempts) names.push_back(name);
    return names;
}

void draw_attempts(PlotPage& page, const TimeLine& time_line, const Summary& summary) {
    const std::vector<std::string> invokers = busiest_invokers(summary);
    double max_value = 0;
    for (std::size_t i = 0; i < time_line.columns.size(); ++i)
        for (const std::string& invoker : invokers)
            max_value = std::max(max_value, time_line.attempts_per_second(i, invoker));
    const PlotPage::Panel panel{0.24, 0.46, time_line.width(), max_value, "attempts sent per second", true};
    page.begin_panel(panel);
    draw_annotation_lines(page, panel, summary);
    int colour = first_invoker_colour;
    for (const std::string& invoker : invokers) {
        std::vector<double> x, y;
        for (std::size_t i = 0; i < time_line.columns.size(); ++i) {
            x.push_back(time_line.middle(i));
            y.push_back(time_line.attempts_per_second(i, invoker));
        }
        page.curve(x, y, colour++);
    }
    int row = 0;
    for (const std::string& invoker : invokers) {
        page.legend_entry(0.45, row, first_invoker_colour + row, invoker);
        ++row;
    }
}

void write_annotations(PlotPage& page, const Summary& summary) {
    page.begin_notes();
    const std::vector<Annotation>& annotations = summary.annotations();
    const std::size_t shown = std::min(annotations.size(), max_shown_annotations);
    for (std::size_t i = 0; i < shown; ++i) {  // annotations are listed in two columns
        const double at_s = static_cast<double>(annotations[i].at.count()) / 1e6;
        page.note(i % 2 ? 0.52 : 0.04, 0.92 - 0.11 * static_cast<double>(i / 2),
                  fmt::format("{:.2f} s  {}", at_s, annotations[i].what));
    }
    if (annotations.size() > shown)
        page.note(0.04, 0.03, fmt::format("and {} more annotations", annotations.size() - shown));
}

}  // namespace

void draw_summary(const Summary& summary, const std::string& title, const std::string& file) {
    if (summary.seconds().empty()) throw trace::TraceError("cannot draw the chart: the trace contains no requests");
    // PLplot asks on the terminal for another name if it cannot write the file.
    if (!std::ofstream(file)) throw trace::TraceError(file + ": cannot be written");
    const TimeLine time_line = make_time_line(summary);
    PlotPage page(file);
    draw_outcomes(page, time_line, summary, title);
    draw_parked(page, time_line, summary);
    draw_attempts(page, time_line, summary);
    write_annotations(page, summary);
}

}  // namespace plumkeel::trace_analysis
