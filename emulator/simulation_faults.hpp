/// The faults of a simulator's file as events of a scenario.
#pragma once

#include <boost/json.hpp>
#include <string>

#include "emulator/scenario.hpp"

namespace plumkeel::emulator {

/// Appends them to the events of `scenario`, whose invokers and length are set. `file` is named in errors. Throws
/// ConfigError where a kind of fault can't be emulated.
void import_faults(const boost::json::object& simulation, const std::string& file, Scenario& scenario);

}  // namespace plumkeel::emulator
