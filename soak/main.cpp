// plumkeel-soak: the real program among dozens of processes and overlapping troubles, judged by the rules.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <charconv>
#include <filesystem>
#include <iostream>

#include "soak/invoker.hpp"
#include "soak/proxy.hpp"
#include "soak/run.hpp"

namespace {

using namespace plumkeel::soak;

// "listen=to=number"
ProxyPlan::Way way_of(const std::string& text) {
    const auto first = text.find('='), last = text.rfind('=');
    ProxyPlan::Way way{text.substr(0, first), text.substr(first + 1, last - first - 1), 0};
    std::from_chars(text.data() + last + 1, text.data() + text.size(), way.invoker);
    return way;
}

// Whether the rules were kept.
bool tell(const RunPlan& plan, const RunResult& result) {
    const Verdict& verdict = result.verdict;
    for (std::size_t i = 0; i < verdict.breaks.size() && i < 20; ++i)
        std::cout << fmt::format("broken: {} request {:016x}: {}\n", verdict.breaks[i].rule, verdict.breaks[i].request,
                                 verdict.breaks[i].what);
    std::string troubles, calls;
    for (const auto& [name, count] : result.troubles) troubles += fmt::format(" {} {}", name, count);
    for (const auto& [name, count] : result.failed_calls) calls += fmt::format(" {} {}", name, count);
    std::cout << fmt::format(
        "seed {}: requests {}, served {}, refused {}, failed {}, excused {}, attempts {}, restarts {}, slow start "
        "{:.0f}%, own pause {} ms; troubles{}; failed calls{}\n",
        plan.seed, verdict.requests, verdict.served, verdict.refused, verdict.failed, verdict.excused, verdict.attempts,
        result.restarts, 100 * verdict.nearest_slow_start, result.own_pause_ms, troubles, calls);
    std::cout << fmt::format("seed {}: verdict: {}; breaks {}\n", plan.seed,
                             verdict.breaks.empty() ? "rules kept" : "rules broken", verdict.breaks.size());
    return verdict.breaks.empty();
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app(
        "plumkeel-soak: the real program among dozens of processes and overlapping troubles, judged by the rules");
    app.require_subcommand(1);

    InvokerPlan invoker;
    CLI::App* invoker_command = app.add_subcommand("invoker", "one invoker of a run");
    invoker_command->add_option("--listen", invoker.listen)->required();
    invoker_command->add_option("--record", invoker.record)->required();
    invoker_command->add_option("--control", invoker.control)->required();
    invoker_command->add_option("--number", invoker.number)->required();
    invoker_command->add_option("--seed", invoker.seed)->required();

    ProxyPlan proxy;
    std::vector<std::string> ways;
    CLI::App* proxy_command = app.add_subcommand("proxy", "the network before some invokers of a run");
    proxy_command->add_option("--way", ways, "LISTEN=TO=NUMBER, any number of them")->required();
    proxy_command->add_option("--record", proxy.record)->required();
    proxy_command->add_option("--control", proxy.control)->required();

    RunPlan plan;
    std::uint64_t seeds = 1;
    std::vector<std::string> only;
    const std::filesystem::path self = std::filesystem::canonical("/proc/self/exe");
    plan.self = self;
    plan.program = self.parent_path() / "plumkeel";
    plan.preload = self.parent_path() / "libplumkeel_fault_preload.so";
    plan.folder = "runs/soak";
    CLI::App* run_command = app.add_subcommand("run", "play one seed, or several one after the other");
    run_command->add_option("--seed", plan.seed, "the first")->capture_default_str();
    run_command->add_option("--seeds", seeds, "how many")->capture_default_str();
    run_command->add_option("--controllers", plan.controllers)->capture_default_str()->check(CLI::Range(1, 60));
    run_command->add_option("--invokers", plan.invokers)->capture_default_str()->check(CLI::Range(1, 40));
    run_command->add_option("--proxies", plan.proxies)->capture_default_str()->check(CLI::Range(1, 16));
    run_command->add_option("--seconds", plan.seconds, "of troubles")
        ->capture_default_str()
        ->check(CLI::Range(1, 3600));
    run_command->add_option("--gap", plan.gap_ms, "ms at the most between the begins of two troubles")
        ->capture_default_str()
        ->check(CLI::Range(50, 60'000));
    run_command->add_option("--rate", plan.per_second, "requests a second to each controller")
        ->capture_default_str()
        ->check(CLI::Range(0.1, 500.0));
    run_command->add_option("--folder", plan.folder, "made anew")->capture_default_str();
    run_command->add_option("--program", plan.program)->capture_default_str();
    run_command->add_option("--preload", plan.preload)->capture_default_str();
    run_command->add_option("--only", only, "of the troubles")->check(CLI::IsMember(trouble_names()));
    run_command->add_flag("--quiet", plan.quiet, "the verdict only");
    CLI11_PARSE(app, argc, argv);

    try {
        if (*invoker_command) return run_invoker(invoker);
        if (*proxy_command) {
            for (const std::string& each : ways) proxy.ways.push_back(way_of(each));
            return run_proxy(proxy);
        }
        plan.only = {only.begin(), only.end()};
        bool kept = true;
        const std::string folder = std::filesystem::absolute(plan.folder);
        for (std::uint64_t i = 0; i < seeds; ++i, ++plan.seed) {
            plan.folder = fmt::format("{}/seed-{}", folder, plan.seed);
            kept = tell(plan, run(plan)) && kept;
        }
        return kept ? 0 : 1;
    } catch (const std::exception& fault) {
        std::cerr << "plumkeel-soak: " << fault.what() << '\n';
        return 2;
    }
}
