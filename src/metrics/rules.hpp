// Bounds of what a controller measures of itself.
#pragma once

#include <chrono>
#include <cstddef>

namespace plumkeel::metrics {

struct MeterRules {
    std::size_t tenants = 20, functions = 50;            // told by themselves; the others count as "(others)"
    std::chrono::microseconds every = std::chrono::seconds(1);  // between two looks at all levels
};

}  // namespace plumkeel::metrics
