#include "emulator/promql/range_function.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace plumkeel::promql {
namespace {

using Kind = RangeFunction::Kind;

constexpr std::pair<std::string_view, Kind> names[] = {
    {"rate", Kind::rate},
    {"increase", Kind::increase},
    {"max_over_time", Kind::max_over_time},
    {"min_over_time", Kind::min_over_time},
    {"avg_over_time", Kind::avg_over_time},
    {"sum_over_time", Kind::sum_over_time},
    {"count_over_time", Kind::count_over_time},
    {"changes", Kind::changes},
};

double to_seconds(std::int64_t ms) {
    return static_cast<double>(ms) / 1e3;
}

// Of a counter, over the time between its samples; a value below the one before means that the counter was reset.
double sampled_increase(const std::vector<Sample>& samples) {
    double increase = samples.back().value - samples.front().value;
    double previous = samples.front().value;
    for (const Sample& sample : samples) {
        if (sample.value < previous) increase += previous;
        previous = sample.value;
    }
    return increase;
}

// By the rule that Prometheus documents: the increase is extrapolated to the ends of the range where samples come near
// them, else by half the distance between samples, and never to before the counter would have been zero. The result is
// divided by `divisor`.
std::optional<double> extrapolated_increase(const std::vector<Sample>& samples, std::int64_t from_ms,
                                            std::int64_t to_ms, double divisor) {
    constexpr double near_end_ratio = 1.1;  // of the distance between samples
    if (samples.size() < 2) return {};
    const Sample& first = samples.front();
    const Sample& last = samples.back();
    const double sampled_seconds = to_seconds(last.ms - first.ms);
    if (sampled_seconds <= 0) return {};
    const double increase = sampled_increase(samples);
    const double interval = sampled_seconds / static_cast<double>(samples.size() - 1);
    double to_start = to_seconds(first.ms - from_ms);
    const double to_end = to_seconds(to_ms - last.ms);
    if (increase > 0 && first.value >= 0) to_start = std::min(to_start, sampled_seconds * (first.value / increase));
    const double threshold = interval * near_end_ratio;
    double covered_seconds = sampled_seconds;
    covered_seconds += to_start < threshold ? to_start : interval / 2;
    covered_seconds += to_end < threshold ? to_end : interval / 2;
    return increase * (covered_seconds / sampled_seconds / divisor);
}

double sum(const std::vector<Sample>& samples) {
    double total = 0;
    for (const Sample& sample : samples) total += sample.value;
    return total;
}

double count_changes(const std::vector<Sample>& samples) {
    std::size_t changes = 0;
    for (std::size_t i = 1; i < samples.size(); ++i) changes += samples[i].value != samples[i - 1].value;
    return static_cast<double>(changes);
}

}  // namespace

std::optional<Kind> RangeFunction::find(std::string_view name) {
    const auto* const it = std::ranges::find_if(names, [&](const auto& each) { return each.first == name; });
    if (it == std::end(names)) return {};
    return it->second;
}

Vector RangeFunction::evaluate(const Database& data, std::int64_t ms) const {
    Vector result;
    for (const RangeElement& element : range_->evaluate_range(data, ms))
        if (const std::optional<double> value = apply(element.samples, ms))
            result.push_back({without_metric_name(element.labels), *value});
    return result;
}

std::optional<double> RangeFunction::apply(const std::vector<Sample>& samples, std::int64_t ms) const {
    const auto count = static_cast<double>(samples.size());
    const std::int64_t from_ms = ms - range_->range_ms();
    switch (kind_) {
        case Kind::rate:
            return extrapolated_increase(samples, from_ms, ms, to_seconds(ms - from_ms));
        case Kind::increase:
            return extrapolated_increase(samples, from_ms, ms, 1);
        case Kind::max_over_time:
            return std::ranges::max_element(samples, {}, &Sample::value)->value;
        case Kind::min_over_time:
            return std::ranges::min_element(samples, {}, &Sample::value)->value;
        case Kind::avg_over_time:
            return sum(samples) / count;
        case Kind::sum_over_time:
            return sum(samples);
        case Kind::count_over_time:
            return count;
        case Kind::changes:
            return count_changes(samples);
    }
    return {};
}

}  // namespace plumkeel::promql
