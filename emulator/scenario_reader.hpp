/// Reads scenarios from Jsonnet files (scenarios/*.jsonnet).
#pragma once

#include <string>

#include "config/jsonnet_reader.hpp"
#include "emulator/scenario.hpp"

namespace plumkeel::emulator {

/// Throws ConfigError that names the file and the field.
Scenario read_scenario(const std::string& file);

/// Sets the rules that the auditor checks from the scenario's controller settings and invokers.
void derive_rules(Scenario& scenario);

}  // namespace plumkeel::emulator
