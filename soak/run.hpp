/// A soak run: controllers, invokers and proxies run as processes on loopback addresses; clients and discovery services
/// run in the calling process. Faults are drawn from a seed, and the recorded history is judged at the end.
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
    std::uint32_t controller_count = 8, invoker_count = 16, proxy_count = 4;
    int fault_seconds = 20;             // time from the start of the run until faults end
    int max_fault_gap_ms = 900;         // longest time between the starts of two faults
    double requests_per_second = 12;    // sent to each controller
    std::string folder;                 // for logs, settings and events; deleted and created again by run()
    std::string soak_program;           // path of plumkeel-soak, which also runs as invoker and proxy
    std::string controller_program;     // path of plumkeel, which runs as controller
    std::string fault_preload_library;  // path of the library that makes system calls of controllers fail
    std::set<std::string> only_faults;  // names of the faults to start; empty: all faults
    bool quiet{};
};

struct RunResult {
    Verdict verdict;
    std::map<std::string, int> fault_counts;  // how often each fault was started, by name
    std::map<std::string, std::uint64_t> failed_call_counts;
    std::uint64_t restarts{};
    std::int64_t longest_client_pause_ms{};  // longest time for which the calling process was stalled
};

/// Does one soak run. Throws std::exception if a process can't be started.
RunResult run(const RunOptions& options);

}  // namespace plumkeel::soak
