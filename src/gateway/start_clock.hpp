/// Converts the start times of invokers from Unix time to the event loop's monotonic clock, so that a step of a wall
/// clock does not move them. It reads no clock itself: the caller passes the times.
#pragma once

#include <chrono>
#include <deque>

namespace plumkeel::gateway {

class StartClock {
public:
    using Time = std::chrono::microseconds;

    /// Compares the monotonic time `now` with the wall clock. Must be called regularly, to tell a step from slow drift.
    void compare(Time now, Time wall_time);

    /// Returns the monotonic time of the Unix time `started`. The invoker's wall clock may or may not have stepped
    /// together with the controller's, so several results are possible. The latest one that is not after `now` is
    /// returned, so that an invoker in slow start is never taken for warm; if there is none, `now`.
    Time monotonic_time_of(Time started, Time now) const;

    /// Number of steps of the wall clock seen so far.
    std::size_t step_count() const { return step_count_; }

private:
    std::deque<Time> offsets_;  // wall clock minus monotonic clock; the last is the current one
    std::size_t step_count_{};
};

}  // namespace plumkeel::gateway
