/// Measures the decisions of one controller's scheduler in virtual time, without network or processes, for a given
/// fleet, number of functions and request rate.
#pragma once

#include <vector>

#include "scale/measurement.hpp"
#include "scale/scheduler_host.hpp"

namespace plumkeel::scale {

/// An event during the run, in addition to the requests.
enum class Disturbance {
    none,
    restarts,          ///< each invoker restarts once at its old address, spread evenly over the run
    zone_outage,       ///< all invokers of one zone are removed from the endpoint list for a third of the run
    full_list,         ///< the complete endpoint list is announced again
    new_functions,     ///< each request is for a function not requested before
    parked_functions,  ///< 1,024 requests for as many different functions are parked at the same time
    capacity_changes,  ///< 1% of the invokers are announced with another capacity each second
};

struct DecisionCase {
    FleetShape fleet;
    std::size_t functions = 250'000;
    double popularity_exponent = 1.4;  // exponent of the Zipf distribution of requests over functions
    double requests_per_s = 103;
    Time length = std::chrono::seconds(60);
    Disturbance disturbance = Disturbance::none;
    HostSettings host_settings;
    std::uint64_t seed = 1;
};

/// Runs the case and returns its measurements, which leave out the first quarter of its length.
std::vector<Measurement> measure_decisions(const DecisionCase& decision_case);

}  // namespace plumkeel::scale
