/// Timestamps of samples.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace plumkeel::remote_write {

using Time = std::chrono::microseconds;

/// Wall time that never goes back, whatever happens to the machine's clock: it follows the monotonic clock from its
/// start, and jumps forward where wall time is far ahead.
class SampleClock {
public:
    /// `wall` and `now` are the wall time and the monotonic time of the same moment. Timestamps continue after
    /// `last_ms`, the newest timestamp of an earlier run.
    SampleClock(Time wall, Time now, std::int64_t last_ms = 0)
        : offset_(std::max(wall, std::chrono::duration_cast<Time>(std::chrono::milliseconds(last_ms))) - now),
          last_ms_(last_ms) {}

    /// Milliseconds since the Unix epoch; greater with each call.
    std::int64_t ms(Time wall, Time now);

private:
    Time offset_;  // from monotonic time to wall time
    std::int64_t last_ms_;
};

}  // namespace plumkeel::remote_write
