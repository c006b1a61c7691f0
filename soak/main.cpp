/// plumkeel-soak: the real program among dozens of processes and overlapping faults, judged by the rules.
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

constexpr std::size_t printed_violations = 20;

/// Options of all subcommands.
struct CommandLine {
    InvokerOptions invoker;
    ProxyOptions proxy;
    std::vector<std::string> routes;
    RunOptions run;
    std::uint64_t seeds = 1;
    std::vector<std::string> only;
};

// "listen=target=number"
ProxyOptions::Route parse_route(const std::string& text) {
    const auto first = text.find('='), last = text.rfind('=');
    ProxyOptions::Route route{text.substr(0, first), text.substr(first + 1, last - first - 1), 0};
    std::from_chars(text.data() + last + 1, text.data() + text.size(), route.invoker);
    return route;
}

void print(std::uint64_t seed, const RunResult& result) {
    const Verdict& verdict = result.verdict;
    for (std::size_t i = 0; i < verdict.violations.size() && i < printed_violations; ++i) {
        const Violation& violation = verdict.violations[i];
        std::cout << fmt::format("violation: {} request {:016x}: {}\n", rule_name(violation.rule), violation.request_id,
                                 violation.description);
    }
    std::string faults, calls;
    for (const auto& [name, count] : result.faults) faults += fmt::format(" {} {}", name, count);
    for (const auto& [name, count] : result.failed_calls) calls += fmt::format(" {} {}", name, count);
    std::cout << fmt::format(
        "seed {}: requests {}, served {}, rejected {}, failed {}, excused {}, attempts {}, restarts {}, slow start "
        "{:.0f}%, own pause {} ms; faults{}; failed calls{}\n",
        seed, verdict.requests, verdict.served, verdict.rejected, verdict.failed, verdict.excused, verdict.attempts,
        result.restarts, 100 * verdict.peak_slow_start_load, result.longest_pause_ms, faults, calls);
    std::cout << fmt::format("seed {}: verdict: {}; violations {}\n", seed,
                             verdict.violations.empty() ? "rules kept" : "rules broken", verdict.violations.size());
}

CLI::App* add_invoker_command(CLI::App& app, CommandLine& line) {
    CLI::App* command = app.add_subcommand("invoker", "one invoker of a run");
    command->add_option("--listen", line.invoker.listen)->required();
    command->add_option("--record", line.invoker.record)->required();
    command->add_option("--control", line.invoker.control)->required();
    command->add_option("--number", line.invoker.number)->required();
    command->add_option("--seed", line.invoker.seed)->required();
    return command;
}

CLI::App* add_proxy_command(CLI::App& app, CommandLine& line) {
    CLI::App* command = app.add_subcommand("proxy", "the network before some invokers of a run");
    command->add_option("--route,--way", line.routes, "LISTEN=TARGET=NUMBER, any number of them")->required();
    command->add_option("--record", line.proxy.record)->required();
    command->add_option("--control", line.proxy.control)->required();
    return command;
}

void add_run_command(CLI::App& app, CommandLine& line) {
    const std::filesystem::path self = std::filesystem::canonical("/proc/self/exe");
    RunOptions& run = line.run;
    run.self = self;
    run.program = self.parent_path() / "plumkeel";
    run.preload = self.parent_path() / "libplumkeel_fault_preload.so";
    run.folder = "runs/soak";
    CLI::App* command = app.add_subcommand("run", "run one seed, or several one after the other");
    command->add_option("--seed", run.seed, "the first")->capture_default_str();
    command->add_option("--seeds", line.seeds, "how many")->capture_default_str();
    command->add_option("--controllers", run.controllers)->capture_default_str()->check(CLI::Range(1, 60));
    command->add_option("--invokers", run.invokers)->capture_default_str()->check(CLI::Range(1, 40));
    command->add_option("--proxies", run.proxies)->capture_default_str()->check(CLI::Range(1, 16));
    command->add_option("--seconds", run.seconds, "of faults")->capture_default_str()->check(CLI::Range(1, 3600));
    command->add_option("--gap", run.gap_ms, "ms at the most between the starts of two faults")
        ->capture_default_str()
        ->check(CLI::Range(50, 60'000));
    command->add_option("--rate", run.requests_per_second, "requests a second to each controller")
        ->capture_default_str()
        ->check(CLI::Range(0.1, 500.0));
    command->add_option("--folder", run.folder, "emptied first")->capture_default_str();
    command->add_option("--program", run.program)->capture_default_str();
    command->add_option("--preload", run.preload)->capture_default_str();
    command->add_option("--only", line.only, "of the faults")->check(CLI::IsMember(FaultSchedule::names()));
    command->add_flag("--quiet", run.quiet, "the verdict only");
}

// Whether the rules were kept with all seeds.
bool run_seeds(CommandLine line) {
    line.run.only = {line.only.begin(), line.only.end()};
    const std::string folder = std::filesystem::absolute(line.run.folder);
    bool kept = true;
    for (std::uint64_t i = 0; i < line.seeds; ++i, ++line.run.seed) {
        line.run.folder = fmt::format("{}/seed-{}", folder, line.run.seed);
        const RunResult result = run(line.run);
        print(line.run.seed, result);
        kept = result.verdict.violations.empty() && kept;
    }
    return kept;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app(
        "plumkeel-soak: the real program among dozens of processes and overlapping faults, judged by the rules");
    app.require_subcommand(1);
    CommandLine line;
    const CLI::App* invoker_command = add_invoker_command(app, line);
    const CLI::App* proxy_command = add_proxy_command(app, line);
    add_run_command(app, line);
    CLI11_PARSE(app, argc, argv);
    try {
        if (*invoker_command) return run_invoker(line.invoker);
        if (!*proxy_command) return run_seeds(line) ? 0 : 1;
        for (const std::string& route : line.routes) line.proxy.routes.push_back(parse_route(route));
        return run_proxy(line.proxy);
    } catch (const std::exception& error) {
        std::cerr << "plumkeel-soak: " << error.what() << '\n';
        return 2;
    }
}
