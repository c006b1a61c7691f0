#include "emulator/promql/range_function.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace plumkeel::promql {
namespace {

using Kind = RangeFunction::Kind;

constexpr std::pair<std::string_view, Kind> kinds_by_name[] = {
    {"rate", Kind::rate},
    {"increase", Kind::increase},
    {"max_over_time", Kind::max_over_time},
    {"min_over_time", Kind::min_over_time},
    {"avg_over_time", Kind::avg_over_time},
    {"sum_over_time", Kind::sum_over_time},
    {"count_over_time", Kind::count_over_time},
    {"changes", Kind::changes},
};

double to_seconds(std::int64_t duration_ms) {
    return static_cast<double>(duration_ms) / 1e3;
}

// Returns the increase of a counter from its first sample to its last. A decrease from one sample to the next means
// that the counter was reset to 0.
double sampled_increase(const std::vector<Sample>& samples) {
    double increase = samples.back().value - samples.front().value;
    double previous = samples.front().value;
    for (const Sample& sample : samples) {
        if (sample.value < previous) increase += previous;
        previous = sample.value;
    }
    return increase;
}

// Extrapolates the increase of a counter to the whole range as Prometheus does, and divides it by `divisor`. If the
// distance from a range boundary to the nearest sample is below a threshold, the increase is extrapolated to the
// boundary, else by half the average sample interval. It is not extrapolated to times at which the counter would be
// negative.
std::optional<double> extrapolated_increase(const std::vector<Sample>& samples, std::int64_t range_start_ms,
                                            std::int64_t range_end_ms, double divisor) {
    constexpr double extrapolation_threshold_ratio = 1.1;  // threshold as a multiple of the average sample interval
    if (samples.size() < 2) return {};
    const Sample& first_sample = samples.front();
    const Sample& last_sample = samples.back();
    const double sampled_seconds = to_seconds(last_sample.ms - first_sample.ms);
    if (sampled_seconds <= 0) return {};
    const double increase = sampled_increase(samples);
    const double average_interval_seconds = sampled_seconds / static_cast<double>(samples.size() - 1);
    double seconds_to_start = to_seconds(first_sample.ms - range_start_ms);
    const double seconds_to_end = to_seconds(range_end_ms - last_sample.ms);
    if (increase > 0 && first_sample.value >= 0)
        seconds_to_start = std::min(seconds_to_start, sampled_seconds * (first_sample.value / increase));
    const double threshold_seconds = average_interval_seconds * extrapolation_threshold_ratio;
    double covered_seconds = sampled_seconds;
    covered_seconds += seconds_to_start < threshold_seconds ? seconds_to_start : average_interval_seconds / 2;
    covered_seconds += seconds_to_end < threshold_seconds ? seconds_to_end : average_interval_seconds / 2;
    return increase * (covered_seconds / sampled_seconds / divisor);
}

double sum_values(const std::vector<Sample>& samples) {
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

std::optional<Kind> RangeFunction::find_kind(std::string_view name) {
    const auto* const it = std::ranges::find_if(kinds_by_name, [&](const auto& entry) { return entry.first == name; });
    if (it == std::end(kinds_by_name)) return {};
    return it->second;
}

Vector RangeFunction::evaluate(const Database& database, std::int64_t time_ms) const {
    Vector result;
    for (const RangeElement& element : range_selector_->evaluate_range(database, time_ms))
        if (const std::optional<double> value = apply(element.samples, time_ms))
            result.push_back({without_metric_name(element.labels), *value});
    return result;
}

std::optional<double> RangeFunction::apply(const std::vector<Sample>& samples, std::int64_t time_ms) const {
    const auto count = static_cast<double>(samples.size());
    const std::int64_t range_start_ms = time_ms - range_selector_->range_ms();
    switch (kind_) {
        case Kind::rate:
            return extrapolated_increase(samples, range_start_ms, time_ms, to_seconds(time_ms - range_start_ms));
        case Kind::increase:
            return extrapolated_increase(samples, range_start_ms, time_ms, 1);
        case Kind::max_over_time:
            return std::ranges::max_element(samples, {}, &Sample::value)->value;
        case Kind::min_over_time:
            return std::ranges::min_element(samples, {}, &Sample::value)->value;
        case Kind::avg_over_time:
            return sum_values(samples) / count;
        case Kind::sum_over_time:
            return sum_values(samples);
        case Kind::count_over_time:
            return count;
        case Kind::changes:
            return count_changes(samples);
    }
    return {};
}

}  // namespace plumkeel::promql
