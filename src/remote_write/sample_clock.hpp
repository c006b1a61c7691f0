/// Timestamps of samples.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace plumkeel::remote_write {

using Time = std::chrono::microseconds;

/// Wall-clock time that never goes back when the machine's clock is set. It follows the monotonic clock, and jumps
/// forward when the machine's wall clock is far ahead of it.
class SampleClock {
public:
    /// `wall_time` and `now` are the wall-clock time and the monotonic time of the same moment. All timestamps are
    /// greater than `last_ms`, the newest timestamp of the previous run.
    SampleClock(Time wall_time, Time now, std::int64_t last_ms = 0)
        : offset_(std::max(wall_time, std::chrono::duration_cast<Time>(std::chrono::milliseconds(last_ms))) - now),
          last_ms_(last_ms) {}

    /// Milliseconds since the Unix epoch; greater with each call.
    std::int64_t next_timestamp_ms(Time wall_time, Time now);

private:
    Time offset_;  // wall-clock time minus monotonic time
    std::int64_t last_ms_;
};

}  // namespace plumkeel::remote_write
