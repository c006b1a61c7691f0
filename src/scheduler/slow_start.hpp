/// Slow start (safety rule 4): an invoker that has just started is sent little, rising to its full share.
///
/// In any window of the stated length a starting invoker may be sent a stated multiple of what it can do by then. Its
/// present capacity is taken to rise evenly from the initial share, and to be a part of what warm invokers of its
/// capacity are seen to do for this controller. What each controller sees is its own part of the traffic, so that all
/// budgets together stay under the whole one. With many controllers each has less than one attempt a window: a random
/// draw at each start decides which of them have one all the same.
#pragma once

#include "scheduler/scheduler_context.hpp"

namespace plumkeel {

class SlowStart {
public:
    explicit SlowStart(SchedulerContext& context) : context_(context) {}

    void begin(Invoker& invoker, Time since);
    void finish(Invoker& invoker);
    /// Finishes those whose slow start is over. A draining invoker stays as it is until the list has it ready again.
    void finish_expired();

    /// Whether the invoker may be sent one more attempt: it is listed and ready (safety rule 3), and within its budget.
    bool allows_attempt(Invoker& invoker);
    void record_attempt(Invoker& invoker);
    void record_success() { ++successes_; }
    /// Part of the periodic work; `warm_capacity` is that of all warmed up, healthy invokers.
    void update_service_rate(double warm_capacity);

    /// How fast the invoker runs a request now, as a part of its speed when warm: the square root of its share of
    /// capacity.
    double speed(const Invoker& invoker) const;

private:
    double budget(const Invoker& invoker, Time age) const;

    SchedulerContext& context_;
    double service_rate_{};  ///< successful attempts a second for each unit of a warm invoker's capacity
    int successes_{};        ///< since the last sweep
};

}  // namespace plumkeel
