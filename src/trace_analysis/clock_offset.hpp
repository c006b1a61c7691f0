/// \file
/// Estimates the offsets between the clocks of several controllers.
#pragma once

#include <vector>

#include "trace_analysis/controller_trace.hpp"

namespace plumkeel::trace_analysis {

struct ClockOffset {
    Time offset{};  ///< Offset to add to this controller's clock to get the time of the first controller's clock.
    std::size_t events{};  ///< Number of shared events that the estimate is based on. If 0, `offset` is unknown and 0.
    Time deviation{};      ///< Median deviation of the shared events from `offset`.
};

/// Returns the clock offset of each trace, estimated by events that several controllers recorded: connections lost when
/// an invoker failed, and changes of the endpoints. Reads the traces to their end.
std::vector<ClockOffset> estimate_offsets(const std::vector<ControllerTrace*>& traces);

}  // namespace plumkeel::trace_analysis
