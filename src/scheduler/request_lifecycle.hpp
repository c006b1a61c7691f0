/// The states of requests and attempts: the only place where either changes.
#pragma once

#include "scheduler/cached_copies.hpp"
#include "scheduler/load_estimator.hpp"
#include "scheduler/load_tracker.hpp"
#include "scheduler/placement.hpp"
#include "scheduler/slow_start.hpp"

namespace plumkeel {

class RequestLifecycle {
public:
    RequestLifecycle(SchedulerContext& context, LoadEstimator& load, CachedCopies& copies, LoadTracker& loads,
                     SlowStart& slow_start)
        : context_(context), load_(load), copies_(copies), loads_(loads), slow_start_(slow_start) {}

    void receive(Request& request);
    /// Changes the request's state. `attempt` is the one that the transition started, if any.
    void transition(Request& request, RequestState to, DecisionReason reason, Attempt* attempt = nullptr);
    /// The final response, at once, since nothing more is done for the request: a rejection where it is true that the
    /// request had no effect, else a failure.
    void reject_or_fail(Request& request, DecisionReason reason);
    void start_attempt(Request& request, const PlacementChoice& choice, DecisionReason reason);
    /// The attempt is over; the request's own state does not change.
    void end_attempt(Attempt& attempt, AttemptOutcome outcome);

    std::size_t parked_count() const { return parked_count_; }

private:
    Time retry_after(const Request& request);
    void enter_parking(Request& request);
    void leave_parking(Request& request);
    void complete(Request& request);

    SchedulerContext& context_;
    LoadEstimator& load_;
    CachedCopies& copies_;
    LoadTracker& loads_;
    SlowStart& slow_start_;
    std::size_t parked_count_{};
};

}  // namespace plumkeel
