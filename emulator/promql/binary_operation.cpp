#include "emulator/promql/binary_operation.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <string>

#include "emulator/promql/error.hpp"

namespace plumkeel::promql {
namespace {

struct OperatorInfo {
    BinaryOperator op;
    std::string_view text;
    int precedence;
};

// Indexed by BinaryOperator, so the order is that of its enumerators.
constexpr OperatorInfo operator_table[] = {
    {BinaryOperator::logical_or, "or", 1},
    {BinaryOperator::logical_and, "and", 2},
    {BinaryOperator::logical_unless, "unless", 2},
    {BinaryOperator::greater, ">", 3},
    {BinaryOperator::less, "<", 3},
    {BinaryOperator::greater_or_equal, ">=", 3},
    {BinaryOperator::less_or_equal, "<=", 3},
    {BinaryOperator::equal, "==", 3},
    {BinaryOperator::not_equal, "!=", 3},
    {BinaryOperator::add, "+", 4},
    {BinaryOperator::subtract, "-", 4},
    {BinaryOperator::multiply, "*", 5},
    {BinaryOperator::divide, "/", 5},
};

const OperatorInfo& operator_info(BinaryOperator op) {
    return operator_table[static_cast<std::size_t>(op)];
}

bool is_set_operator(BinaryOperator op) {
    return op <= BinaryOperator::logical_unless;
}

bool is_comparison(BinaryOperator op) {
    return op >= BinaryOperator::greater && op <= BinaryOperator::not_equal;
}

bool compare(BinaryOperator op, double left, double right) {
    switch (op) {
        case BinaryOperator::greater:
            return left > right;
        case BinaryOperator::less:
            return left < right;
        case BinaryOperator::greater_or_equal:
            return left >= right;
        case BinaryOperator::less_or_equal:
            return left <= right;
        case BinaryOperator::equal:
            return left == right;
        default:
            return left != right;
    }
}

double apply_arithmetic(BinaryOperator op, double left, double right) {
    switch (op) {
        case BinaryOperator::add:
            return left + right;
        case BinaryOperator::subtract:
            return left - right;
        case BinaryOperator::multiply:
            return left * right;
        default:
            return left / right;
    }
}

}  // namespace

std::optional<BinaryOperator> find_operator(std::string_view text) {
    const auto* const it = std::ranges::find(operator_table, text, &OperatorInfo::text);
    if (it == std::end(operator_table)) return {};
    return it->op;
}

std::string_view to_string(BinaryOperator op) {
    return operator_info(op).text;
}

int precedence(BinaryOperator op) {
    return operator_info(op).precedence;
}

Vector BinaryOperation::evaluate(const Database& database, std::int64_t time_ms) const {
    Vector left = left_->evaluate(database, time_ms);
    Vector right = right_->evaluate(database, time_ms);
    if (is_set_operator(operator_)) return evaluate_set_operator(std::move(left), std::move(right));
    if (is_scalar()) return {{{}, evaluate_scalars(left[0].value, right[0].value)}};
    if (left_->is_scalar()) return evaluate_with_scalar(std::move(right), left[0].value);
    if (right_->is_scalar()) return evaluate_with_scalar(std::move(left), right[0].value);
    return evaluate_vectors(std::move(left), right);
}

Vector BinaryOperation::evaluate_set_operator(Vector left, Vector right) const {
    if (operator_ == BinaryOperator::logical_or) return evaluate_union(std::move(left), std::move(right));
    std::set<Labels> right_keys;
    for (const VectorElement& element : right) right_keys.insert(matching_labels_.select(element.labels));
    const bool keep_matches = operator_ == BinaryOperator::logical_and;
    Vector result;
    for (VectorElement& element : left)
        if (right_keys.contains(matching_labels_.select(element.labels)) == keep_matches)
            result.push_back(std::move(element));
    return result;
}

Vector BinaryOperation::evaluate_union(Vector left, Vector right) const {
    std::set<Labels> left_keys;
    for (const VectorElement& element : left) left_keys.insert(matching_labels_.select(element.labels));
    Vector result = std::move(left);
    for (VectorElement& element : right)
        if (!left_keys.contains(matching_labels_.select(element.labels))) result.push_back(std::move(element));
    return result;
}

double BinaryOperation::evaluate_scalars(double left, double right) const {
    if (is_comparison(operator_)) return compare(operator_, left, right) ? 1 : 0;
    return apply_arithmetic(operator_, left, right);
}

// Arithmetic changes the value of every element. A comparison removes the elements for which it is false.
Vector BinaryOperation::evaluate_with_scalar(Vector vector, double scalar) const {
    const bool scalar_is_left = left_->is_scalar();
    Vector result;
    for (VectorElement& element : vector) {
        const double left = scalar_is_left ? scalar : element.value;
        const double right = scalar_is_left ? element.value : scalar;
        if (!is_comparison(operator_))
            result.push_back(
                {without_metric_name(std::move(element.labels)), apply_arithmetic(operator_, left, right)});
        else if (compare(operator_, left, right))
            result.push_back(std::move(element));
    }
    return result;
}

// One-to-one vector matching: at most one element on each side may have the same matching labels.
Vector BinaryOperation::evaluate_vectors(Vector left, const Vector& right) const {
    const std::string text(to_string(operator_));
    std::map<Labels, double> right_values;
    for (const VectorElement& element : right)
        if (!right_values.emplace(matching_labels_.select(element.labels), element.value).second)
            throw Error("several series on the right of " + text +
                        " have the same matching labels; at most one is allowed");
    std::set<Labels> matched_keys;
    Vector result;
    for (VectorElement& element : left) {
        const Labels key = matching_labels_.select(element.labels);
        const auto it = right_values.find(key);
        if (it == right_values.end()) continue;
        if (!matched_keys.insert(key).second)
            throw Error("several series on the left of " + text +
                        " have the same matching labels; at most one is allowed");
        if (!is_comparison(operator_))
            result.push_back({key, apply_arithmetic(operator_, element.value, it->second)});
        else if (compare(operator_, element.value, it->second))
            result.push_back(std::move(element));
    }
    return result;
}

}  // namespace plumkeel::promql
