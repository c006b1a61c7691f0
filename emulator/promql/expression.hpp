/// Base class of the nodes of a PromQL syntax tree.
#pragma once

#include <cstdint>
#include <memory>

#include "emulator/promql/database.hpp"

namespace plumkeel::promql {

class Expression {
public:
    Expression() = default;
    Expression(const Expression&) = delete;
    virtual ~Expression() = default;

    /// Returns the value at `time_ms` milliseconds since the Unix epoch; a scalar is one element without labels. Throws
    /// Error if the expression can't be evaluated.
    virtual Vector evaluate(const Database& database, std::int64_t time_ms) const = 0;
    virtual bool is_scalar() const { return false; }
};
using ExpressionPtr = std::unique_ptr<Expression>;

class NumberLiteral : public Expression {
public:
    explicit NumberLiteral(double value) : value_(value) {}
    Vector evaluate(const Database&, std::int64_t) const override { return {{{}, value_}}; }
    bool is_scalar() const override { return true; }

private:
    const double value_;
};

}  // namespace plumkeel::promql
