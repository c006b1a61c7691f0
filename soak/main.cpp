/// plumkeel-soak: runs plumkeel controllers with clients, proxies and invokers, injects faults, and checks the outcome.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <charconv>
#include <filesystem>
#include <iostream>

#include "soak/fault_schedule.hpp"
#include "soak/invoker.hpp"
#include "soak/proxy.hpp"
#include "soak/run.hpp"

namespace {

using namespace plumkeel::soak;

constexpr std::size_t max_printed_violations = 20;

/// Values of the command-line options of all subcommands.
struct CommandLine {
    InvokerOptions invoker;
    ProxyOptions proxy;
    std::vector<std::string> routes;
    RunOptions run;
    std::uint64_t seed_count = 1;
    std::vector<std::string> only_faults;
};

// Parses LISTEN=TARGET=NUMBER: two addresses (host:port) and the number of an invoker.
ProxyOptions::Route parse_route(const std::string& route_text) {
    const auto first_separator = route_text.find('='), last_separator = route_text.rfind('=');
    ProxyOptions::Route route{route_text.substr(0, first_separator),
                              route_text.substr(first_separator + 1, last_separator - first_separator - 1), 0};
    std::from_chars(route_text.data() + last_separator + 1, route_text.data() + route_text.size(),
                    route.invoker_number);
    return route;
}

void print_result(std::uint64_t seed, const RunResult& result) {
    const Verdict& verdict = result.verdict;
    for (std::size_t i = 0; i < verdict.violations.size() && i < max_printed_violations; ++i) {
        const Violation& violation = verdict.violations[i];
        std::cout << fmt::format("violation: {} request {:016x}: {}\n", rule_name(violation.rule), violation.request_id,
                                 violation.description);
    }
    std::string fault_text, failed_call_text;
    for (const auto& [name, count] : result.fault_counts) fault_text += fmt::format(" {} {}", name, count);
    for (const auto& [name, count] : result.failed_call_counts) failed_call_text += fmt::format(" {} {}", name, count);
    std::cout << fmt::format(
        "seed {}: requests {}, served {}, rejected {}, failed {}, excused {}, attempts {}, restarts {}, slow start "
        "{:.0f}%, own pause {} ms; faults{}; failed calls{}\n",
        seed, verdict.requests, verdict.served, verdict.rejected, verdict.failed, verdict.excused, verdict.attempts,
        result.restarts, 100 * verdict.peak_slow_start_load, result.longest_client_pause_ms, fault_text,
        failed_call_text);
    std::cout << fmt::format("seed {}: verdict: {}; violations {}\n", seed,
                             verdict.violations.empty() ? "rules kept" : "rules broken", verdict.violations.size());
}

CLI::App* add_invoker_command(CLI::App& app, CommandLine& command_line) {
    CLI::App* command =
        app.add_subcommand("invoker", "serve as one invoker of a soak run (started by the subcommand run)");
    command->add_option("--listen", command_line.invoker.listen)->required();
    command->add_option("--record", command_line.invoker.event_path)->required();
    command->add_option("--control", command_line.invoker.control_path)->required();
    command->add_option("--number", command_line.invoker.number)->required();
    command->add_option("--seed", command_line.invoker.seed)->required();
    return command;
}

CLI::App* add_proxy_command(CLI::App& app, CommandLine& command_line) {
    CLI::App* command =
        app.add_subcommand("proxy", "proxy connections to some invokers of a soak run (started by the subcommand run)");
    command
        ->add_option("--route,--way", command_line.routes,
                     "LISTEN=TARGET=NUMBER: two addresses and the number of the invoker; repeatable")
        ->required();
    command->add_option("--record", command_line.proxy.event_path)->required();
    command->add_option("--control", command_line.proxy.control_path)->required();
    return command;
}

void add_run_command(CLI::App& app, CommandLine& command_line) {
    const std::filesystem::path program_path = std::filesystem::canonical("/proc/self/exe");
    RunOptions& run_options = command_line.run;
    run_options.soak_program = program_path;
    run_options.controller_program = program_path.parent_path() / "plumkeel";
    run_options.fault_preload_library = program_path.parent_path() / "libplumkeel_fault_preload.so";
    run_options.folder = "runs/soak";
    CLI::App* command = app.add_subcommand("run", "do a soak run for one seed or for several consecutive seeds");
    command->add_option("--seed", run_options.seed, "the first seed")->capture_default_str();
    command->add_option("--seeds", command_line.seed_count, "number of consecutive seeds")->capture_default_str();
    command->add_option("--controllers", run_options.controller_count)->capture_default_str()->check(CLI::Range(1, 60));
    command->add_option("--invokers", run_options.invoker_count)->capture_default_str()->check(CLI::Range(1, 40));
    command->add_option("--proxies", run_options.proxy_count)->capture_default_str()->check(CLI::Range(1, 16));
    command->add_option("--seconds", run_options.fault_seconds, "seconds from the start of a run until faults end")
        ->capture_default_str()
        ->check(CLI::Range(1, 3600));
    command->add_option("--gap", run_options.max_fault_gap_ms, "longest time between the starts of two faults, in ms")
        ->capture_default_str()
        ->check(CLI::Range(50, 60'000));
    command->add_option("--rate", run_options.requests_per_second, "requests per second to each controller")
        ->capture_default_str()
        ->check(CLI::Range(0.1, 500.0));
    command
        ->add_option("--folder", run_options.folder,
                     "folder of logs and events; a run first deletes its subfolder seed-N")
        ->capture_default_str();
    command->add_option("--program", run_options.controller_program)->capture_default_str();
    command->add_option("--preload", run_options.fault_preload_library)->capture_default_str();
    command->add_option("--only", command_line.only_faults, "faults to start; without this option, all of them")
        ->check(CLI::IsMember(FaultSchedule::names()));
    command->add_flag("--quiet", run_options.quiet, "print only results, no log lines");
}

// Returns whether the runs of all seeds kept the rules.
bool run_seeds(CommandLine command_line) {
    command_line.run.only_faults = {command_line.only_faults.begin(), command_line.only_faults.end()};
    const std::string folder = std::filesystem::absolute(command_line.run.folder);
    bool rules_kept = true;
    for (std::uint64_t i = 0; i < command_line.seed_count; ++i, ++command_line.run.seed) {
        command_line.run.folder = fmt::format("{}/seed-{}", folder, command_line.run.seed);
        const RunResult result = run(command_line.run);
        print_result(command_line.run.seed, result);
        rules_kept = result.verdict.violations.empty() && rules_kept;
    }
    return rules_kept;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app(
        "plumkeel-soak: runs plumkeel controllers with clients, proxies and invokers, injects faults, and checks the "
        "outcome");
    app.require_subcommand(1);
    CommandLine command_line;
    const CLI::App* invoker_command = add_invoker_command(app, command_line);
    const CLI::App* proxy_command = add_proxy_command(app, command_line);
    add_run_command(app, command_line);
    CLI11_PARSE(app, argc, argv);
    try {
        if (*invoker_command) return run_invoker(command_line.invoker);
        if (!*proxy_command) return run_seeds(command_line) ? 0 : 1;
        for (const std::string& route : command_line.routes) command_line.proxy.routes.push_back(parse_route(route));
        return run_proxy(command_line.proxy);
    } catch (const std::exception& error) {
        std::cerr << "plumkeel-soak: " << error.what() << '\n';
        return 2;
    }
}
