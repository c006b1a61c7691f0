/// Scenarios from the load balancing simulator's files.
#pragma once

#include <string>

#include "emulator/scenario.hpp"

namespace plumkeel::emulator {

/// A file of the simulator's draw command as a scenario, scaled down: the kinds of fault, their times and shares are
/// kept; the fleet, the controllers, the traffic and the length are made small. Throws ConfigError and
/// boost::system::system_error.
Scenario import_simulation(const std::string& file, Time length);

}  // namespace plumkeel::emulator
