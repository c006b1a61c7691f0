/// The PromQL functions rate, increase, changes and *_over_time, which take a range vector.
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
    /// Returns nullopt if no range function has this name.
    static std::optional<Kind> find_kind(std::string_view name);

    RangeFunction(Kind kind, std::unique_ptr<VectorSelector> range_selector)
        : kind_(kind), range_selector_(std::move(range_selector)) {}
    Vector evaluate(const Database& database, std::int64_t time_ms) const override;

private:
    std::optional<double> apply(const std::vector<Sample>& samples, std::int64_t time_ms) const;

    const Kind kind_;
    const std::unique_ptr<VectorSelector> range_selector_;
};

}  // namespace plumkeel::promql
