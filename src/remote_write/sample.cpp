#include "remote_write/sample.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstdint>

namespace plumkeel::remote_write {
namespace {

constexpr std::uint64_t stale_marker_bits = 0x7ff0000000000002;  // StaleNaN in Prometheus' package model/value

Labels make_labels(const std::string& name, const std::vector<prometheus::ClientMetric::Label>& labels) {
    Labels sorted_labels = {{"__name__", name}};
    for (const auto& label : labels)
        if (!label.value.empty())
            sorted_labels.emplace_back(label.name, label.value);  // in Prometheus an empty label equals a missing one
    std::ranges::sort(sorted_labels);
    return sorted_labels;
}

Labels make_bucket_labels(const std::string& name, const std::vector<prometheus::ClientMetric::Label>& labels,
                          double upper_bound) {
    Labels sorted_labels = make_labels(name, labels);
    sorted_labels.emplace_back("le", std::isinf(upper_bound) ? "+Inf" : fmt::format("{:g}", upper_bound));
    std::ranges::sort(sorted_labels);
    return sorted_labels;
}

void append_histogram(std::vector<Sample>& samples, const std::string& name, const prometheus::ClientMetric& metric) {
    const auto& histogram = metric.histogram;
    for (const auto& bucket : histogram.bucket)
        samples.push_back({make_bucket_labels(name + "_bucket", metric.label, bucket.upper_bound),
                           static_cast<double>(bucket.cumulative_count)});
    samples.push_back({make_labels(name + "_sum", metric.label), histogram.sample_sum});
    samples.push_back({make_labels(name + "_count", metric.label), static_cast<double>(histogram.sample_count)});
}

}  // namespace

std::vector<Sample> to_samples(const std::vector<prometheus::MetricFamily>& families) {
    std::vector<Sample> samples;
    for (const auto& family : families)
        for (const auto& metric : family.metric) {
            if (family.type == prometheus::MetricType::Counter)
                samples.push_back({make_labels(family.name, metric.label), metric.counter.value});
            if (family.type == prometheus::MetricType::Gauge)
                samples.push_back({make_labels(family.name, metric.label), metric.gauge.value});
            if (family.type == prometheus::MetricType::Histogram) append_histogram(samples, family.name, metric);
        }
    return samples;
}

double stale_marker() {
    return std::bit_cast<double>(stale_marker_bits);
}

bool is_stale_marker(double value) {
    return std::bit_cast<std::uint64_t>(value) == stale_marker_bits;
}

}  // namespace plumkeel::remote_write
