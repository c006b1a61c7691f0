/// \file
/// Statistics of requests and of attempts.
#pragma once

#include "trace_analysis/latency_histogram.hpp"
#include "trace_analysis/request_history.hpp"

namespace plumkeel::trace_analysis {

/// Number of requests by FinalOutcome. Requests with the outcome `unknown` count as cancelled.
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
    std::uint64_t retried{};    ///< Number of requests with more than one attempt.
    LatencyHistogram duration;  ///< Durations of the requests that succeeded or were late.
    LatencyHistogram parked;    ///< Time parked, of the requests that were parked at all.

    void add(const RequestHistory& history);
};

struct AttemptStats {
    std::uint64_t sent{}, succeeded{}, rejected{}, connection_lost{}, unreachable{}, timed_out{}, cancelled{}, other{};
    std::uint64_t in_flight{};  ///< Attempts in flight at the end of the trace.
    std::uint64_t loads{};
    LatencyHistogram duration;  ///< Durations of the attempts that succeeded.

    void add(const AttemptHistory& attempt);
};

}  // namespace plumkeel::trace_analysis
