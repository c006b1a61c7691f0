/// Runs a scenario with real processes on loopback sockets and has it judged by the auditor.
#pragma once

#include <string>

#include "emulator/audit/verdict.hpp"
#include "emulator/scenario.hpp"

namespace plumkeel::emulator {

struct RunOptions {
    std::string folder;    ///< for settings, records and logs; emptied first
    std::string programs;  ///< the folder of plumkeel and plumkeel-emulator
    bool quiet{};          ///< events are not printed
};

/// Throws std::system_error where a process can't be started.
Verdict run_scenario(const Scenario& scenario, const RunOptions& options);

}  // namespace plumkeel::emulator
