#include "remote_write/series_encoder.hpp"

#include <xxhash.h>

#include "write.pb.h"

namespace plumkeel::remote_write {
namespace {

// Tags of length-delimited fields in protobuf's wire format: field number << 3 | 2.
constexpr char timeseries_tag = 0x0a;  // WriteRequest.timeseries
constexpr char samples_tag = 0x12;     // TimeSeries.samples

void append_varint(std::string& bytes, std::size_t value) {
    for (; value >= 0x80; value >>= 7) bytes.push_back(static_cast<char>((value & 0x7f) | 0x80));
    bytes.push_back(static_cast<char>(value));
}

// Appends a TimeSeries message without the protobuf library, since the serialized labels are reused between scrapes.
void append_series(Shard& shard, const std::string& encoded_labels, const wire::Sample& sample) {
    const std::string encoded_sample = sample.SerializeAsString();
    // An encoded sample is shorter than 128 bytes, so its tag and length take one byte each.
    append_varint(shard.bytes.append(1, timeseries_tag), encoded_labels.size() + 2 + encoded_sample.size());
    shard.bytes += encoded_labels;
    append_varint(shard.bytes.append(1, samples_tag), encoded_sample.size());
    shard.bytes += encoded_sample;
    ++shard.samples;
}

}  // namespace

SeriesEncoder::Series SeriesEncoder::make_series(const Labels& labels) const {
    constexpr char separator = '\xff';  // does not occur in UTF-8 text
    wire::TimeSeries message;
    std::string hash_input;
    for (const auto& [name, value] : labels) {
        wire::Label* label = message.add_labels();
        label->set_name(name);
        label->set_value(value);
        hash_input.append(name).push_back(separator);
        hash_input.append(value).push_back(separator);
    }
    const std::size_t shard = XXH3_64bits(hash_input.data(), hash_input.size()) % static_cast<std::size_t>(shards_);
    return {message.SerializeAsString(), shard, 0};
}

std::vector<Shard> SeriesEncoder::encode(const std::vector<Sample>& samples, std::int64_t timestamp_ms) {
    std::vector<Shard> shards(static_cast<std::size_t>(shards_));
    ++scrape_count_;
    wire::Sample message;
    message.set_timestamp(timestamp_ms);
    const auto append = [&](const Series& series, double value) {
        message.set_value(value);
        append_series(shards[series.shard], series.encoded_labels, message);
    };
    for (const Sample& sample : samples) {
        auto it = series_.find(sample.labels);
        if (it == series_.end()) it = series_.emplace(sample.labels, make_series(sample.labels)).first;
        Series& series = it->second;
        if (series.last_scrape == scrape_count_) continue;  // of duplicate series in one scrape only the first is sent
        series.last_scrape = scrape_count_;
        append(series, sample.value);
    }
    std::erase_if(series_, [&](const auto& item) {
        if (item.second.last_scrape == scrape_count_) return false;
        append(item.second, stale_marker());
        return true;
    });
    return shards;
}

}  // namespace plumkeel::remote_write
