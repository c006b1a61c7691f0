/// Converts the events of a scenario to steps in order of time.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "emulator/scenario_processes.hpp"

namespace plumkeel::emulator {

struct ScenarioStep {
    Time at{};  // since the scenario's start
    std::function<void()> run;
};

/// Called with a description of each step that runs.
using StepReporter = std::function<void(const std::string&)>;

/// Returns the steps sorted by time. `processes` must outlive them.
std::vector<ScenarioStep> scenario_steps(const std::vector<ScenarioEvent>& events, ScenarioProcesses& processes,
                                         const StepReporter& report);

}  // namespace plumkeel::emulator
