/// Conversion to seconds and bucket bounds for histograms of durations.
#pragma once

#include <prometheus/histogram.h>

#include "scheduler/types.hpp"

namespace plumkeel::metrics {

inline double to_seconds(Time duration) {
    return static_cast<double>(duration.count()) / 1e6;
}

/// Upper bounds of the buckets, in seconds.
inline const prometheus::Histogram::BucketBoundaries& duration_buckets() {
    static const prometheus::Histogram::BucketBoundaries bounds = {0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75,
                                                                   1,    1.5,   2,    3,   5,   8,    15,  30};
    return bounds;
}

}  // namespace plumkeel::metrics
