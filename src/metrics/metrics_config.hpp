// Bounds of what a controller measures of itself.
#pragma once

#include <chrono>
#include <cstddef>

namespace plumkeel::metrics {

struct MetricsConfig {
    std::size_t max_tenants = 20, max_functions = 50;              // told by themselves; the others count as "(others)"
    std::chrono::microseconds interval = std::chrono::seconds(1);  // between two looks at all levels
};

}  // namespace plumkeel::metrics
