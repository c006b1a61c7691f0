/// \file
/// Counts and latencies over many requests or attempts.
#pragma once

#include "trace_analysis/latency_histogram.hpp"
#include "trace_analysis/request_history.hpp"

namespace plumkeel::trace_analysis {

/// Requests by FinalOutcome; `unknown` ones count as cancelled.
struct OutcomeCounts {
    std::uint64_t succeeded{}, late{}, rejected{}, failed{}, cancelled{}, unfinished{};

    void add(const RequestHistory& history);
    void add(const OutcomeCounts& other);
    std::uint64_t total() const { return succeeded + late + rejected + failed + cancelled + unfinished; }
    std::uint64_t ended_badly() const { return total() - succeeded; }
};

struct RequestStats {
    OutcomeCounts outcomes;
    std::uint64_t attempts{};
    std::uint64_t retried{};    ///< Requests with more than one attempt.
    LatencyHistogram duration;  ///< Of requests that succeeded, within the latency target or not.
    LatencyHistogram parked;    ///< Of requests that were parked.

    void add(const RequestHistory& history);
};

struct AttemptStats {
    std::uint64_t sent{}, succeeded{}, rejected{}, connection_lost{}, unreachable{}, timed_out{}, cancelled{}, other{};
    std::uint64_t in_flight{};  ///< At the end of the trace.
    std::uint64_t loads{};
    LatencyHistogram duration;  ///< Of those that succeeded.

    void add(const AttemptHistory& attempt);
};

}  // namespace plumkeel::trace_analysis
