/// The events of a scenario as steps in order of time.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "emulator/scenario_processes.hpp"

namespace plumkeel::emulator {

struct ScenarioStep {
    Time at{};  // from the scenario's begin
    std::function<void()> run;
};

/// Writes a line about a step when it is run.
using StepReporter = std::function<void(const std::string&)>;

/// `processes` must outlive the steps.
std::vector<ScenarioStep> scenario_steps(const std::vector<ScenarioEvent>& events, ScenarioProcesses& processes,
                                         const StepReporter& report);

}  // namespace plumkeel::emulator
