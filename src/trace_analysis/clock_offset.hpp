/// \file
/// Estimates how far the clocks of several controllers are apart.
#pragma once

#include <vector>

#include "trace_analysis/controller_trace.hpp"

namespace plumkeel::trace_analysis {

struct ClockOffset {
    Time offset{};         ///< To be added to this controller's clock to get the first one's.
    std::size_t events{};  ///< How many events support it that both controllers saw; 0: none, and the offset is 0.
    Time deviation{};      ///< The median deviation of these events from it.
};

/// By events that several controllers saw: attempts whose connections broke when an invoker died, and changes of the
/// endpoints. Reads the traces to their end; one offset for each, in their order.
std::vector<ClockOffset> estimate_offsets(const std::vector<ControllerTrace*>& traces);

}  // namespace plumkeel::trace_analysis
