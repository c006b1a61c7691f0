// Measurements as samples of series, ready for the wire: one text for each part of the series, with staleness
// marks for those that ended. Pure.
#pragma once

#include <prometheus/metric_family.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace plumkeel::remote_write {

using Time = std::chrono::microseconds;
using Labels = std::vector<std::pair<std::string, std::string>>;  // sorted by name, __name__ among them

struct Sample {
    Labels labels;
    double value{};
};

// Histograms become their buckets, sum and count.
std::vector<Sample> flatten(const std::vector<prometheus::MetricFamily>& families);

// A NaN of its own that tells that a series has ended.
double stale_marker();
bool is_stale_marker(double value);

// The moments of samples: wall time that never goes back, whatever the machine's clock does. It follows the
// monotonic clock from its start, and jumps forward where wall time is far ahead.
class SampleClock {
public:
    // Nor behind `last_ms`, told in an earlier run.
    SampleClock(Time wall, Time now, std::int64_t last_ms = 0)
        : anchor_(std::max(wall, std::chrono::duration_cast<Time>(std::chrono::milliseconds(last_ms))) - now),
          last_(last_ms) {}
    std::int64_t ms(Time wall, Time now);

private:
    Time anchor_;
    std::int64_t last_;
};

struct Shard {
    std::string bytes;  // a WriteRequest; two of them, one behind the other, are one as well
    std::uint32_t samples{};
};

class SeriesEncoder {
public:
    explicit SeriesEncoder(int parts) : shards_(parts) {}
    // A series is always in the same part. What was in the last scrape and is not in this one gets its mark.
    std::vector<Shard> encode(const std::vector<Sample>& samples, std::int64_t at_ms);
    std::vector<Shard> encode_end(std::int64_t at_ms) { return encode({}, at_ms); }
    std::size_t series() const { return known_.size(); }

private:
    struct Known {
        std::string labels;  // packed for the wire
        std::size_t part{};
        std::uint64_t seen{};
    };
    const int shards_;
    std::uint64_t scrapes_{};
    std::map<Labels, Known> known_;
};

}  // namespace plumkeel::remote_write
