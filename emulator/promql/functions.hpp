/// Functions of an instant vector: histogram_quantile and absent.
#pragma once

#include <utility>

#include "emulator/promql/expression.hpp"

namespace plumkeel::promql {

/// The quantile of each histogram, interpolated within its bucket.
class HistogramQuantile : public Expression {
public:
    HistogramQuantile(double quantile, ExpressionPtr buckets) : quantile_(quantile), buckets_(std::move(buckets)) {}
    Vector evaluate(const Database& data, std::int64_t ms) const override;

private:
    const double quantile_;
    const ExpressionPtr buckets_;
};

/// One element where the operand has none, with the labels that its selector requires.
class Absent : public Expression {
public:
    explicit Absent(ExpressionPtr operand) : operand_(std::move(operand)) {}
    Vector evaluate(const Database& data, std::int64_t ms) const override;

private:
    const ExpressionPtr operand_;
};

}  // namespace plumkeel::promql
