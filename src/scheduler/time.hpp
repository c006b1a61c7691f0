/// Time as the scheduler uses it: whole microseconds since the start of its host. The scheduler reads no clock.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

namespace plumkeel {

/// A duration, or a point in time as the duration since the host started.
using Time = std::chrono::microseconds;

/// Orders timers by due time, then by a number that is unique to each timer. The number 0 means that no timer is set.
using TimerKey = std::pair<Time, std::uint64_t>;

constexpr double in_seconds(Time duration) {
    return static_cast<double>(duration.count()) / 1e6;
}

/// Converts seconds to a duration; negative values give zero.
constexpr Time from_seconds(double seconds) {
    return Time(static_cast<Time::rep>(std::max(0.0, seconds) * 1e6));
}

}  // namespace plumkeel
