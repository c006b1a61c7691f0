/// plumkeel-scale: measures how the controller's cost grows with the fleet, and reports the slopes.
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

// A process may open as many descriptors as its hard limit allows; the soft one is often far lower.
void raise_descriptor_limit() {
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
}

template <class Case, class Measure>
void run_series(const std::string& experiment, const Series<Case>& series, Measure measure, std::vector<Row>& rows) {
    for (const std::size_t size : series.sizes)
        for (int run = 0; run < series.runs; ++run) {
            std::cerr << fmt::format("{} '{}': {} {}, run {} of {}\n", experiment, series.name, size, series.size_name,
                                     run + 1, series.runs);
            Case sized = case_at(series, size);
            sized.seed = static_cast<std::uint64_t>(run) + 1;
            for (const Measurement& figure : measure(sized))
                rows.push_back({experiment, series.name, series.size_name, static_cast<double>(size), run,
                                figure.metric, figure.unit, figure.value});
        }
}

template <class Case>
void require_resources_for(const std::string& experiment, const std::vector<Series<Case>>& all) {
    for (const Series<Case>& series : all)
        for (const std::size_t size : series.sizes)
            require_resources(fmt::format("{} '{}' at {} {}", experiment, series.name, size, series.size_name),
                              resource_needs(case_at(series, size)));
}

void run(const std::string& plan_file, const std::string& program, const std::string& commit,
         const std::string& results_file) {
    Plan plan = read_plan(plan_file);
    for (auto& series : plan.platform) series.base.program = program;
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

// Each metric of each experiment over each size, in one chart that holds all files.
void draw_charts(const std::vector<LabelledRows>& sets, const std::string& folder) {
    struct Chart {
        std::string experiment, size_name, metric;
        auto operator<=>(const Chart&) const = default;
    };
    std::set<Chart> charts;
    for (const LabelledRows& set : sets)
        for (const Row& row : set.rows) charts.insert({row.experiment, row.size_name, row.metric});
    std::filesystem::create_directories(folder);
    for (const Chart& chart : charts)
        draw_metric(sets, chart.experiment, chart.size_name, chart.metric,
                    fmt::format("{}/{}-{}-{}.svg", folder, chart.experiment, chart.size_name, chart.metric));
}

// "label=file", or the file alone.
LabelledRows read_labelled(const std::string& argument) {
    const auto equals = argument.find('=');
    if (equals == std::string::npos) return {"", read_results(argument).rows};
    return {argument.substr(0, equals), read_results(argument.substr(equals + 1)).rows};
}

void report(const std::vector<std::string>& arguments, const std::string& slopes_file, const std::string& charts) {
    std::vector<LabelledRows> sets;
    std::vector<Row> all;
    for (const std::string& argument : arguments) {
        const LabelledRows& set = sets.emplace_back(read_labelled(argument));
        for (Row row : set.rows) {
            if (!set.label.empty()) row.series = set.label + ": " + row.series;
            all.push_back(std::move(row));
        }
    }
    write_slopes(slopes_file, compute_slopes(all));
    if (!charts.empty()) draw_charts(sets, charts);
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("plumkeel-scale: how the controller's cost grows with the fleet");
    app.require_subcommand(1);
    std::string plan, program = std::filesystem::canonical("/proc/self/exe").parent_path() / "plumkeel";
    std::string commit = "unknown", results = "results.csv", slopes = "slopes.csv", charts;
    std::vector<std::string> files;
    CLI::App* const run_command = app.add_subcommand("run", "measures what a plan names");
    run_command->add_option("plan", plan, "Jsonnet plan")->required();
    run_command->add_option("--out", results, "results, a CSV file")->capture_default_str();
    run_command->add_option("--program", program, "the plumkeel binary to measure")->capture_default_str();
    run_command->add_option("--commit", commit, "of the program measured, for the record")->capture_default_str();
    CLI::App* const report_command = app.add_subcommand("report", "slopes and charts of results");
    report_command->add_option("results", files, "results, each with an optional label before it: before=old.csv")
        ->required();
    report_command->add_option("--slopes", slopes, "CSV file to write")->capture_default_str();
    report_command->add_option("--charts", charts, "folder for charts (SVG); none where left out");
    CLI11_PARSE(app, argc, argv);
    try {
        raise_descriptor_limit();
        if (*run_command)
            run(plan, program, commit, results);
        else
            report(files, slopes, charts);
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "plumkeel-scale: " << error.what() << '\n';
        return 2;
    }
}
