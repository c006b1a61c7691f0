/// Functions of a range vector: rate, increase, changes and *_over_time.
#pragma once

#include <memory>
#include <optional>
#include <string_view>

#include "emulator/promql/selector.hpp"

namespace plumkeel::promql {

class RangeFunction : public Expression {
public:
    enum class Kind {
        rate,
        increase,
        max_over_time,
        min_over_time,
        avg_over_time,
        sum_over_time,
        count_over_time,
        changes
    };
    /// Empty where no function has the name.
    static std::optional<Kind> find(std::string_view name);

    RangeFunction(Kind kind, std::unique_ptr<VectorSelector> range) : kind_(kind), range_(std::move(range)) {}
    Vector evaluate(const Database& data, std::int64_t ms) const override;

private:
    std::optional<double> apply(const std::vector<Sample>& samples, std::int64_t ms) const;

    const Kind kind_;
    const std::unique_ptr<VectorSelector> range_;
};

}  // namespace plumkeel::promql
