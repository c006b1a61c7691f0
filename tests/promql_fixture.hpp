/// Shared by the tests of the PromQL evaluator.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "emulator/promql/database.hpp"

namespace plumkeel::promql {

/// A sample every `step_s` seconds, the first at `from_s`.
inline Series series(Labels labels, std::vector<double> values, std::int64_t step_s = 10, std::int64_t from_s = 0) {
    Series result{std::move(labels), {}};
    for (std::size_t i = 0; i < values.size(); ++i)
        result.samples.push_back({(from_s + static_cast<std::int64_t>(i) * step_s) * 1000, values[i]});
    return result;
}

}  // namespace plumkeel::promql
