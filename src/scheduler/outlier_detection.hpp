/// Outlier detection: invokers that time out, reset connections or return errors are suspected, then ejected, and taken
/// back step by step. If nearly all invokers look unhealthy (panic mode), none is excluded, since the cause is probably
/// not the invokers.
#pragma once

#include "scheduler/invoker_registry.hpp"
#include "scheduler/probing.hpp"
#include "scheduler/slow_start.hpp"

namespace plumkeel {

class OutlierDetection {
public:
    OutlierDetection(SchedulerContext& context, SlowStart& slow_start, HealthProber& prober,
                     InvokerRegistry& invoker_registry)
        : context_(context), slow_start_(slow_start), prober_(prober), invoker_registry_(invoker_registry) {}

    /// Records a response of the invoker to an attempt or a probe.
    void record_success(Invoker& invoker);
    /// Records a missing response or a failed connection. `is_certain` tells that the invoker's process is gone. If the
    /// invoker is ejected afterwards, the caller has to reroute the attempts in flight there.
    void record_failure(Invoker& invoker, bool is_certain);
    /// Records a connection reset and returns whether it counts as a failure of the invoker. A single reset does not: a
    /// malformed response or request resets only its own connection, while a dead process resets all of them.
    bool record_reset(Invoker& invoker);
    /// Called for a successful attempt: failed attempts of the same request at other invokers are counted as errors of
    /// those invokers. An invoker that fails requests quickly would otherwise look idle and be sent more of them. If a
    /// request fails at random, invokers are blamed wrongly. (docs/design.md, exception "faulty")
    void attribute_errors(const Attempt& succeeded);
    /// Part of each periodic sweep, for invokers that have attempts in flight, are unhealthy or had errors. Decays the
    /// error rate and checks how long an ejection has lasted.
    void review(Invoker& invoker);

    void update_panic_mode(const FleetTotals& totals);
    bool is_panic_mode() const { return panic_mode_; }
    /// Why the invoker's health excludes it now, or `none`.
    ExclusionReason exclusion(const Invoker& invoker) const;

private:
    void set_state(Invoker& invoker, HealthState state);
    void record_response_quality(Invoker& invoker, bool was_error);

    SchedulerContext& context_;
    SlowStart& slow_start_;
    HealthProber& prober_;
    InvokerRegistry& invoker_registry_;
    bool panic_mode_{};
};

}  // namespace plumkeel
