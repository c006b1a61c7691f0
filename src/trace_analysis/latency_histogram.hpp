/// \file
/// Quantiles of latencies in bounded memory.
#pragma once

#include <boost/histogram.hpp>
#include <tuple>

#include "trace/format.hpp"

namespace plumkeel::trace_analysis {

/// Bins are 2% wide, from 0.1 ms to 1,000 s, which bounds the error of the quantiles in that range.
class LatencyHistogram {
public:
    LatencyHistogram();
    void add(trace::Time value);
    std::uint64_t count() const { return count_; }
    /// `share` is from 0 to 1, as 0.99 for the 99th percentile. 0 if nothing was added.
    trace::Time quantile(double share) const;
    trace::Time max() const { return max_; }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<Axis>> bins_;  // by milliseconds
    std::uint64_t count_{};
    trace::Time min_{}, max_{};
};

}  // namespace plumkeel::trace_analysis
