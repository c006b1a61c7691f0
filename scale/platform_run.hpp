/// The real program: `plumkeel platform` processes, unchanged, beside stubs of discovery, of watchers and of invokers,
/// all of which share this process. Everything stays on loopback.
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
    std::size_t watchers = 0;  // stubs, beside the processes
    std::size_t functions = 250'000;
    double exponent = 1.4;                 // of the functions' popularity
    double requests_per_s = 103;           // to each process
    Time idle = std::chrono::seconds(6);   // measured without requests
    Time busy = std::chrono::seconds(12);  // and with them
    std::size_t changes = 100;             // of the list, in one burst
    std::uint64_t seed = 1;
};

/// Throws ResultsError where a process does not become ready or a port is taken.
std::vector<Measurement> measure_platform(const PlatformCase& platform_case);

}  // namespace plumkeel::scale
