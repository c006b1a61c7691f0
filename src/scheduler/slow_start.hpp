/// Slow start (safety rule 4 in docs/design.md): an invoker that has just started is sent few requests at first, and
/// gradually more.
///
/// In any window of SafetyRules::slow_start_window, it may be sent SafetyRules::slow_start_rate_multiple times the
/// requests that its present capacity can run. The present capacity grows linearly from the initial share to the full
/// capacity. The requests that it can run are estimated from the rate at which warm invokers complete this controller's
/// requests. Since each controller counts only its own requests, the budgets of all controllers add up to the budget of
/// the invoker.
///
/// With many controllers, each may have a budget of less than one attempt per window. A random number, drawn by each
/// controller at each start, decides which of them may send one.
#pragma once

#include "scheduler/scheduler_context.hpp"

namespace plumkeel {

class SlowStart {
public:
    explicit SlowStart(SchedulerContext& context) : context_(context) {}

    /// Starts the slow start, or moves the start of one in progress.
    void begin(Invoker& invoker, Time since);
    void finish(Invoker& invoker);
    /// Finishes slow starts whose time is over. A draining invoker stays in slow start until it is ready again.
    void finish_expired();

    /// Whether the invoker may be sent one more attempt: it is listed and ready (safety rule 3) and within its budget.
    bool allows_attempt(Invoker& invoker);
    /// Counts an attempt that is sent to the invoker.
    void record_attempt(Invoker& invoker);
    /// Counts a successful attempt at any invoker.
    void record_success() { ++successes_; }
    /// Part of each periodic sweep. `warm_capacity` is the total capacity of all healthy invokers that are warmed up.
    void update_service_rate(double warm_capacity);

    /// The speed at which the invoker runs a request, relative to its speed when warm: the square root of its present
    /// share of capacity.
    double relative_speed(const Invoker& invoker) const;

private:
    double budget(const Invoker& invoker, Time age) const;

    SchedulerContext& context_;
    double service_rate_{};  ///< successful attempts per second and unit of warm capacity
    int successes_{};        ///< successful attempts since the last sweep
};

}  // namespace plumkeel
