/// Selectors of series: label matchers, instant vectors and ranges.
#pragma once

#include <regex>
#include <string>
#include <vector>

#include "emulator/promql/expression.hpp"

namespace plumkeel::promql {

class LabelMatcher {
public:
    enum class Type { equal, not_equal, regex_match, regex_no_match };

    /// Throws Error where the value is not a regular expression but should be.
    LabelMatcher(std::string label, Type type, std::string value);
    bool matches(const Labels& labels) const;
    Type type() const { return type_; }
    const std::string& label() const { return label_; }
    const std::string& value() const { return value_; }

private:
    std::string label_;
    Type type_;
    std::string value_;
    std::regex pattern_;
};

/// One series of a range vector.
struct RangeElement {
    const Labels& labels;
    std::vector<Sample> samples;  ///< without staleness markers; at least one
};

class VectorSelector : public Expression {
public:
    /// `range_ms` is 0 for an instant vector.
    VectorSelector(std::string metric_name, std::vector<LabelMatcher> matchers, std::int64_t range_ms);

    Vector evaluate(const Database& data, std::int64_t ms) const override;
    /// The samples from `ms - range_ms()` to `ms`, both included; refers to the labels in `data`.
    std::vector<RangeElement> evaluate_range(const Database& data, std::int64_t ms) const;
    std::int64_t range_ms() const { return range_ms_; }
    const std::vector<LabelMatcher>& matchers() const { return matchers_; }

private:
    bool matches(const Series& series) const;

    const std::string metric_name_;
    const std::vector<LabelMatcher> matchers_;
    const std::int64_t range_ms_;
};

}  // namespace plumkeel::promql
