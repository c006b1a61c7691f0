/// The binary operators of PromQL: arithmetic, comparison and set operators.
#pragma once

#include <optional>
#include <string_view>
#include <utility>

#include "emulator/promql/expression.hpp"
#include "emulator/promql/label_selection.hpp"

namespace plumkeel::promql {

enum class BinaryOperator {
    logical_or,
    logical_and,
    logical_unless,
    greater,
    less,
    greater_or_equal,
    less_or_equal,
    equal,
    not_equal,
    add,
    subtract,
    multiply,
    divide
};

/// Returns nullopt if the text is not a binary operator.
std::optional<BinaryOperator> find_operator(std::string_view text);
std::string_view to_string(BinaryOperator op);
/// Returns the precedence, at least 1; an operator with a higher precedence is applied first. All operators are
/// left-associative.
int precedence(BinaryOperator op);

class BinaryOperation : public Expression {
public:
    BinaryOperation(BinaryOperator op, ExpressionPtr left, ExpressionPtr right, LabelSelection matching_labels)
        : operator_(op),
          left_(std::move(left)),
          right_(std::move(right)),
          matching_labels_(std::move(matching_labels)) {}
    Vector evaluate(const Database& database, std::int64_t time_ms) const override;
    bool is_scalar() const override { return left_->is_scalar() && right_->is_scalar(); }

private:
    Vector evaluate_set_operator(Vector left, Vector right) const;
    Vector evaluate_union(Vector left, Vector right) const;
    double evaluate_scalars(double left, double right) const;
    Vector evaluate_with_scalar(Vector vector, double scalar) const;
    Vector evaluate_vectors(Vector left, const Vector& right) const;

    const BinaryOperator operator_;
    const ExpressionPtr left_, right_;
    const LabelSelection matching_labels_;
};

}  // namespace plumkeel::promql
