#include "emulator/scenario_timeline.hpp"

#include <algorithm>

namespace plumkeel::emulator {
namespace {

class TimelineBuilder {
public:
    TimelineBuilder(ScenarioProcesses& processes, StepReporter report)
        : processes_(processes), report_(std::move(report)) {}

    void add(const ScenarioEvent& event) {
        Time replacement_start = event.at;
        for (const std::string& target : event.targets) {
            switch (event.kind) {
                case ScenarioEvent::Kind::command:
                    add_command(event, target);
                    break;
                case ScenarioEvent::Kind::crash:
                    add_crash(event, target);
                    break;
                case ScenarioEvent::Kind::vanish:
                    add_vanish(event, target);
                    break;
                case ScenarioEvent::Kind::replace:
                    add_replacement(replacement_start, event.drain, target);
                    replacement_start += event.interval;
                    break;
                case ScenarioEvent::Kind::kill_controller:
                    add_controller_kill(event, target);
                    break;
                case ScenarioEvent::Kind::freeze:
                    add_freeze(event, target);
                    break;
            }
        }
    }

    std::vector<ScenarioStep> take_sorted() {
        std::stable_sort(steps_.begin(), steps_.end(),
                         [](const ScenarioStep& a, const ScenarioStep& b) { return a.at < b.at; });
        return std::move(steps_);
    }

private:
    // Copies the reporter into the step, because the steps outlive this builder.
    template <class Action>
    void add_step(Time at, std::string description, Action action) {
        steps_.push_back({at, [report = report_, description = std::move(description), action = std::move(action)] {
                              if (!description.empty()) report(description);
                              action();
                          }});
    }

    void add_command(const ScenarioEvent& event, const std::string& target) {
        const auto send = [&](Time at, const std::string& command) {
            add_step(at, target + ": " + command,
                     [&processes = processes_, target, command] { processes.send_command(target, command); });
        };
        send(event.at, event.command);
        if (!event.undo_command.empty()) send(event.at + event.duration, event.undo_command);
    }

    void add_crash(const ScenarioEvent& event, const std::string& target) {
        add_step(event.at, target + " is killed",
                 [&processes = processes_, target] { processes.kill_invoker(target); });
        add_step(event.at + event.removal_delay, "",
                 [&processes = processes_, target] { processes.send_command("list", "remove " + target); });
        add_step(event.at + event.duration, target + " restarts cold",
                 [&processes = processes_, target] { processes.start_invoker(target, true); });
    }

    void add_vanish(const ScenarioEvent& event, const std::string& target) {
        add_step(event.at, target + " stops responding",
                 [&processes = processes_, target] { processes.send_command(target, "silent on"); });
        add_step(event.at + event.duration, target + " restarts cold", [&processes = processes_, target] {
            processes.kill_invoker(target);
            processes.start_invoker(target, true);
        });
    }

    void add_replacement(Time at, Time drain, const std::string& target) {
        add_step(at, target + " starts draining",
                 [&processes = processes_, target] { processes.send_command("list", "drain " + target); });
        add_step(at + drain, ScenarioProcesses::successor_name(target) + " replaces " + target,
                 [&processes = processes_, target] { processes.replace_invoker(target); });
    }

    void add_controller_kill(const ScenarioEvent& event, const std::string& target) {
        add_step(event.at, target + " is killed",
                 [&processes = processes_, target] { processes.kill_controller(target); });
        add_step(event.at + event.duration, target + " restarts",
                 [&processes = processes_, target] { processes.start_controller(target); });
    }

    void add_freeze(const ScenarioEvent& event, const std::string& target) {
        add_step(event.at, target + " is frozen",
                 [&processes = processes_, target] { processes.freeze_controller(target); });
        add_step(event.at + event.duration, "", [&processes = processes_, target, duration = event.duration] {
            processes.resume_controller(target, duration);
        });
    }

    ScenarioProcesses& processes_;
    const StepReporter report_;
    std::vector<ScenarioStep> steps_;
};

}  // namespace

std::vector<ScenarioStep> scenario_steps(const std::vector<ScenarioEvent>& events, ScenarioProcesses& processes,
                                         const StepReporter& report) {
    TimelineBuilder builder(processes, report);
    for (const ScenarioEvent& event : events) builder.add(event);
    return builder.take_sorted();
}

}  // namespace plumkeel::emulator
