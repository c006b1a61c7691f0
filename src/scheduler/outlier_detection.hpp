/// Outlier detection: invokers that time out, reset connections or return errors are suspected, ejected and taken back
/// step by step. When nearly all look unhealthy the judgement itself is doubted (panic mode) and nobody is excluded.
#pragma once

#include "scheduler/invoker_registry.hpp"
#include "scheduler/probing.hpp"
#include "scheduler/slow_start.hpp"

namespace plumkeel {

class OutlierDetection {
public:
    OutlierDetection(SchedulerContext& context, SlowStart& slow_start, HealthProber& prober, InvokerRegistry& registry)
        : context_(context), slow_start_(slow_start), prober_(prober), registry_(registry) {}

    /// The invoker responded, to an attempt or a probe.
    void record_success(Invoker& invoker);
    /// Silence, or a connection that did not come about. `is_certain`: the invoker's process is gone. Afterwards the
    /// attempts at an ejected invoker have to be rerouted.
    void record_failure(Invoker& invoker, bool is_certain);
    /// Whether this connection reset, with those before it, counts as a failure: a dead process resets all its
    /// connections, a malformed response or a bad request just its own.
    bool record_reset(Invoker& invoker);
    /// The attempt succeeded: errors of its request's attempts elsewhere count against those invokers. (docs/design.md,
    /// exception "faulty": an invoker that fails most requests at once looks idle and draws more of them. It could harm
    /// where a request's own error comes and goes.)
    void attribute_errors(const Attempt& succeeded);
    /// Part of the periodic work, for invokers with attempts in flight, that are unhealthy or had errors.
    void review(Invoker& invoker);

    void update_panic_mode(const FleetTotals& totals);
    bool is_panic_mode() const { return panic_mode_; }
    /// Whether its health keeps the invoker from being used now.
    ExclusionReason exclusion(const Invoker& invoker) const;

private:
    void set_state(Invoker& invoker, HealthState state);
    void record_response_quality(Invoker& invoker, bool was_error);

    SchedulerContext& context_;
    SlowStart& slow_start_;
    HealthProber& prober_;
    InvokerRegistry& registry_;
    bool panic_mode_{};
};

}  // namespace plumkeel
