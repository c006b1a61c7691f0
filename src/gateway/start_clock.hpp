// Turns the Unix times at which invokers started into moments of the world's monotonic clock, which wall clocks that
// step can't move. Free of I/O and clocks: whoever owns it reads both.
#pragma once

#include <chrono>
#include <deque>

namespace plumkeel::gateway {

class StartClock {
public:
    using Time = std::chrono::microseconds;

    // Compares the clocks: to be called now and then, so that a slow drift is followed and a step is noticed as one.
    void look(Time now, Time wall);

    // The moment at which something started by the Unix time `started`. Whoever told it may have a clock that stepped
    // when ours did, or not: of the moments that are possible, none after `now`, the latest counts, for a server in
    // slow start is never taken for warm. Where none is possible it has started just now.
    Time moment_of(Time started, Time now) const;

    std::size_t steps() const { return steps_; }

private:
    std::deque<Time> offsets_;  // of the wall clock from the monotonic one, the one in force last
    std::size_t steps_{};
};

}  // namespace plumkeel::gateway
