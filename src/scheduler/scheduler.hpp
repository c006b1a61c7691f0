/// The scheduler decides to which invoker each request is sent, how long it waits and when it is rejected.
///
/// One Scheduler serves one controller and shares no state with others. Its host reports each event with a call and
/// carries out the Actions that the call returns. It calls wake() at or after Actions::next_wake. The scheduler does no
/// input or output and reads no clock. The same calls give the same actions, since all randomness comes from the seed.
///
/// Scheduler::place() is the usual path of a request. The design that it follows, with all exceptions, is described in
/// docs/design.md.
#pragma once

#include "scheduler/arrival_statistics.hpp"
#include "scheduler/cached_copies.hpp"
#include "scheduler/capacity_tracker.hpp"
#include "scheduler/function_registry.hpp"
#include "scheduler/invoker_registry.hpp"
#include "scheduler/load_budget.hpp"
#include "scheduler/load_shedding.hpp"
#include "scheduler/outlier_detection.hpp"
#include "scheduler/parking.hpp"
#include "scheduler/placement.hpp"
#include "scheduler/probing.hpp"
#include "scheduler/request_lifecycle.hpp"
#include "scheduler/scheduler_context.hpp"
#include "scheduler/slow_start.hpp"

namespace plumkeel {

class Scheduler {
public:
    Scheduler(std::uint64_t seed, const SafetyRules& rules, const Capabilities& capabilities);
    // Not copyable, since its parts hold references to each other.
    Scheduler(const Scheduler&) = delete;
    Scheduler& operator=(const Scheduler&) = delete;

    /// Selects how much detail about decisions is added to actions. The detail has no influence on decisions.
    void set_trace_detail(TraceDetail detail) { context_.trace.set_detail(detail); }
    std::size_t parked_count() const { return lifecycle_.parked_count(); }
    std::size_t function_count() const { return context_.functions.size(); }
    DecisionWork work() const;

    /// A request arrived.
    Actions submit(Time now, Request& request);
    /// The invoker has begun a response, which is streamed to the client.
    Actions response_started(Time now, Attempt& attempt);
    /// An attempt ended. `concurrent_requests` is the number of other requests of the function that ran at the invoker
    /// meanwhile, as reported by the invoker.
    Actions attempt_ended(Time now, Attempt& attempt, AttemptOutcome outcome, LoadEvent load_event,
                          int concurrent_requests, const LoadReport& report);
    Actions client_disconnected(Time now, Request& request);
    /// The endpoint list was updated. `changed` holds new and changed invokers. If `is_complete`, all other invokers
    /// were removed from the list.
    Actions endpoints_changed(Time now, const std::vector<Invoker*>& changed, bool is_complete);
    /// These invokers were removed from the endpoint list; all others stay.
    Actions endpoints_removed(Time now, const std::vector<Invoker*>& removed);
    /// The subscription to the endpoint list was lost. Requests a new one if the deployment uses subscriptions.
    Actions endpoint_stream_lost(Time now);
    /// A probe ended. `responded` is false if it timed out or failed.
    Actions health_check_ended(Time now, Invoker& invoker, bool responded, const LoadReport& report);
    /// A PreloadCommand ended. `copies` is the number of copies at the invoker.
    Actions preload_ended(Time now, Function& function, Invoker& invoker, AttemptOutcome outcome, int copies);
    /// Runs the timers that are due and the periodic work.
    Actions wake(Time now);

private:
    void begin_call(Time now);
    Actions end_call();

    void place(Request& request);
    void send_or_preload(Request& request, const PlacementChoice& choice, DecisionReason reason);
    void retry_parked(Function& function);
    void retry_all_parked();
    void reroute(Invoker& invoker);
    void finish_load(Function& function);
    void invoker_failed(Invoker& invoker, bool is_certain);

    void learn_from_outcome(const Attempt& attempt, LoadEvent load_event, int concurrent_requests);
    void learn_from_success(const Attempt& attempt, LoadEvent load_event, int concurrent_requests);
    void learn_from_unfinished(const Attempt& attempt);
    void continue_request(Request& request, const Attempt& ended);
    bool had_free_copy(const Attempt& attempt, int concurrent_requests) const;

    void run_timer(const TimerQueue::Owner& owner);
    void sweep();

    SchedulerContext context_;
    ArrivalStatistics arrival_statistics_;
    LoadEstimator load_estimator_;
    LoadBudget load_budget_;
    CachedCopies copies_;
    LoadTracker load_tracker_;
    CapacityTracker capacity_tracker_;
    SlowStart slow_start_;
    InvokerRegistry invoker_registry_;
    FunctionRegistry function_registry_;
    HealthProber prober_;
    OutlierDetection outlier_detection_;
    CompletionEstimator completion_estimator_;
    Placement placement_;
    LoadShedding shedding_;
    RequestLifecycle lifecycle_;
    Parking parking_;
    Time next_sweep_{};  ///< when the next sweep is due; 0 until the first call ends
};

}  // namespace plumkeel
