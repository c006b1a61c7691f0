/// The gateway of the benchmark, with or without an invoker and a trace recorder.
#pragma once

#include <string>

namespace plumkeel::benchmarks {

struct RecordingOptions {
    std::string folder;  // empty: no recorder
    bool record_candidates{};
    double stall_s{};  // the recorder's disk stalls for so long, once
    double sample_ratio = 1;
};

/// Runs until the process is killed.
void run_gateway(bool with_invoker, const RecordingOptions& recording = {});

}  // namespace plumkeel::benchmarks
