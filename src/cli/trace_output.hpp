/// \file
/// A trace file that is derived from others.
#pragma once

#include <string>

#include "trace/file.hpp"
#include "trace/writer.hpp"

namespace plumkeel::cli {

class TraceOutput {
public:
    /// `derivation` says how the file is derived; it is stored in the file's first record. `start_time` is since the
    /// Unix epoch.
    TraceOutput(const std::string& file, trace::Time start_time, std::string derivation);
    void add(const trace::Record& record);
    std::uint64_t finish();  ///< Returns the number of records added.

private:
    trace::FileSink sink_;
    trace::Writer writer_;
    const std::string derivation_;
    std::uint64_t added_{};
};

}  // namespace plumkeel::cli
