/// The PromQL functions histogram_quantile and absent, which take an instant vector.
#pragma once

#include <utility>

#include "emulator/promql/expression.hpp"

namespace plumkeel::promql {

/// Estimates a quantile of each histogram by linear interpolation within the bucket that contains it.
class HistogramQuantile : public Expression {
public:
    HistogramQuantile(double quantile, ExpressionPtr buckets) : quantile_(quantile), buckets_(std::move(buckets)) {}
    Vector evaluate(const Database& database, std::int64_t time_ms) const override;

private:
    const double quantile_;
    const ExpressionPtr buckets_;
};

/// Returns one element with the value 1 if the operand is empty, else an empty vector. If the operand is a selector,
/// the element has the labels of its equality matchers.
class Absent : public Expression {
public:
    explicit Absent(ExpressionPtr operand) : operand_(std::move(operand)) {}
    Vector evaluate(const Database& database, std::int64_t time_ms) const override;

private:
    const ExpressionPtr operand_;
};

}  // namespace plumkeel::promql
