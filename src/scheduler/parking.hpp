/// Parking: requests that can't be sent now are held at the controller and retried on a growing, jittered backoff,
/// which all parked requests of a function share (docs/design.md, steps 3 to 5).
#pragma once

#include "scheduler/load_tracker.hpp"
#include "scheduler/request_lifecycle.hpp"

namespace plumkeel {

class Parking {
public:
    Parking(SchedulerContext& context, RequestLifecycle& lifecycle, const LoadTracker& loads)
        : context_(context), lifecycle_(lifecycle), loads_(loads) {}

    /// Parks the request, or keeps it parked. Where the limit is reached, it is rejected instead.
    void park(Request& request, DecisionReason reason);
    bool has_capacity() const;

    /// Whether the function's requests have been parked for as long as any may be.
    bool is_budget_exceeded(const Function& function) const;
    /// The requests are retried now: the backoff grows and the next retry is scheduled.
    void advance_backoff(Function& function);
    void stop(Function& function);

private:
    void start(Function& function);
    void schedule(Function& function);

    SchedulerContext& context_;
    RequestLifecycle& lifecycle_;
    const LoadTracker& loads_;
};

}  // namespace plumkeel
