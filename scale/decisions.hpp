/// The decisions alone: one controller's scheduler in virtual time, at the requests a second that one controller gets,
/// over fleets and numbers of functions of growing size.
#pragma once

#include <vector>

#include "scale/measurement.hpp"
#include "scale/scheduler_host.hpp"

namespace plumkeel::scale {

/// What happens beside the requests.
enum class Disturbance {
    none,
    restarts,          ///< each invoker is replaced under its old address, all within the run
    zone_outage,       ///< a zone leaves the list for a third of the run
    full_list,         ///< the whole list is announced again
    new_functions,     ///< each request is for a function never seen before
    parked_functions,  ///< 1,024 requests wait at once, each for a function of its own
    capacity_changes,  ///< each second a hundredth of the invokers is announced with another capacity
};

struct DecisionCase {
    FleetShape fleet;
    std::size_t functions = 250'000;
    double exponent = 1.4;  // of the functions' popularity
    double requests_per_s = 103;
    Time length = std::chrono::seconds(60);
    Disturbance disturbance = Disturbance::none;
    HostSettings host;
    std::uint64_t seed = 1;
};

/// Runs the case and returns what was measured after the first quarter of its length.
std::vector<Measurement> measure_decisions(const DecisionCase& decision_case);

}  // namespace plumkeel::scale
