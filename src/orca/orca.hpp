/// Load reports in the formats of Open Request Cost Aggregation (ORCA), as invokers send them in the response header
/// `endpoint-load-metrics`:
///   TEXT cpu_utilization=0.3, named_metrics.inflight=3, named_metrics.queue=1
///   JSON {"cpu_utilization": 0.3, "named_metrics": {"inflight": 3, "queue": 1}}
/// Does no I/O.
#pragma once

#include <string>
#include <string_view>

#include "scheduler/types.hpp"

namespace plumkeel::orca {

/// Name of the header field that carries a load report.
constexpr const char* header_name = "endpoint-load-metrics";

/// Parses a load report. Metrics that are missing, not numeric, negative or not finite stay empty; a text in an unknown
/// format gives an empty report.
LoadReport parse(std::string_view text);

/// Formats a load report as a header value in the TEXT format.
std::string format(const LoadReport& report);

}  // namespace plumkeel::orca
