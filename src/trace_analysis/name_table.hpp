/// \file
/// The names that the numbers in a trace's records stand for.
#pragma once

#include <string>
#include <unordered_map>

#include "trace/records.hpp"

namespace plumkeel::trace_analysis {

using trace::Record;
using trace::Time;

class NameTable {
public:
    /// With `keep_released`, functions that the controller has released stay known.
    explicit NameTable(bool keep_released = false) : keep_released_(keep_released) {}

    /// Takes the records of a trace in order. Returns whether the record only defined names or settings.
    bool feed(const Record& record);

    const trace::SchedulerSettings& start() const { return start_; }
    /// Of a merged trace; empty if the trace is of one controller, start().name.
    const std::vector<std::string>& controllers() const { return controllers_; }

    // Numbers that no record defined are shown as such, as "function #3".
    std::string request_class(std::uint64_t number) const;
    std::string tenant(std::uint64_t number) const;  ///< By RequestSubmitted::tenant: empty for 0.
    std::string function(std::uint64_t number) const;
    std::string invoker(std::uint64_t number) const;
    std::string request(std::uint64_t number) const;         ///< "12", or "12@controller" in a merged trace.
    Time latency_target(std::uint64_t request_class) const;  ///< 0 if it is not known.

private:
    const bool keep_released_;
    trace::SchedulerSettings start_;
    std::vector<std::string> controllers_;
    std::unordered_map<std::uint64_t, std::string> functions_, invokers_;
};

}  // namespace plumkeel::trace_analysis
