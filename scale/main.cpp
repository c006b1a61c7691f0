/// plumkeel-scale: measures how the costs of a controller grow with the fleet, and reports slopes and charts.
#include <fmt/format.h>
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>
#include <set>

#include "scale/chart.hpp"
#include "scale/plan.hpp"
#include "scale/resource_needs.hpp"
#include "scale/slopes.hpp"

namespace {

using namespace plumkeel;
using namespace plumkeel::scale;

// Raises the soft limit of open file descriptors to the hard limit.
void raise_descriptor_limit() {
    rlimit descriptor_limits{};
    getrlimit(RLIMIT_NOFILE, &descriptor_limits);
    descriptor_limits.rlim_cur = descriptor_limits.rlim_max;
    setrlimit(RLIMIT_NOFILE, &descriptor_limits);
}

template <class Case, class Measure>
void run_series(const std::string& experiment, const Series<Case>& series, Measure measure, std::vector<Row>& rows) {
    for (const std::size_t size : series.sizes)
        for (int run = 0; run < series.runs; ++run) {
            std::cerr << fmt::format("{} '{}': {} {}, run {} of {}\n", experiment, series.name, size, series.size_name,
                                     run + 1, series.runs);
            Case sized_case = case_at(series, size);
            sized_case.seed = static_cast<std::uint64_t>(run) + 1;
            for (const Measurement& measurement : measure(sized_case))
                rows.push_back({experiment, series.name, series.size_name, static_cast<double>(size), run,
                                measurement.metric, measurement.unit, measurement.value});
        }
}

template <class Case>
void require_resources_for(const std::string& experiment, const std::vector<Series<Case>>& all_series) {
    for (const Series<Case>& series : all_series)
        for (const std::size_t size : series.sizes)
            require_resources(fmt::format("{} '{}' at {} {}", experiment, series.name, size, series.size_name),
                              resource_needs(case_at(series, size)));
}

void run(const std::string& plan_file, const std::string& program, const std::string& commit,
         const std::string& results_file) {
    Plan plan = read_plan(plan_file);
    for (auto& series : plan.platform) series.base_case.program = program;
    require_resources_for("decisions", plan.decisions);
    require_resources_for("controllers", plan.controllers);
    require_resources_for("platform", plan.platform);
    ResultsFile results{describe_machine(), commit, {}};
    for (const auto& series : plan.decisions) run_series("decisions", series, measure_decisions, results.rows);
    for (const auto& series : plan.controllers)
        run_series("controllers", series, measure_many_controllers, results.rows);
    for (const auto& series : plan.platform) run_series("platform", series, measure_platform, results.rows);
    write_results(results_file, results);
}

// Draws a chart for each metric of each experiment by each varying field, with the rows of all results files.
void draw_charts(const std::vector<LabelledRows>& row_sets, const std::string& folder) {
    struct Chart {
        std::string experiment, size_name, metric;
        auto operator<=>(const Chart&) const = default;
    };
    std::set<Chart> charts;
    for (const LabelledRows& row_set : row_sets)
        for (const Row& row : row_set.rows) charts.insert({row.experiment, row.size_name, row.metric});
    std::filesystem::create_directories(folder);
    for (const Chart& chart : charts)
        draw_metric(row_sets, chart.experiment, chart.size_name, chart.metric,
                    fmt::format("{}/{}-{}-{}.svg", folder, chart.experiment, chart.size_name, chart.metric));
}

// Reads the results file named by an argument of the form "label=file" or "file".
LabelledRows read_labelled(const std::string& argument) {
    const auto equals = argument.find('=');
    if (equals == std::string::npos) return {"", read_results(argument).rows};
    return {argument.substr(0, equals), read_results(argument.substr(equals + 1)).rows};
}

void report(const std::vector<std::string>& arguments, const std::string& slopes_file,
            const std::string& charts_folder) {
    std::vector<LabelledRows> row_sets;
    std::vector<Row> all_rows;
    for (const std::string& argument : arguments) {
        const LabelledRows& row_set = row_sets.emplace_back(read_labelled(argument));
        for (Row row : row_set.rows) {
            if (!row_set.label.empty()) row.series = row_set.label + ": " + row.series;
            all_rows.push_back(std::move(row));
        }
    }
    write_slopes(slopes_file, compute_slopes(all_rows));
    if (!charts_folder.empty()) draw_charts(row_sets, charts_folder);
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("plumkeel-scale: measures how the costs of a controller grow with the fleet");
    app.require_subcommand(1);
    std::string plan_file, program = std::filesystem::canonical("/proc/self/exe").parent_path() / "plumkeel";
    std::string commit = "unknown", results_file = "results.csv", slopes_file = "slopes.csv", charts_folder;
    std::vector<std::string> results_files;
    CLI::App* const run_command = app.add_subcommand("run", "runs the measurements of a plan");
    run_command->add_option("plan", plan_file, "Jsonnet plan")->required();
    run_command->add_option("--out", results_file, "CSV file to write the results to")->capture_default_str();
    run_command->add_option("--program", program, "the plumkeel binary to measure")->capture_default_str();
    run_command->add_option("--commit", commit, "commit of the measured binary, stored in the results")
        ->capture_default_str();
    CLI::App* const report_command = app.add_subcommand("report", "writes slopes and charts of results");
    report_command->add_option("results", results_files, "results files, each with an optional label: before=old.csv")
        ->required();
    report_command->add_option("--slopes", slopes_file, "CSV file to write the slopes to")->capture_default_str();
    report_command->add_option("--charts", charts_folder, "folder for SVG charts; without it, no charts are drawn");
    CLI11_PARSE(app, argc, argv);
    try {
        raise_descriptor_limit();
        if (*run_command)
            run(plan_file, program, commit, results_file);
        else
            report(results_files, slopes_file, charts_folder);
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "plumkeel-scale: " << error.what() << '\n';
        return 2;
    }
}
