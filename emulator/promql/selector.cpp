#include "emulator/promql/selector.hpp"

#include <algorithm>
#include <utility>

#include "emulator/promql/error.hpp"

namespace plumkeel::promql {
namespace {

// Samples of this age or older are left out of an instant vector. The value is the default of Prometheus.
constexpr std::int64_t lookback_ms = std::int64_t{5} * 60 * 1000;

}  // namespace

LabelMatcher::LabelMatcher(std::string label, Type type, std::string value)
    : label_(std::move(label)), type_(type), value_(std::move(value)) {
    if (type_ != Type::regex_match && type_ != Type::regex_no_match) return;
    try {
        pattern_ = std::regex(value_);
    } catch (const std::regex_error&) {
        throw Error("label matcher: '" + value_ + "' is not a valid regular expression");
    }
}

bool LabelMatcher::matches(const Labels& labels) const {
    static const std::string empty_value;  // PromQL treats a missing label as an empty one
    const auto it = labels.find(label_);
    const std::string& actual_value = it == labels.end() ? empty_value : it->second;
    switch (type_) {
        case Type::equal:
            return actual_value == value_;
        case Type::not_equal:
            return actual_value != value_;
        case Type::regex_match:
            return std::regex_match(actual_value, pattern_);
        case Type::regex_no_match:
            break;
    }
    return !std::regex_match(actual_value, pattern_);
}

VectorSelector::VectorSelector(std::string metric_name, std::vector<LabelMatcher> matchers, std::int64_t range_ms)
    : metric_name_(std::move(metric_name)), matchers_(std::move(matchers)), range_ms_(range_ms) {}

bool VectorSelector::matches(const Series& series) const {
    return std::ranges::all_of(matchers_, [&](const LabelMatcher& matcher) { return matcher.matches(series.labels); });
}

Vector VectorSelector::evaluate(const Database& database, std::int64_t time_ms) const {
    if (range_ms_) throw Error(metric_name_ + ": expected an instant vector, found a range vector");
    Vector result;
    for (const Series& series : database.find_series(metric_name_)) {
        if (!matches(series)) continue;
        const auto end = std::ranges::upper_bound(series.samples, time_ms, {}, &Sample::ms);
        if (end == series.samples.begin()) continue;
        const Sample& newest_sample = *(end - 1);
        if (newest_sample.ms > time_ms - lookback_ms && !is_stale_marker(newest_sample.value))
            result.push_back({series.labels, newest_sample.value});
    }
    return result;
}

std::vector<RangeElement> VectorSelector::evaluate_range(const Database& database, std::int64_t time_ms) const {
    std::vector<RangeElement> result;
    for (const Series& series : database.find_series(metric_name_)) {
        if (!matches(series)) continue;
        std::vector<Sample> samples;
        auto it = std::ranges::lower_bound(series.samples, time_ms - range_ms_, {}, &Sample::ms);
        for (; it != series.samples.end() && it->ms <= time_ms; ++it)
            if (!is_stale_marker(it->value)) samples.push_back(*it);
        if (!samples.empty()) result.push_back({series.labels, std::move(samples)});
    }
    return result;
}

}  // namespace plumkeel::promql
