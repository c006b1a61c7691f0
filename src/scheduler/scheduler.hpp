/// The scheduler decides where each request runs, how long it waits and when it is given up.
///
/// One Scheduler serves one controller and shares nothing with others. Its host tells it what happens, with a call for
/// each event, and carries out the Actions that every call returns; it calls wake() at or after Actions::next_wake. The
/// scheduler does no input or output and reads no clock. The same calls give the same actions: its only randomness
/// comes from the seed.
///
/// place() is the ordinary path of a request, from top to bottom. The design it follows, and every exception to it, is
/// in docs/design.md.
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
    // Its parts refer to each other.
    Scheduler(const Scheduler&) = delete;
    Scheduler& operator=(const Scheduler&) = delete;

    /// From now on actions hold so much of the reasons; it changes no decision.
    void set_trace_detail(TraceDetail detail) { context_.trace.set_detail(detail); }
    std::size_t parked_count() const { return lifecycle_.parked_count(); }
    std::size_t function_count() const { return context_.functions.size(); }
    DecisionWork work() const;

    Actions submit(Time now, Request& request);
    /// The invoker has begun a response that streams to the client.
    Actions response_started(Time now, Attempt& attempt);
    /// `concurrent_requests`: others of the function that ran at the invoker meanwhile, by its word.
    Actions attempt_ended(Time now, Attempt& attempt, AttemptOutcome outcome, LoadEvent load_event,
                          int concurrent_requests, const LoadReport& report);
    Actions client_disconnected(Time now, Request& request);
    /// Invokers whose facts changed; with `is_complete`, all others are gone.
    Actions endpoints_changed(Time now, const std::vector<Invoker*>& changed, bool is_complete);
    /// Invokers that are gone; all others stay as they are.
    Actions endpoints_removed(Time now, const std::vector<Invoker*>& removed);
    Actions endpoint_stream_lost(Time now);
    Actions health_check_ended(Time now, Invoker& invoker, bool responded, const LoadReport& report);
    Actions preload_ended(Time now, Function& function, Invoker& invoker, AttemptOutcome outcome, int copies);
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
    ArrivalStatistics arrivals_;
    LoadEstimator load_;
    LoadBudget load_budget_;
    CachedCopies copies_;
    LoadTracker loads_;
    CapacityTracker capacity_;
    SlowStart slow_start_;
    InvokerRegistry invokers_;
    FunctionRegistry functions_;
    HealthProber prober_;
    OutlierDetection outliers_;
    CompletionEstimator estimator_;
    Placement placement_;
    LoadShedding shedding_;
    RequestLifecycle lifecycle_;
    Parking parking_;
    Time next_sweep_{};  ///< 0: before the first call
};

}  // namespace plumkeel
