/// Converts the Unix times at which invokers started to times of the event loop's monotonic clock, so that a step of a
/// wall clock doesn't move them. Free of I/O and clocks: its owner reads both.
#pragma once

#include <chrono>
#include <deque>

namespace plumkeel::gateway {

class StartClock {
public:
    using Time = std::chrono::microseconds;

    /// Compares both clocks. Call it regularly, so that a slow drift is followed and a step is recognised as one.
    void compare(Time now, Time wall);

    /// The monotonic time of the Unix time `started`. The wall clock that announced it may have stepped together with
    /// ours, or not: of all times that are possible and not after `now` the latest one counts, because an invoker in
    /// slow start must never be taken for warm. Where none is possible, it started just now.
    Time monotonic_time_of(Time started, Time now) const;

    /// Steps of the wall clock that were recognised.
    std::size_t step_count() const { return step_count_; }

private:
    std::deque<Time> offsets_;  // wall clock minus monotonic clock, the current one last
    std::size_t step_count_{};
};

}  // namespace plumkeel::gateway
