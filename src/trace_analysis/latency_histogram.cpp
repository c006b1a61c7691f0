#include "trace_analysis/latency_histogram.hpp"

#include <algorithm>

namespace plumkeel::trace_analysis {
namespace {

using trace::Time;

constexpr double min_ms = 0.1, max_ms = 1'000'000;
constexpr unsigned bin_count = 814;  // bin widths grow by 2% from bin to bin

}  // namespace

LatencyHistogram::LatencyHistogram() : bins_(boost::histogram::make_histogram(Axis(bin_count, min_ms, max_ms))) {}

void LatencyHistogram::add(Time value) {
    bins_(static_cast<double>(value.count()) / 1e3);
    min_ = count_ ? std::min(min_, value) : value;
    max_ = std::max(max_, value);
    ++count_;
}

Time LatencyHistogram::quantile(double fraction) const {
    if (!count_) return {};
    const double target_count = fraction * static_cast<double>(count_);
    double cumulative_count = 0;
    // Bin -1 counts values below min_ms, and bin `bin_count` counts values above max_ms.
    for (int i = -1; i <= static_cast<int>(bin_count); ++i) {
        cumulative_count += bins_.at(i);
        if (cumulative_count < target_count || cumulative_count == 0) continue;
        if (i < 0) return min_;
        if (i == static_cast<int>(bin_count)) return max_;
        return std::clamp(Time(static_cast<Time::rep>(bins_.axis().bin(i).upper() * 1e3)), min_, max_);
    }
    return max_;
}

}  // namespace plumkeel::trace_analysis
