/// Runs many schedulers over one modelled fleet in virtual time at a constant total request rate. Measures how often
/// each controller gets load reports of an invoker, and the effects on the fleet.
#pragma once

#include <vector>

#include "scale/decisions.hpp"

namespace plumkeel::scale {

struct ManyControllersCase {
    FleetShape fleet;
    int controllers = 30;
    std::size_t functions = 4000;
    double popularity_exponent = 1.4;  // exponent of the Zipf distribution of requests over functions
    double requests_per_s = 12'000;    // from all controllers together
    Time length = std::chrono::seconds(30);
    HostSettings host_settings;
    std::uint64_t seed = 1;
};

/// One invoker restarts after a third of the length. Another one fails after half of the length and is removed from the
/// endpoint list after two thirds.
std::vector<Measurement> measure_many_controllers(const ManyControllersCase& controllers_case);

}  // namespace plumkeel::scale
