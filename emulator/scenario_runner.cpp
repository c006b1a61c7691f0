#include "emulator/scenario_runner.hpp"

#include <fmt/format.h>
#include <signal.h>

#include <filesystem>
#include <fstream>
#include <iostream>

#include "config/jsonnet_reader.hpp"
#include "emulator/audit/auditor.hpp"
#include "emulator/scenario_timeline.hpp"

namespace plumkeel::emulator {
namespace {

namespace fs = std::filesystem;
namespace json = boost::json;

constexpr Time startup_time = 1s;        // for the processes to start and connect to each other
constexpr Time response_slack = 1500ms;  // for the last responses, after the clients' longest deadline
constexpr Time min_client_deadline = 1s;

Time longest_client_deadline(const Scenario& scenario) {
    Time longest = min_client_deadline;
    const auto* classes = scenario.client_settings.if_contains("use_cases");
    if (!classes) return longest;
    for (const auto& [name, request_class] : classes->as_object())
        if (const auto* deadline = request_class.as_object().if_contains("expiry"))
            longest = std::max(longest, parse_duration(std::string_view(deadline->as_string())));
    return longest;
}

class ScenarioRunner {
public:
    ScenarioRunner(const Scenario& scenario, const RunOptions& options)
        : scenario_(scenario), options_(options), processes_(scenario, options.folder, options.program_folder) {}

    Verdict run() {
        // Writing a command to a process that has exited must not end this process.
        ::signal(SIGPIPE, SIG_IGN);
        processes_.start_all(loop_);
        loop_.spawn(run_timeline());
        loop_.run();
        const std::vector<std::string> failures = processes_.stop_all();
        Verdict verdict = audit();
        for (const std::string& failure : failures) verdict.violations.push_back({Rule::process_exit, "", failure, 0});
        return verdict;
    }

private:
    net::Task<> run_timeline() {
        co_await loop_.sleep(startup_time);
        const Time start = loop_.now();
        processes_.send_command("clients", "start");
        const auto steps =
            scenario_steps(scenario_.events, processes_, [this](const std::string& line) { print(line); });
        for (const ScenarioStep& step : steps) {
            if (step.at >= scenario_.length) break;
            const Time elapsed = loop_.now() - start;
            if (step.at > elapsed) co_await loop_.sleep(step.at - elapsed);
            step.run();
        }
        const Time elapsed = loop_.now() - start;
        if (elapsed < scenario_.length) co_await loop_.sleep(scenario_.length - elapsed);
        for (const ScenarioStep& step : steps)
            if (step.at >= scenario_.length) step.run();  // remaining steps, such as undo commands, run at the end
        processes_.send_command("clients", "stop");
        co_await loop_.sleep(longest_client_deadline(scenario_) + response_slack);
        loop_.stop();
    }

    void print(const std::string& line) {
        if (options_.quiet) return;
        const double seconds = std::chrono::duration<double>(loop_.now() - startup_time).count();
        std::cout << fmt::format("{:7.3f} s  {}\n", seconds, line) << std::flush;
    }

    Verdict audit() const {
        DeploymentRules rules = scenario_.rules;
        for (const ScenarioInvoker& invoker : scenario_.invokers)
            rules.locations[ScenarioProcesses::successor_name(invoker.name)] = {invoker.zone, invoker.cell};
        Auditor auditor(rules);
        for (const auto& entry : fs::directory_iterator(options_.folder))
            if (entry.path().extension() == ".jsonl") read_record(entry.path(), auditor);
        return auditor.judge();
    }

    // The file's name is "<source>-<process>.jsonl". Skips the incomplete line that a killed process may leave.
    static void read_record(const fs::path& file, Auditor& auditor) {
        const std::string name = file.stem();
        const auto dash = name.find('-');
        const std::string process = dash == std::string::npos ? name : name.substr(dash + 1);
        std::ifstream input(file);
        for (std::string line; std::getline(input, line);) {
            boost::system::error_code error;
            const auto value = json::parse(line, error);
            if (!error && value.is_object()) auditor.read(name.substr(0, dash), process, value.as_object());
        }
    }

    const Scenario& scenario_;
    const RunOptions& options_;
    net::SocketEventLoop loop_;
    ScenarioProcesses processes_;
};

}  // namespace

Verdict run_scenario(const Scenario& scenario, const RunOptions& options) {
    fs::remove_all(options.folder);
    fs::create_directories(options.folder);
    return ScenarioRunner(scenario, options).run();
}

}  // namespace plumkeel::emulator
