/// Parking: requests that cannot be sent now are held at the controller and retried with a growing, randomized backoff,
/// which all parked requests of a function share (docs/design.md, steps 3 to 5).
#pragma once

#include "scheduler/load_tracker.hpp"
#include "scheduler/request_lifecycle.hpp"

namespace plumkeel {

class Parking {
public:
    Parking(SchedulerContext& context, RequestLifecycle& lifecycle, const LoadTracker& load_tracker)
        : context_(context), lifecycle_(lifecycle), load_tracker_(load_tracker) {}

    /// Parks the request, or keeps it parked. If the maximum number of requests is parked, it is rejected instead.
    void park(Request& request, DecisionReason reason);
    bool has_capacity() const;

    /// Whether the function's requests have been parked for the maximum time.
    bool is_budget_exceeded(const Function& function) const;
    /// Called when the requests are retried: increases the backoff and schedules the next retry.
    void advance_backoff(Function& function);
    /// Ends the backoff when no request of the function is parked any more.
    void stop(Function& function);

private:
    void start(Function& function);
    void schedule(Function& function);

    SchedulerContext& context_;
    RequestLifecycle& lifecycle_;
    const LoadTracker& load_tracker_;
};

}  // namespace plumkeel
