#include "remote_write/series.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cmath>

#include "write.pb.h"

namespace plumkeel::remote_write {
namespace {

constexpr std::uint64_t stale_bits = 0x7ff0000000000002;  // as published

Labels labels_of(const std::string& name, const std::vector<prometheus::ClientMetric::Label>& labels,
                 const char* more = nullptr, const std::string& value = "") {
    Labels out = {{"__name__", name}};
    for (const auto& each : labels)
        if (!each.value.empty()) out.emplace_back(each.name, each.value);  // an empty label is none
    if (more) out.emplace_back(more, value);
    std::sort(out.begin(), out.end());
    return out;
}

std::string bound_of(double upper) {
    return std::isinf(upper) ? "+Inf" : fmt::format("{:g}", upper);
}

}  // namespace

std::vector<Sample> flatten(const std::vector<prometheus::MetricFamily>& families) {
    std::vector<Sample> out;
    for (const auto& family : families)
        for (const auto& metric : family.metric) {
            if (family.type == prometheus::MetricType::Counter)
                out.push_back({labels_of(family.name, metric.label), metric.counter.value});
            if (family.type == prometheus::MetricType::Gauge)
                out.push_back({labels_of(family.name, metric.label), metric.gauge.value});
            if (family.type != prometheus::MetricType::Histogram) continue;
            for (const auto& bucket : metric.histogram.bucket)
                out.push_back({labels_of(family.name + "_bucket", metric.label, "le", bound_of(bucket.upper_bound)),
                               static_cast<double>(bucket.cumulative_count)});
            out.push_back({labels_of(family.name + "_sum", metric.label), metric.histogram.sample_sum});
            out.push_back(
                {labels_of(family.name + "_count", metric.label), static_cast<double>(metric.histogram.sample_count)});
        }
    return out;
}

double stale_marker() {
    return std::bit_cast<double>(stale_bits);
}
bool is_stale_marker(double value) {
    return std::bit_cast<std::uint64_t>(value) == stale_bits;
}

std::int64_t SampleClock::ms(Time wall, Time now) {
    constexpr Time far = std::chrono::seconds(5);
    if (wall - (anchor_ + now) > far) anchor_ = wall - now;
    last_ = std::max<std::int64_t>(last_ + 1, (anchor_ + now).count() / 1000);
    return last_;
}

std::vector<Shard> SeriesEncoder::encode(const std::vector<Sample>& samples, std::int64_t at_ms) {
    std::vector<Shard> out(static_cast<std::size_t>(shards_));
    ++scrapes_;
    wire::Sample sample;
    sample.set_timestamp(at_ms);
    const auto put = [&](const Known& known, double value) {
        sample.set_value(value);
        const std::string packed = sample.SerializeAsString();
        Shard& part = out[known.part];
        // Field 1 of the request, a series: its labels as kept, then field 2, its one sample.
        const std::size_t length = known.labels.size() + 2 + packed.size();  // a sample is under 128 bytes
        part.bytes.push_back(0x0a);
        for (std::size_t n = length;; n >>= 7) {
            part.bytes.push_back(static_cast<char>(n < 0x80 ? n : (n & 0x7f) | 0x80));
            if (n < 0x80) break;
        }
        part.bytes += known.labels;
        part.bytes.push_back(0x12);
        part.bytes.push_back(static_cast<char>(packed.size()));
        part.bytes += packed;
        ++part.samples;
    };
    for (const Sample& each : samples) {
        auto it = known_.find(each.labels);
        if (it == known_.end()) {
            wire::TimeSeries series;
            std::string key;
            for (const auto& [name, value] : each.labels) {
                wire::Label* label = series.add_labels();
                label->set_name(name);
                label->set_value(value);
                key += name + '\xff' + value + '\xff';
            }
            Known fresh{series.SerializeAsString(),
                        XXH3_64bits(key.data(), key.size()) % static_cast<std::size_t>(shards_), 0};
            it = known_.emplace(each.labels, std::move(fresh)).first;
        }
        if (it->second.seen == scrapes_) continue;  // told twice in one scrape: only the first can be sent
        it->second.seen = scrapes_;
        put(it->second, each.value);
    }
    std::erase_if(known_, [&](const auto& each) {
        if (each.second.seen == scrapes_) return false;
        put(each.second, stale_marker());
        return true;
    });
    return out;
}

}  // namespace plumkeel::remote_write
