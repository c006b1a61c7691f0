// The real program: `plumkeel platform` processes, unchanged, beside a hollow discovery service with hollow watchers,
// and hollow invokers, all of which share this process. Everything stays on loopback.
#pragma once

#include <string>
#include <vector>

#include "scale/decisions.hpp"

namespace plumkeel::scale {

struct PlatformCase {
    std::string program;  // the plumkeel binary
    std::size_t processes = 1;
    std::size_t invokers = 100;
    std::size_t watchers = 0;  // hollow ones, beside the processes
    std::size_t functions = 250'000;
    double exponent = 1.4;
    double calls_per_s = 103;              // of each process
    Time idle = std::chrono::seconds(6);   // measured without calls
    Time busy = std::chrono::seconds(12);  // and with them
    std::size_t changes = 100;             // of the list, in one burst
    std::uint64_t seed = 1;
};

std::vector<Measured> measure_platform(const PlatformCase& of);

}  // namespace plumkeel::scale
