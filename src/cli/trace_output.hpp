/// \file
/// Writes a trace file that is derived from other trace files.
#pragma once

#include <string>

#include "trace/file.hpp"
#include "trace/writer.hpp"

namespace plumkeel::cli {

class TraceOutput {
public:
    /// `derivation` describes how the file is derived; it is stored in the file's first record and added to the
    /// descriptions in copied records. `start_time` counts from the Unix epoch.
    TraceOutput(const std::string& file, trace::Time start_time, std::string derivation);
    void add(const trace::Record& record);
    std::uint64_t finish();  ///< Completes the file; returns the number of records added.

private:
    trace::FileSink sink_;
    trace::Writer writer_;
    const std::string derivation_;
    std::uint64_t added_records_{};
};

}  // namespace plumkeel::cli
