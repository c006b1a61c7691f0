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

// In the order of the enumerators.
constexpr OperatorInfo operators[] = {
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

const OperatorInfo& info(BinaryOperator op) {
    return operators[static_cast<std::size_t>(op)];
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

double calculate(BinaryOperator op, double left, double right) {
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
    const auto* const it = std::ranges::find(operators, text, &OperatorInfo::text);
    if (it == std::end(operators)) return {};
    return it->op;
}

std::string_view to_string(BinaryOperator op) {
    return info(op).text;
}

int precedence(BinaryOperator op) {
    return info(op).precedence;
}

Vector BinaryOperation::evaluate(const Database& data, std::int64_t ms) const {
    Vector left = left_->evaluate(data, ms);
    Vector right = right_->evaluate(data, ms);
    if (is_set_operator(operator_)) return evaluate_set(std::move(left), std::move(right));
    if (is_scalar()) return {{{}, evaluate_scalars(left[0].value, right[0].value)}};
    if (left_->is_scalar()) return evaluate_with_scalar(std::move(right), left[0].value);
    if (right_->is_scalar()) return evaluate_with_scalar(std::move(left), right[0].value);
    return evaluate_vectors(std::move(left), right);
}

Vector BinaryOperation::evaluate_set(Vector left, Vector right) const {
    if (operator_ == BinaryOperator::logical_or) return evaluate_union(std::move(left), std::move(right));
    std::set<Labels> right_keys;
    for (const VectorElement& element : right) right_keys.insert(matching_.select(element.labels));
    const bool keep_matches = operator_ == BinaryOperator::logical_and;
    Vector result;
    for (VectorElement& element : left)
        if (right_keys.contains(matching_.select(element.labels)) == keep_matches) result.push_back(std::move(element));
    return result;
}

Vector BinaryOperation::evaluate_union(Vector left, Vector right) const {
    std::set<Labels> left_keys;
    for (const VectorElement& element : left) left_keys.insert(matching_.select(element.labels));
    Vector result = std::move(left);
    for (VectorElement& element : right)
        if (!left_keys.contains(matching_.select(element.labels))) result.push_back(std::move(element));
    return result;
}

double BinaryOperation::evaluate_scalars(double left, double right) const {
    if (is_comparison(operator_)) return compare(operator_, left, right) ? 1 : 0;
    return calculate(operator_, left, right);
}

// A comparison keeps the elements for which it holds, with their values.
Vector BinaryOperation::evaluate_with_scalar(Vector vector, double scalar) const {
    const bool scalar_is_left = left_->is_scalar();
    Vector result;
    for (VectorElement& element : vector) {
        const double left = scalar_is_left ? scalar : element.value;
        const double right = scalar_is_left ? element.value : scalar;
        if (!is_comparison(operator_))
            result.push_back({without_metric_name(std::move(element.labels)), calculate(operator_, left, right)});
        else if (compare(operator_, left, right))
            result.push_back(std::move(element));
    }
    return result;
}

// One to one: an element matches at most one of the other side.
Vector BinaryOperation::evaluate_vectors(Vector left, const Vector& right) const {
    const std::string text(to_string(operator_));
    std::map<Labels, double> right_values;
    for (const VectorElement& element : right)
        if (!right_values.emplace(matching_.select(element.labels), element.value).second)
            throw Error("several series on the right of " + text + " match one on its left");
    std::set<Labels> matched;
    Vector result;
    for (VectorElement& element : left) {
        const Labels key = matching_.select(element.labels);
        const auto it = right_values.find(key);
        if (it == right_values.end()) continue;
        if (!matched.insert(key).second)
            throw Error("several series on the left of " + text + " match one on its right");
        if (!is_comparison(operator_))
            result.push_back({key, calculate(operator_, element.value, it->second)});
        else if (compare(operator_, element.value, it->second))
            result.push_back(std::move(element));
    }
    return result;
}

}  // namespace plumkeel::promql
