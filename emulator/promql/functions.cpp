#include "emulator/promql/functions.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "emulator/promql/selector.hpp"

namespace plumkeel::promql {
namespace {

constexpr double not_a_number = std::numeric_limits<double>::quiet_NaN();
constexpr double infinity = std::numeric_limits<double>::infinity();
constexpr const char* bucket_upper_bound_label = "le";

struct Bucket {
    double upper_bound{};
    double cumulative_count{};  // observations less than or equal to upper_bound
    auto operator<=>(const Bucket&) const = default;
};

double parse_upper_bound(const std::string& text) {
    return text == "+Inf" ? infinity : std::atof(text.c_str());
}

// Raises each count to at least that of the bucket below it. Cumulative counts can decrease if buckets were updated
// while they were scraped.
void make_monotonic(std::vector<Bucket>& buckets) {
    for (std::size_t i = 1; i < buckets.size(); ++i)
        buckets[i].cumulative_count = std::max(buckets[i].cumulative_count, buckets[i - 1].cumulative_count);
}

// Estimates the value of the observation at `rank`, counted from the smallest observation. Requires at least two
// buckets, sorted by upper bound, whose counts don't decrease.
double interpolate_quantile(const std::vector<Bucket>& buckets, double rank) {
    const std::size_t last_index = buckets.size() - 1;
    std::size_t index = 0;
    while (index < last_index && buckets[index].cumulative_count < rank) ++index;
    if (index == last_index) return buckets[last_index - 1].upper_bound;
    const Bucket& bucket = buckets[index];
    if (index == 0) {
        if (bucket.upper_bound <= 0) return bucket.upper_bound;
        return bucket.upper_bound * (rank / bucket.cumulative_count);
    }
    const Bucket& previous_bucket = buckets[index - 1];
    const double bucket_width = bucket.upper_bound - previous_bucket.upper_bound;
    return previous_bucket.upper_bound + bucket_width * ((rank - previous_bucket.cumulative_count) /
                                                         (bucket.cumulative_count - previous_bucket.cumulative_count));
}

double histogram_quantile(double quantile, std::vector<Bucket> buckets) {
    std::ranges::sort(buckets);
    if (buckets.size() < 2 || !std::isinf(buckets.back().upper_bound)) return not_a_number;
    make_monotonic(buckets);
    const double observation_count = buckets.back().cumulative_count;
    if (observation_count == 0 || std::isnan(quantile)) return not_a_number;
    if (quantile < 0) return -infinity;
    if (quantile > 1) return infinity;
    return interpolate_quantile(buckets, quantile * observation_count);
}

}  // namespace

Vector HistogramQuantile::evaluate(const Database& database, std::int64_t time_ms) const {
    std::map<Labels, std::vector<Bucket>> histograms;
    for (VectorElement& element : buckets_->evaluate(database, time_ms)) {
        const auto upper_bound_label = element.labels.find(bucket_upper_bound_label);
        if (upper_bound_label == element.labels.end()) continue;
        const double upper_bound = parse_upper_bound(upper_bound_label->second);
        Labels labels = without_metric_name(std::move(element.labels));
        labels.erase(bucket_upper_bound_label);
        histograms[labels].push_back({upper_bound, element.value});
    }
    Vector result;
    for (auto& [labels, buckets] : histograms)
        result.push_back({labels, histogram_quantile(quantile_, std::move(buckets))});
    return result;
}

Vector Absent::evaluate(const Database& database, std::int64_t time_ms) const {
    if (!operand_->evaluate(database, time_ms).empty()) return {};
    Labels labels;
    if (const auto* selector = dynamic_cast<const VectorSelector*>(operand_.get()))
        for (const LabelMatcher& matcher : selector->matchers())
            if (matcher.type() == LabelMatcher::Type::equal) labels[matcher.label()] = matcher.value();
    return {{labels, 1}};
}

}  // namespace plumkeel::promql
