/// Runs a scenario with real processes on loopback sockets, and checks their records with the auditor.
#pragma once

#include <string>

#include "emulator/audit/verdict.hpp"
#include "emulator/scenario.hpp"

namespace plumkeel::emulator {

struct RunOptions {
    std::string folder;          ///< for settings, records and logs; emptied at the start
    std::string program_folder;  ///< contains plumkeel and plumkeel-emulator
    bool quiet{};                ///< don't print the events
};

/// Throws std::system_error where a process can't be started.
Verdict run_scenario(const Scenario& scenario, const RunOptions& options);

}  // namespace plumkeel::emulator
