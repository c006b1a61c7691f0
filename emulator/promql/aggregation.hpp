/// The PromQL aggregation operators sum, max, min, avg and count.
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
    /// Returns nullopt if no aggregation operator has this name.
    static std::optional<Kind> find_kind(std::string_view name);

    Aggregation(Kind kind, LabelSelection grouping_labels, ExpressionPtr operand)
        : kind_(kind), grouping_labels_(std::move(grouping_labels)), operand_(std::move(operand)) {}
    Vector evaluate(const Database& database, std::int64_t time_ms) const override;

private:
    struct Group {
        double sum{}, max{}, min{};
        std::size_t count{};
        void add(double value);
    };
    double group_value(const Group& group) const;

    const Kind kind_;
    const LabelSelection grouping_labels_;
    const ExpressionPtr operand_;
};

}  // namespace plumkeel::promql
