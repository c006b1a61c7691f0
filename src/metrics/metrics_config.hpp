/// Settings of the gateway's metrics.
#pragma once

#include <chrono>
#include <cstddef>

namespace plumkeel::metrics {

struct MetricsConfig {
    /// Limits of the numbers of tenants and functions with separate series; all others share the label value
    /// HeavyHitters::others.
    std::size_t max_tenants = 20, max_functions = 50;
    std::chrono::microseconds interval = std::chrono::seconds(1);  ///< time between two updates of the gauges
};

}  // namespace plumkeel::metrics
