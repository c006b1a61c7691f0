#include "gateway/start_clock.hpp"

#include <algorithm>

namespace plumkeel::gateway {

using namespace std::chrono_literals;

namespace {

/// A smaller change of the offset is drift: time services slew a clock by at most 500 ppm, or 100 ms in 200 s.
constexpr StartClock::Time min_step = 100ms;
/// Number of offsets kept; when there are more, the oldest is discarded.
constexpr std::size_t max_offsets = 8;

}  // namespace

void StartClock::compare(Time now, Time wall_time) {
    const Time offset = wall_time - now;
    const auto is_close = [&](Time other) { return std::chrono::abs(offset - other) < min_step; };
    if (!offsets_.empty() && is_close(offsets_.back())) {
        offsets_.back() = offset;
        return;
    }
    if (!offsets_.empty()) ++step_count_;
    std::erase_if(offsets_, is_close);
    offsets_.push_back(offset);
    if (offsets_.size() > max_offsets) offsets_.pop_front();
}

StartClock::Time StartClock::monotonic_time_of(Time started, Time now) const {
    Time latest = Time::min();
    for (const Time offset : offsets_)
        if (const Time candidate = started - offset; candidate <= now) latest = std::max(latest, candidate);
    return latest == Time::min() ? now : latest;
}

}  // namespace plumkeel::gateway
