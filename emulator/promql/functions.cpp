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

constexpr double nan = std::numeric_limits<double>::quiet_NaN();
constexpr double infinity = std::numeric_limits<double>::infinity();
constexpr const char* bucket_bound_label = "le";

struct Bucket {
    double upper_bound{};
    double count{};  // cumulative
    auto operator<=>(const Bucket&) const = default;
};

double parse_bound(const std::string& text) {
    return text == "+Inf" ? infinity : std::atof(text.c_str());
}

// Counts that were scraped while they changed may decrease from bucket to bucket.
void make_monotonic(std::vector<Bucket>& buckets) {
    for (std::size_t i = 1; i < buckets.size(); ++i)
        buckets[i].count = std::max(buckets[i].count, buckets[i - 1].count);
}

// The buckets are sorted and monotonic, and there are at least two.
double interpolate(const std::vector<Bucket>& buckets, double rank) {
    const std::size_t last = buckets.size() - 1;
    std::size_t index = 0;
    while (index < last && buckets[index].count < rank) ++index;
    if (index == last) return buckets[last - 1].upper_bound;
    const Bucket& bucket = buckets[index];
    if (index == 0) {
        if (bucket.upper_bound <= 0) return bucket.upper_bound;
        return bucket.upper_bound * (rank / bucket.count);
    }
    const Bucket& previous = buckets[index - 1];
    const double width = bucket.upper_bound - previous.upper_bound;
    return previous.upper_bound + width * ((rank - previous.count) / (bucket.count - previous.count));
}

double histogram_quantile(double quantile, std::vector<Bucket> buckets) {
    std::ranges::sort(buckets);
    if (buckets.size() < 2 || !std::isinf(buckets.back().upper_bound)) return nan;
    make_monotonic(buckets);
    const double count = buckets.back().count;
    if (count == 0 || std::isnan(quantile)) return nan;
    if (quantile < 0) return -infinity;
    if (quantile > 1) return infinity;
    return interpolate(buckets, quantile * count);
}

}  // namespace

Vector HistogramQuantile::evaluate(const Database& data, std::int64_t ms) const {
    std::map<Labels, std::vector<Bucket>> histograms;
    for (VectorElement& element : buckets_->evaluate(data, ms)) {
        const auto bound_label = element.labels.find(bucket_bound_label);
        if (bound_label == element.labels.end()) continue;
        const double bound = parse_bound(bound_label->second);
        Labels labels = without_metric_name(std::move(element.labels));
        labels.erase(bucket_bound_label);
        histograms[labels].push_back({bound, element.value});
    }
    Vector result;
    for (auto& [labels, buckets] : histograms)
        result.push_back({labels, histogram_quantile(quantile_, std::move(buckets))});
    return result;
}

Vector Absent::evaluate(const Database& data, std::int64_t ms) const {
    if (!operand_->evaluate(data, ms).empty()) return {};
    Labels labels;
    if (const auto* selector = dynamic_cast<const VectorSelector*>(operand_.get()))
        for (const LabelMatcher& matcher : selector->matchers())
            if (matcher.type() == LabelMatcher::Type::equal) labels[matcher.label()] = matcher.value();
    return {{labels, 1}};
}

}  // namespace plumkeel::promql
