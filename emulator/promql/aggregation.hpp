/// Aggregation over the elements of an instant vector: sum, max, min, avg, count.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "emulator/promql/expression.hpp"

namespace plumkeel::promql {

/// Which labels the groups of an aggregation keep.
struct Grouping {
    enum class Type { by, without };
    Type type = Type::by;
    std::vector<std::string> labels;

    Labels key(const Labels& labels_of_element) const;
};

class Aggregation : public Expression {
public:
    enum class Kind { sum, max, min, avg, count };
    /// Empty where no aggregation has the name.
    static std::optional<Kind> find(std::string_view name);

    Aggregation(Kind kind, Grouping grouping, ExpressionPtr operand)
        : kind_(kind), grouping_(std::move(grouping)), operand_(std::move(operand)) {}
    Vector evaluate(const Database& data, std::int64_t ms) const override;

private:
    struct Group {
        double sum{}, max{}, min{};
        std::size_t count{};
        void add(double value);
    };
    double result(const Group& group) const;

    const Kind kind_;
    const Grouping grouping_;
    const ExpressionPtr operand_;
};

}  // namespace plumkeel::promql
