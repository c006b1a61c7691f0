/// \file
/// Histogram for quantiles of latencies, in bounded memory.
#pragma once

#include <boost/histogram.hpp>
#include <tuple>

#include "trace/format.hpp"

namespace plumkeel::trace_analysis {

/// Bins are 2% wide, so the relative error of quantiles from 0.1 ms to 1,000 s is at most 2%.
class LatencyHistogram {
public:
    LatencyHistogram();
    void add(trace::Time value);
    std::uint64_t count() const { return count_; }
    /// Returns the quantile for `fraction`, which is 0.99 for the 99th percentile; 0 if the histogram is empty.
    trace::Time quantile(double fraction) const;
    trace::Time max() const { return max_; }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<Axis>> bins_;  // the axis is in milliseconds
    std::uint64_t count_{};
    trace::Time min_{}, max_{};
};

}  // namespace plumkeel::trace_analysis
