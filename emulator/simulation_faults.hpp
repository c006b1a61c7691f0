/// Converts the faults of a simulator file to events of a scenario.
#pragma once

#include <boost/json.hpp>
#include <string>

#include "emulator/scenario.hpp"

namespace plumkeel::emulator {

/// Appends the faults of `simulation` to the events of `scenario`, whose invokers and length must be set. `file` is
/// only used in error messages. Throws ConfigError for a kind of fault that can't be emulated.
void import_faults(const boost::json::object& simulation, const std::string& file, Scenario& scenario);

}  // namespace plumkeel::emulator
