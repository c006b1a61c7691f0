/// Changes the states of requests and attempts. No other code changes them.
#pragma once

#include "scheduler/cached_copies.hpp"
#include "scheduler/load_estimator.hpp"
#include "scheduler/load_tracker.hpp"
#include "scheduler/placement.hpp"
#include "scheduler/slow_start.hpp"

namespace plumkeel {

class RequestLifecycle {
public:
    RequestLifecycle(SchedulerContext& context, LoadEstimator& load_estimator, CachedCopies& copies,
                     LoadTracker& load_tracker, SlowStart& slow_start)
        : context_(context),
          load_estimator_(load_estimator),
          copies_(copies),
          load_tracker_(load_tracker),
          slow_start_(slow_start) {}

    /// Records the arrival of the request and computes its deadline and latency target.
    void receive(Request& request);
    /// Changes the request's state. `attempt` is the attempt that the transition started, if any.
    void transition(Request& request, RequestState to, DecisionReason reason, Attempt* attempt = nullptr);
    /// Completes the request at once: with a rejection if it is certain that the request had no effect, else with a
    /// failure.
    void reject_or_fail(Request& request, DecisionReason reason);
    /// Sends the request to the chosen invoker.
    void start_attempt(Request& request, const PlacementChoice& choice, DecisionReason reason);
    /// Records the end of the attempt. The state of the request does not change.
    void end_attempt(Attempt& attempt, AttemptOutcome outcome);

    std::size_t parked_count() const { return parked_count_; }

private:
    Time retry_after(const Request& request);
    void enter_parking(Request& request);
    void leave_parking(Request& request);
    void complete(Request& request);

    SchedulerContext& context_;
    LoadEstimator& load_estimator_;
    CachedCopies& copies_;
    LoadTracker& load_tracker_;
    SlowStart& slow_start_;
    std::size_t parked_count_{};
};

}  // namespace plumkeel
