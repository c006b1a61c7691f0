/// \file
/// Interface for reading records in order of time, from one or more files.
#pragma once

#include <optional>

#include "trace/format.hpp"

namespace plumkeel::trace_analysis {

class RecordStream {
public:
    virtual ~RecordStream() = default;
    virtual std::optional<trace::Record> next() = 0;  ///< Next record, or nothing at the end.
    virtual trace::Time start_time() const = 0;       ///< Start of the trace, since the Unix epoch.
    virtual double progress() const = 0;              ///< Fraction of the records that has been read, from 0 to 1.
};

}  // namespace plumkeel::trace_analysis
