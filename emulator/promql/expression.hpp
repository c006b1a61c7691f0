/// The syntax tree of a PromQL expression.
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

    /// The value at one moment. A scalar is one element without labels. Throws Error.
    virtual Vector evaluate(const Database& data, std::int64_t ms) const = 0;
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
