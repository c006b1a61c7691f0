/// Settings of the gateway's metrics.
#pragma once

#include <chrono>
#include <cstddef>

namespace plumkeel::metrics {

struct MetricsConfig {
    /// Tenants and functions with series of their own; all others count under HeavyHitters::others.
    std::size_t max_tenants = 20, max_functions = 50;
    std::chrono::microseconds interval = std::chrono::seconds(1);  ///< between two updates of the gauges
};

}  // namespace plumkeel::metrics
