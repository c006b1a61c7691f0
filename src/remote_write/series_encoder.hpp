/// Encodes scrapes as requests of remote write 1.0, one for each shard, with staleness markers for series that have
/// ended. Does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "remote_write/sample.hpp"

namespace plumkeel::remote_write {

/// The samples of one scrape that belong to one shard.
struct Shard {
    std::string bytes;        ///< a serialized WriteRequest message; concatenated ones are again a valid WriteRequest
    std::uint32_t samples{};  ///< number of samples in `bytes`
};

class SeriesEncoder {
public:
    explicit SeriesEncoder(int shards) : shards_(shards) {}

    /// Encodes one scrape; returns an element for each shard. A series is always in the same shard. A series of the
    /// previous scrape that is missing from this one gets a staleness marker.
    std::vector<Shard> encode(const std::vector<Sample>& samples, std::int64_t timestamp_ms);
    /// Encodes staleness markers for all series.
    std::vector<Shard> encode_end(std::int64_t timestamp_ms) { return encode({}, timestamp_ms); }
    /// Number of series in the last scrape.
    std::size_t series() const { return series_.size(); }

private:
    struct Series {
        std::string encoded_labels;  // serialized TimeSeries message with only its labels
        std::size_t shard{};
        std::uint64_t last_scrape{};
    };
    Series make_series(const Labels& labels) const;

    const int shards_;
    std::uint64_t scrape_count_{};
    std::map<Labels, Series> series_;
};

}  // namespace plumkeel::remote_write
