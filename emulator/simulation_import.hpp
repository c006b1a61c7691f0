/// Creates scenarios from files of the load balancing simulator.
#pragma once

#include <string>

#include "emulator/scenario.hpp"

namespace plumkeel::emulator {

/// Converts a file of the simulator's draw command to a smaller scenario: keeps the kinds of faults, their relative
/// times and their shares of the invokers, and reduces the numbers of invokers and controllers, the traffic and the
/// length. Throws ConfigError and boost::system::system_error.
Scenario import_simulation(const std::string& file, Time length);

}  // namespace plumkeel::emulator
