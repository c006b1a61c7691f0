// Holds a soak run against the rules, by what clients, proxies and invokers saw. Free of I/O and clocks.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "soak/books.hpp"

namespace plumkeel::soak {

struct Break {
    std::string rule;  // lost, late, twice_answered, unreadable, duplicate, refused_but_ran, drain, slow_start,
                       // after_client, deadline, crash, invariant
    std::uint64_t request{};
    std::string what;
};

struct Verdict {
    std::vector<Break> breaks;
    std::size_t requests{}, served{}, refused{}, failed{}, excused{};  // excused: lost with a killed process
    std::size_t attempts{};
    double nearest_slow_start{};  // the most that a server in slow start got, in parts of what it bears
};

Verdict judge(const Books& books);

}  // namespace plumkeel::soak
