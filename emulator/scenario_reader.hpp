/// Scenarios from their Jsonnet files (scenarios/*.jsonnet).
#pragma once

#include <string>

#include "config/jsonnet_reader.hpp"
#include "emulator/scenario.hpp"

namespace plumkeel::emulator {

/// Throws ConfigError with file and field.
Scenario read_scenario(const std::string& file);

/// What the controllers' settings in the scenario state is what the auditor checks.
void derive_rules(Scenario& scenario);

}  // namespace plumkeel::emulator
