/// A soak run: controllers, invokers and proxies as real processes on loopback, clients and discovery in this one, and
/// faults that overlap, drawn from a seed; at its end its history is judged.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "soak/judge.hpp"

namespace plumkeel::soak {

struct RunOptions {
    std::uint64_t seed = 1;
    std::uint32_t controllers = 8, invokers = 16, proxies = 4;
    int seconds = 20;
    int gap_ms = 900;                 // at the most between the starts of two faults
    double requests_per_second = 12;  // to each controller
    std::string folder;               // emptied first; holds logs and events
    std::string self;                 // this program, which is the invokers and proxies too
    std::string program;              // plumkeel
    std::string preload;              // the library of failing system calls
    std::set<std::string> only;       // faults; empty: all
    bool quiet{};
};

struct RunResult {
    Verdict verdict;
    std::map<std::string, int> faults;  // how often each one came
    std::map<std::string, std::uint64_t> failed_calls;
    std::uint64_t restarts{};
    std::int64_t longest_pause_ms{};  // of this process
};

RunResult run(const RunOptions& options);  // throws std::exception where a process can't be started

}  // namespace plumkeel::soak
