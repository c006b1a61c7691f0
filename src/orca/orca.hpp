// Load reports in the published ORCA form, as they come in the header `endpoint-load-metrics`:
//   TEXT cpu_utilization=0.3, named_metrics.inflight=3, named_metrics.queue=1
//   JSON {"cpu_utilization": 0.3, "named_metrics": {"inflight": 3, "queue": 1}}
// Free of I/O.
#pragma once

#include <string>
#include <string_view>

#include "scheduler/types.hpp"

namespace plumkeel::orca {

constexpr const char* header = "endpoint-load-metrics";

// Figures that are missing, no numbers, negative or not finite are left out; a form not known tells nothing.
LoadReport parse(std::string_view value);
std::string format(const LoadReport& report);

}  // namespace plumkeel::orca
