/// \file
/// Records in the order of their time, from one or several files.
#pragma once

#include <optional>

#include "trace/format.hpp"

namespace plumkeel::trace_analysis {

class RecordStream {
public:
    virtual ~RecordStream() = default;
    virtual std::optional<trace::Record> next() = 0;  ///< Nothing at the end.
    virtual trace::Time start_time() const = 0;       ///< Where the records' times start, since the Unix epoch.
    virtual double progress() const = 0;              ///< The part that has been read, from 0 to 1.
};

}  // namespace plumkeel::trace_analysis
