/// Test helpers for the PromQL evaluator.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "emulator/promql/database.hpp"

namespace plumkeel::promql {

/// Returns a series with one sample for each value, every `interval_s` seconds from `first_sample_s`.
inline Series make_series(Labels labels, std::vector<double> values, std::int64_t interval_s = 10,
                          std::int64_t first_sample_s = 0) {
    Series result{std::move(labels), {}};
    for (std::size_t i = 0; i < values.size(); ++i)
        result.samples.push_back({(first_sample_s + static_cast<std::int64_t>(i) * interval_s) * 1000, values[i]});
    return result;
}

}  // namespace plumkeel::promql
