// The decisions alone: one controller's module in virtual time, at the calls a second that one controller gets, over
// fleets and numbers of functions of growing size.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "scale/controller_host.hpp"
#include "scale/results.hpp"

namespace plumkeel::scale {

// What happens beside the calls.
enum class Disturbance {
    none,
    restarts,          // each invoker is replaced under its old address, all within a minute
    zone_outage,       // a zone leaves the list for 20 s
    whole_list,        // the whole list is told again
    new_names,         // each call is for a function never called before
    parked_functions,  // 1,024 requests wait at once, each for a function of its own
    units_change,      // each second a hundredth of the invokers is told with other units
};

struct DecisionCase {
    FleetShape fleet;
    std::size_t functions = 250'000;
    double exponent = 1.4;
    double calls_per_s = 103;
    Time length = std::chrono::seconds(60);
    Disturbance disturbance = Disturbance::none;
    HostSettings host;
    std::uint64_t seed = 1;
};

struct Measured {
    std::string metric, unit;
    double value{};
};

// Plays the case and returns what was measured after the first quarter of its length.
std::vector<Measured> measure_decisions(const DecisionCase& of);

}  // namespace plumkeel::scale
