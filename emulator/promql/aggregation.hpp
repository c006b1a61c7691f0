/// Aggregation over the elements of an instant vector: sum, max, min, avg, count.
#pragma once

#include <optional>
#include <string_view>
#include <utility>

#include "emulator/promql/expression.hpp"
#include "emulator/promql/label_selection.hpp"

namespace plumkeel::promql {

class Aggregation : public Expression {
public:
    enum class Kind { sum, max, min, avg, count };
    /// Empty where no aggregation has the name.
    static std::optional<Kind> find(std::string_view name);

    Aggregation(Kind kind, LabelSelection grouping, ExpressionPtr operand)
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
    const LabelSelection grouping_;
    const ExpressionPtr operand_;
};

}  // namespace plumkeel::promql
