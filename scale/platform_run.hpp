/// Measures `plumkeel platform` processes. Stubs of the clients, discovery, other watchers and invokers run in this
/// process; all connections use the loopback interface.
#pragma once

#include <string>
#include <vector>

#include "scale/event_queue.hpp"
#include "scale/measurement.hpp"

namespace plumkeel::scale {

struct PlatformCase {
    std::string program;  // the plumkeel binary
    std::size_t processes = 1;
    std::size_t invokers = 100;
    std::size_t watchers = 0;  // stub watchers of discovery, in addition to the processes
    std::size_t functions = 250'000;
    double popularity_exponent = 1.4;               // exponent of the Zipf distribution of requests over functions
    double requests_per_s = 103;                    // requests per second to each process
    Time idle_duration = std::chrono::seconds(6);   // length of the measurement without requests
    Time busy_duration = std::chrono::seconds(12);  // length of the measurement with requests
    std::size_t changes = 100;                      // number of endpoint changes published in one burst
    std::uint64_t seed = 1;
};

/// Throws ResultsError if a process does not become ready or a stub can't listen on its port.
std::vector<Measurement> measure_platform(const PlatformCase& platform_case);

}  // namespace plumkeel::scale
