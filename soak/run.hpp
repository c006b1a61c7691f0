// A soak run: controllers, invokers and proxies as real processes on loopback, clients and discovery in this one, and
// troubles that overlap, drawn from a seed; at its end the books are judged.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "soak/judge.hpp"

namespace plumkeel::soak {

struct RunPlan {
    std::uint64_t seed = 1;
    std::uint32_t controllers = 8, invokers = 16, proxies = 4;
    int seconds = 20;
    int gap_ms = 900;            // at the most between the begins of two troubles
    double per_second = 12;      // requests to each controller
    std::string folder;          // made anew; holds logs and events
    std::string self;            // this program, which is the invokers and proxies too
    std::string program;         // plumkeel
    std::string preload;         // the library of faults
    std::set<std::string> only;  // troubles; empty: all
    bool quiet{};
};

struct RunResult {
    Verdict verdict;
    std::map<std::string, int> troubles;  // how often each one came
    std::map<std::string, std::uint64_t> failed_calls;
    std::uint64_t restarts{};
    std::int64_t own_pause_ms{};  // the longest of this process
};

RunResult run(const RunPlan& plan);  // throws std::exception where a process can't be started
std::vector<std::string> trouble_names();

}  // namespace plumkeel::soak
