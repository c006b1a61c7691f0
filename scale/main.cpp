// plumkeel-scale: measures how the controller's cost grows with the fleet, and reports the slopes.
#include <fmt/format.h>
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>
#include <set>

#include "scale/chart.hpp"
#include "scale/plan.hpp"
#include "scale/slopes.hpp"

namespace {

using namespace plumkeel;
using namespace plumkeel::scale;

// A process may open as many descriptors as its hard limit allows; the soft one is often far lower.
void use_all_descriptors() {
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
}

template <class Case, class Measure>
void play(const std::string& experiment, const std::vector<Series<Case>>& all, Measure measure,
          std::vector<Row>& rows) {
    for (const Series<Case>& series : all)
        for (const std::size_t size : series.sizes)
            for (int run = 0; run < series.runs; ++run) {
                std::cerr << fmt::format("{} '{}': {} {}, run {} of {}\n", experiment, series.name, size,
                                         series.size_name, run + 1, series.runs);
                Case of = sized(series, size);
                of.seed = static_cast<std::uint64_t>(run) + 1;
                for (const Measured& each : measure(of))
                    rows.push_back({experiment, series.name, series.size_name, static_cast<double>(size), run,
                                    each.metric, each.unit, each.value});
            }
}

template <class Case>
void check_fit(const std::string& experiment, const std::vector<Series<Case>>& all) {
    for (const Series<Case>& series : all)
        for (const std::size_t size : series.sizes)
            refuse_what_does_not_fit(fmt::format("{} '{}' at {} {}", experiment, series.name, size, series.size_name),
                                     need_of(sized(series, size)));
}

void run(const std::string& plan_file, const std::string& program, const std::string& commit, const std::string& out) {
    Plan plan = read_plan(plan_file);
    for (auto& series : plan.platform) series.plain.program = program;
    check_fit("decisions", plan.decisions);
    check_fit("controllers", plan.controllers);
    check_fit("platform", plan.platform);
    ResultsFile results{describe_machine(), commit, {}};
    play("decisions", plan.decisions, measure_decisions, results.rows);
    play("controllers", plan.controllers, measure_many_controllers, results.rows);
    play("platform", plan.platform, measure_platform, results.rows);
    write_results(out, results);
}

// Each metric of each experiment over each size, in one chart that holds all files.
void draw_all(const std::vector<Labelled>& sets, const std::string& folder) {
    std::set<std::vector<std::string>> metrics;
    for (const Labelled& set : sets)
        for (const Row& row : set.rows) metrics.insert({row.experiment, row.size_name, row.metric});
    std::filesystem::create_directories(folder);
    for (const auto& it : metrics)
        draw_metric(sets, it[0], it[1], it[2], fmt::format("{}/{}-{}-{}.svg", folder, it[0], it[1], it[2]));
}

// A file's rows bear the name that stands before the '=', as in before=old.csv.
void report(const std::vector<std::string>& files, const std::string& slopes_file, const std::string& charts) {
    std::vector<Labelled> sets;
    std::vector<Row> all;
    for (const std::string& argument : files) {
        const auto equals = argument.find('=');
        const std::string label = equals == std::string::npos ? "" : argument.substr(0, equals);
        Labelled& set = sets.emplace_back(
            Labelled{label, read_results(argument.substr(equals == std::string::npos ? 0 : equals + 1)).rows});
        for (Row row : set.rows) {
            if (!label.empty()) row.series = label + ": " + row.series;
            all.push_back(std::move(row));
        }
    }
    write_slopes(slopes_file, slopes_of(all));
    if (!charts.empty()) draw_all(sets, charts);
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("plumkeel-scale: how the controller's cost grows with the fleet");
    app.require_subcommand(1);
    std::string plan, program = std::filesystem::canonical("/proc/self/exe").parent_path() / "plumkeel";
    std::string commit = "unknown", out = "results.csv", slopes = "slopes.csv", charts;
    std::vector<std::string> files;
    CLI::App* const run_command = app.add_subcommand("run", "measures what a plan names");
    run_command->add_option("plan", plan, "Jsonnet plan")->required();
    run_command->add_option("--out", out, "results, a CSV file")->capture_default_str();
    run_command->add_option("--program", program, "the plumkeel binary to measure")->capture_default_str();
    run_command->add_option("--commit", commit, "of the program measured, for the record")->capture_default_str();
    CLI::App* const report_command = app.add_subcommand("report", "slopes and charts of results");
    report_command->add_option("results", files, "results, each with an optional label before it: before=old.csv")
        ->required();
    report_command->add_option("--slopes", slopes, "CSV file to write")->capture_default_str();
    report_command->add_option("--charts", charts, "folder for charts (SVG); none where left out");
    CLI11_PARSE(app, argc, argv);
    try {
        use_all_descriptors();
        if (*run_command)
            run(plan, program, commit, out);
        else
            report(files, slopes, charts);
        return 0;
    } catch (const std::exception& fault) {
        std::cerr << "plumkeel-scale: " << fault.what() << '\n';
        return 2;
    }
}
