/// \file
/// `plumkeel trace summarise`, which prints tables of outcomes, latencies and attempts.
#include <fmt/format.h>

#include <algorithm>

#include "cli/trace_input.hpp"
#include "config/jsonnet_reader.hpp"
#include "trace_analysis/chart.hpp"
#include "trace_analysis/summary.hpp"

namespace plumkeel::cli {
namespace {

using trace::Time;
using trace_analysis::AttemptStats;
using trace_analysis::OutcomeCounts;
using trace_analysis::RequestStats;
using trace_analysis::SecondStats;
using trace_analysis::Summary;

constexpr const char* request_row_format =
    "{:<22} {:>9} {:>9} {:>7} {:>8} {:>7} {:>9} {:>7} {:>12} {:>9} {:>9} {:>9} {:>10}\n";
constexpr const char* invoker_row_format =
    "{:<22} {:>9} {:>9} {:>9} {:>9} {:>11} {:>9} {:>9} {:>6} {:>9} {:>6} {:>9} {:>9}\n";
constexpr const char* time_row_format = "{:<22} {:>9} {:>9} {:>7} {:>8} {:>7} {:>9} {:>9}\n";

std::string format_ms(Time duration) {
    return fmt::format("{:.1f}", to_seconds(duration) * 1e3);
}

std::string format_share(std::uint64_t part, std::uint64_t total) {
    return total ? fmt::format("{:.1f}%", 100.0 * static_cast<double>(part) / static_cast<double>(total)) : "-";
}

void print_request_heading(const char* title) {
    fmt::print("\n");
    fmt::print(request_row_format, title, "requests", "in time", "late", "rejected", "failed", "cancelled", "open",
               "attempts/req", "p50 ms", "p99 ms", "p99.9 ms", "parked p99");
}

void print_request_row(const std::string& name, const RequestStats& stats) {
    const OutcomeCounts& counts = stats.outcomes;
    const double attempts_per_request =
        counts.total() ? static_cast<double>(stats.attempts) / static_cast<double>(counts.total()) : 0;
    fmt::print(request_row_format, name.empty() ? "(none)" : name, counts.total(),
               format_share(counts.succeeded, counts.total()), counts.late, counts.rejected, counts.failed,
               counts.cancelled, counts.unfinished, fmt::format("{:.2f}", attempts_per_request),
               format_ms(stats.duration.quantile(0.5)), format_ms(stats.duration.quantile(0.99)),
               format_ms(stats.duration.quantile(0.999)), format_ms(stats.parked.quantile(0.99)));
}

void print_invoker_row(const std::string& name, const AttemptStats& stats) {
    fmt::print(invoker_row_format, name, stats.sent, format_share(stats.succeeded, stats.sent), stats.rejected,
               stats.connection_lost, stats.unreachable, stats.timed_out, stats.cancelled, stats.other, stats.in_flight,
               stats.loads, format_ms(stats.duration.quantile(0.5)), format_ms(stats.duration.quantile(0.99)));
}

/// Prints the rows with the greatest `size` in descending order, at most `max_rows` of them.
template <class Stats, class Size, class Print>
void print_rows(const std::map<std::string, Stats>& rows, std::size_t max_rows, Size size, Print print) {
    std::vector<std::pair<std::uint64_t, const std::pair<const std::string, Stats>*>> by_size;
    for (const auto& row : rows) by_size.emplace_back(size(row.second), &row);
    std::stable_sort(by_size.begin(), by_size.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    for (std::size_t i = 0; i < std::min(max_rows, by_size.size()); ++i)
        print(by_size[i].second->first, by_size[i].second->second);
    if (by_size.size() > max_rows) fmt::print("and {} more rows: see --top\n", by_size.size() - max_rows);
}

void print_request_tables(const Summary& summary, std::size_t max_rows) {
    print_request_heading("");
    print_request_row("all", summary.all());
    for (const auto& [title, rows] : {std::pair{"by request class", &summary.request_classes()},
                                      {"by tenant", &summary.tenants()},
                                      {"by function", &summary.functions()}}) {
        print_request_heading(title);
        print_rows(
            *rows, max_rows, [](const RequestStats& stats) { return stats.outcomes.total(); }, print_request_row);
    }
}

void print_invoker_table(const Summary& summary, std::size_t max_rows) {
    fmt::print("\n");
    fmt::print(invoker_row_format, "by invoker", "attempts", "succeeded", "rejected", "conn.lost", "unreachable",
               "timed out", "cancelled", "other", "in flight", "loads", "p50 ms", "p99 ms");
    print_rows(
        summary.invokers(), max_rows, [](const AttemptStats& stats) { return stats.sent; }, print_invoker_row);
}

void print_time_table(const Summary& summary, Time step) {
    fmt::print("\n");
    fmt::print(time_row_format, "over time", "received", "in time", "late", "rejected", "failed", "cancelled",
               "parked");
    const std::vector<SecondStats>& seconds = summary.seconds();
    const auto step_s = std::max<std::size_t>(1, static_cast<std::size_t>(step / std::chrono::seconds(1)));
    for (std::size_t from = 0; from < seconds.size(); from += step_s) {
        OutcomeCounts ended;
        std::uint64_t received = 0, parked = 0;
        for (std::size_t i = from; i < std::min(seconds.size(), from + step_s); ++i) {
            ended.add(seconds[i].ended);
            received += seconds[i].received;
            parked = std::max(parked, seconds[i].parked);
        }
        fmt::print(time_row_format, fmt::format("{} to {} s", from, from + step_s), received,
                   format_share(ended.succeeded, ended.total()), ended.late, ended.rejected, ended.failed,
                   ended.cancelled, parked);
    }
}

void print_worst_period(const Summary& summary) {
    const auto worst = summary.worst_period();
    if (!worst) return;
    const OutcomeCounts& ended = worst->ended;
    fmt::print(
        "\nworst 10 s: from {:.0f} s, {} of {} requests ended badly ({} late, {} rejected, {} failed, {} cancelled)\n",
        to_seconds(worst->from), ended.ended_badly(), ended.total(), ended.late, ended.rejected, ended.failed,
        ended.cancelled);
}

void print_annotations(const Summary& summary, std::size_t max_lines) {
    const std::vector<trace_analysis::Annotation>& annotations = summary.annotations();
    if (!annotations.empty()) fmt::print("\nevents\n");
    for (std::size_t i = 0; i < std::min(max_lines, annotations.size()); ++i)
        fmt::print("{:12.3f} s  {}\n", to_seconds(annotations[i].at), annotations[i].what);
    if (annotations.size() > max_lines) fmt::print("and {} more events\n", annotations.size() - max_lines);
}

std::string chart_title(TraceInput& input, const Summary& summary) {
    std::string controllers;
    for (const auto& trace : input.traces()) controllers += (controllers.empty() ? "" : ", ") + trace->controller();
    return fmt::format("{}: {} requests", controllers, summary.all().outcomes.total());
}

}  // namespace

int summarize_trace(const TraceOptions& options) {
    const trace_analysis::HistoryFilter filter = make_filter(options);
    const Time step = parse_duration(options.step);
    TraceInput input(options, filter.from);
    Summary summary;
    for_each_history(
        input, filter, "summarising",
        [&](const trace_analysis::RequestHistory& history, const trace_analysis::NameTable&) {
            summary.add(history);
            return true;
        },
        [&](const trace::Record& record, const trace_analysis::NameTable& names) {
            summary.add_annotations(record, names);
        });
    summary.finish();
    if (summary.all().outcomes.total() == 0) {
        fmt::print(stderr, "plumkeel: no request in the traces matches the filter\n");
        return 1;
    }
    print_request_tables(summary, options.max_rows);
    print_invoker_table(summary, options.max_rows);
    print_time_table(summary, step);
    print_worst_period(summary);
    print_annotations(summary, options.max_rows * 2);
    if (!options.svg_file.empty()) {
        trace_analysis::draw_summary(summary, chart_title(input, summary), options.svg_file);
        fmt::print("\nchart written to {}\n", options.svg_file);
    }
    return 0;
}

}  // namespace plumkeel::cli
