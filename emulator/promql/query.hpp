/// The subset of PromQL that the shipped alert rules use, by its documented semantics: selectors, ranges, rate and
/// increase with counter resets and extrapolation, *_over_time, histogram_quantile, aggregation, arithmetic, comparison
/// and set operators, staleness. Pure; it evaluates samples in memory.
#pragma once

#include <cstdint>
#include <string_view>

#include "emulator/promql/database.hpp"
#include "emulator/promql/error.hpp"
#include "emulator/promql/expression.hpp"

namespace plumkeel::promql {

class Query {
public:
    /// Throws Error with the position in the text.
    explicit Query(std::string_view text);

    /// The instant vector at one moment; a scalar is one element without labels. Throws Error.
    Vector at(const Database& data, std::int64_t ms) const { return expression_->evaluate(data, ms); }

private:
    ExpressionPtr expression_;
};

}  // namespace plumkeel::promql
