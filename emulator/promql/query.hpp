/// Evaluates a subset of PromQL over samples in memory: selectors, rate, increase, changes, *_over_time,
/// histogram_quantile, absent, aggregations and binary operators.
#pragma once

#include <cstdint>
#include <string_view>

#include "emulator/promql/database.hpp"
#include "emulator/promql/error.hpp"
#include "emulator/promql/expression.hpp"

namespace plumkeel::promql {

class Query {
public:
    /// Throws Error if the text is not a valid PromQL expression.
    explicit Query(std::string_view text);

    /// Returns the instant vector at `time_ms` milliseconds since the Unix epoch; a scalar is one element without
    /// labels. Throws Error if the expression can't be evaluated.
    Vector evaluate(const Database& database, std::int64_t time_ms) const {
        return expression_->evaluate(database, time_ms);
    }

private:
    ExpressionPtr expression_;
};

}  // namespace plumkeel::promql
