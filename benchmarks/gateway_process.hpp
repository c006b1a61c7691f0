/// Runs the gateway in the current process for a benchmark, with or without an invoker and a trace recorder.
#pragma once

#include <string>

namespace plumkeel::benchmarks {

struct RecordingOptions {
    std::string folder;  // folder for traces; if it is empty, nothing is recorded
    bool record_candidates{};
    double stall_s{};  // duration of one simulated stall of the recorder's disk
    double sample_ratio = 1;
};

/// Runs until the process is killed.
void run_gateway(bool with_invoker, const RecordingOptions& recording = {});

}  // namespace plumkeel::benchmarks
