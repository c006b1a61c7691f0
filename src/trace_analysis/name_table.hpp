/// \file
/// Maps the numbers in trace records to names.
#pragma once

#include <string>
#include <unordered_map>

#include "trace/records.hpp"

namespace plumkeel::trace_analysis {

using trace::Record;
using trace::Time;

class NameTable {
public:
    /// With `keep_released`, the names of functions that the controller has released are kept.
    explicit NameTable(bool keep_released = false) : keep_released_(keep_released) {}

    /// Processes the next record of a trace. Returns whether it is a record that defines names or settings.
    bool feed(const Record& record);

    const trace::SchedulerSettings& scheduler_settings() const { return scheduler_settings_; }
    /// Names of the controllers of a merged trace. Empty for the trace of one controller.
    const std::vector<std::string>& controllers() const { return controllers_; }

    // A number without a known name is returned as text such as "function #3".
    std::string request_class(std::uint64_t number) const;
    std::string tenant(std::uint64_t number) const;  ///< Takes a RequestSubmitted::tenant; empty for 0.
    std::string function(std::uint64_t number) const;
    std::string invoker(std::uint64_t number) const;
    std::string request(std::uint64_t number) const;         ///< Text such as "12", or "12@controller" if merged.
    Time latency_target(std::uint64_t request_class) const;  ///< 0 if the request class is unknown.

private:
    const bool keep_released_;
    trace::SchedulerSettings scheduler_settings_;
    std::vector<std::string> controllers_;
    std::unordered_map<std::uint64_t, std::string> functions_, invokers_;
};

}  // namespace plumkeel::trace_analysis
