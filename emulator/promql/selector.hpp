/// PromQL selectors, which select series by metric name and label matchers.
#pragma once

#include <regex>
#include <string>
#include <vector>

#include "emulator/promql/expression.hpp"

namespace plumkeel::promql {

class LabelMatcher {
public:
    enum class Type { equal, not_equal, regex_match, regex_no_match };

    /// Throws Error if `type` is a regex type and `value` is not a valid regular expression.
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

/// One series of a range vector, with a reference to its labels in the database.
struct RangeElement {
    const Labels& labels;
    std::vector<Sample> samples;  ///< at least one sample; contains no staleness markers
};

class VectorSelector : public Expression {
public:
    /// If `range_ms` is 0, the selector selects an instant vector, else a range vector.
    VectorSelector(std::string metric_name, std::vector<LabelMatcher> matchers, std::int64_t range_ms);

    Vector evaluate(const Database& database, std::int64_t time_ms) const override;
    /// Returns the samples from `time_ms - range_ms()` to `time_ms`, both inclusive. The result must not outlive
    /// `database`.
    std::vector<RangeElement> evaluate_range(const Database& database, std::int64_t time_ms) const;
    std::int64_t range_ms() const { return range_ms_; }
    const std::vector<LabelMatcher>& matchers() const { return matchers_; }

private:
    bool matches(const Series& series) const;

    const std::string metric_name_;
    const std::vector<LabelMatcher> matchers_;
    const std::int64_t range_ms_;
};

}  // namespace plumkeel::promql
