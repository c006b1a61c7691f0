/// plumkeel-scenario: runs a scenario on loopback sockets and checks its records for violations.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>

#include "emulator/scenario_reader.hpp"
#include "emulator/scenario_runner.hpp"
#include "emulator/simulation_import.hpp"

namespace {

using plumkeel::emulator::Verdict;

void print(const Verdict& verdict) {
    for (const auto& violation : verdict.violations)
        std::cout << fmt::format("violation: {}: {} at {:g} s: {}\n", rule_name(violation.rule), violation.request,
                                 static_cast<double>(violation.at_us) / 1e6, violation.description);
    std::cout << fmt::format(
        "attempts {}, effects {}, abandoned by clients {}, not accepted {}, lost with a killed or frozen controller "
        "{}, highest load of an invoker in slow start {}% of its limit\n",
        verdict.attempts, verdict.effects, verdict.abandoned, verdict.not_accepted, verdict.lost_with_controller,
        static_cast<int>(verdict.peak_slow_start_load * 100));
    std::cout << verdict.summary() << '\n';
}

}  // namespace

int main(int argc, char** argv) {
    using namespace plumkeel;
    CLI::App app("plumkeel-scenario: runs a scenario on loopback sockets; the last line is the verdict");
    std::string script, simulation, length = "20s";
    emulator::RunOptions options;
    options.folder = "runs/scenario";
    options.program_folder = std::filesystem::canonical("/proc/self/exe").parent_path();
    app.add_option("script", script, "Jsonnet file of a scenario");
    app.add_option("--simulation,--bench-day", simulation, "simulator file to run scaled down");
    app.add_option("--length", length, "duration of the run of a simulator file")->capture_default_str();
    app.add_option("--folder", options.folder, "for settings, records and logs; emptied at the start")
        ->capture_default_str();
    app.add_option("--programs", options.program_folder, "folder of plumkeel and plumkeel-emulator");
    app.add_flag("--quiet", options.quiet, "do not print the events of the scenario");
    CLI11_PARSE(app, argc, argv);
    try {
        if (script.empty() == simulation.empty())
            throw ConfigError("exactly one of a scenario file and --simulation must be given");
        const emulator::Scenario scenario = script.empty()
                                                ? emulator::import_simulation(simulation, parse_duration(length))
                                                : emulator::read_scenario(script);
        const Verdict verdict = emulator::run_scenario(scenario, options);
        print(verdict);
        return verdict.violations.empty() ? 0 : 1;
    } catch (const std::exception& error) {
        std::cerr << "plumkeel-scenario: " << error.what() << '\n';
        return 2;
    }
}
