#include "remote_write/series_encoder.hpp"

#include <xxhash.h>

#include "write.pb.h"

namespace plumkeel::remote_write {
namespace {

// Tags of length-delimited fields in the protobuf encoding (field number << 3 | 2).
constexpr char timeseries_tag = 0x0a;  // WriteRequest.timeseries
constexpr char samples_tag = 0x12;     // TimeSeries.samples

void append_varint(std::string& out, std::size_t value) {
    for (; value >= 0x80; value >>= 7) out.push_back(static_cast<char>((value & 0x7f) | 0x80));
    out.push_back(static_cast<char>(value));
}

// Appends a TimeSeries message by hand, since its labels are kept serialized from scrape to scrape.
void append_series(Shard& shard, const std::string& encoded_labels, const wire::Sample& sample) {
    const std::string encoded_sample = sample.SerializeAsString();
    // A sample is shorter than 128 bytes, so its tag and its length take two bytes.
    append_varint(shard.bytes.append(1, timeseries_tag), encoded_labels.size() + 2 + encoded_sample.size());
    shard.bytes += encoded_labels;
    append_varint(shard.bytes.append(1, samples_tag), encoded_sample.size());
    shard.bytes += encoded_sample;
    ++shard.samples;
}

}  // namespace

SeriesEncoder::Series SeriesEncoder::make_series(const Labels& labels) const {
    constexpr char separator = '\xff';  // not in UTF-8 text
    wire::TimeSeries message;
    std::string hashed;
    for (const auto& [name, value] : labels) {
        wire::Label* label = message.add_labels();
        label->set_name(name);
        label->set_value(value);
        hashed.append(name).push_back(separator);
        hashed.append(value).push_back(separator);
    }
    const std::size_t shard = XXH3_64bits(hashed.data(), hashed.size()) % static_cast<std::size_t>(shards_);
    return {message.SerializeAsString(), shard, 0};
}

std::vector<Shard> SeriesEncoder::encode(const std::vector<Sample>& samples, std::int64_t timestamp_ms) {
    std::vector<Shard> shards(static_cast<std::size_t>(shards_));
    ++scrapes_;
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
        if (series.last_scrape == scrapes_) continue;  // a duplicate in one scrape: only the first can be sent
        series.last_scrape = scrapes_;
        append(series, sample.value);
    }
    std::erase_if(series_, [&](const auto& item) {
        if (item.second.last_scrape == scrapes_) return false;
        append(item.second, stale_marker());
        return true;
    });
    return shards;
}

}  // namespace plumkeel::remote_write
