/// Many schedulers over one modelled fleet in virtual time: how little of the fleet each one sees as their number
/// grows, and what that costs the fleet, at the same requests a second altogether.
#pragma once

#include <vector>

#include "scale/decisions.hpp"

namespace plumkeel::scale {

struct ManyControllersCase {
    FleetShape fleet;
    int controllers = 30;
    std::size_t functions = 4000;
    double exponent = 1.4;           // of the functions' popularity
    double requests_per_s = 12'000;  // of all controllers together
    Time length = std::chrono::seconds(30);
    HostSettings host;
    std::uint64_t seed = 1;
};

/// An invoker is replaced after a third of the length, another dies after half; the death is announced a sixth later.
std::vector<Measurement> measure_many_controllers(const ManyControllersCase& controllers_case);

}  // namespace plumkeel::scale
