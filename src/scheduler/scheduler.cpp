#include "scheduler/scheduler.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

#include "scheduler/retry_policy.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

/// If a sweep is later than this, the controller's own process stalled.
constexpr Time stall_threshold = 100ms;
/// Further timers run in the next call, which is then due at once.
constexpr std::size_t max_timers_per_call = 64;
/// Limits the retries after a change of the endpoint list. Other functions wait for their next regular retry.
constexpr std::size_t max_functions_retried_per_list = 64;

}  // namespace

Scheduler::Scheduler(std::uint64_t seed, const SafetyRules& rules, const Capabilities& capabilities)
    : context_(seed, rules, capabilities),
      arrival_statistics_(context_),
      load_estimator_(context_),
      load_budget_(context_.rules),
      copies_(context_),
      load_tracker_(context_, copies_, load_estimator_),
      capacity_tracker_(context_),
      slow_start_(context_),
      invoker_registry_(context_, load_estimator_, copies_, slow_start_, capacity_tracker_),
      function_registry_(context_, load_estimator_, copies_, slow_start_),
      prober_(context_, load_estimator_),
      outlier_detection_(context_, slow_start_, prober_, invoker_registry_),
      completion_estimator_(context_, load_estimator_, copies_, slow_start_),
      placement_(context_, arrival_statistics_, load_estimator_, completion_estimator_, slow_start_, outlier_detection_,
                 capacity_tracker_),
      shedding_(context_, load_estimator_),
      lifecycle_(context_, load_estimator_, copies_, load_tracker_, slow_start_),
      parking_(context_, lifecycle_, load_tracker_) {}

DecisionWork Scheduler::work() const {
    DecisionWork result = context_.work;
    result.hashed = context_.placement_index.ranks_computed();
    result.swept = context_.fleet.visited();
    return result;
}

// Placing requests

// Sends, parks or rejects the request (docs/design.md, steps 1 to 5). Called when the request arrives, when the backoff
// of its function ends, and when an attempt ended without a response and another one is allowed.
void Scheduler::place(Request& request) {
    Function& function = *request.function;
    if (static_cast<int>(request.attempts.size()) >= context_.capabilities.max_attempts)
        return lifecycle_.reject_or_fail(request, DecisionReason::attempts_exhausted);
    if (!request.has_attempt_in_flight() && !may_run_again(request, context_.now, context_.capabilities))
        return lifecycle_.reject_or_fail(request, DecisionReason::may_have_run);
    load_tracker_.finish_overdue(function);
    PlacementChoice choice = placement_.choose(request);
    if (!choice.invoker) return parking_.park(request, DecisionReason::no_eligible_invoker);

    DecisionReason reason = DecisionReason::best_invoker;
    switch (shedding_.decide(request, choice, parking_.has_capacity())) {
        case SheddingDecision::admit:
            break;
        case SheddingDecision::park:
            return parking_.park(request, DecisionReason::overloaded);
        case SheddingDecision::reject:
            return lifecycle_.reject_or_fail(request, DecisionReason::overloaded);
        case SheddingDecision::add_replica:
            choice = {choice.replica_target, {}, nullptr};
            reason = DecisionReason::new_replica;
            break;
    }

    // Step 2 of the design: a function has one load in progress at a time. Unless a warm copy can respond in time,
    // requests wait for the load. If all copies at an invoker are fully used, a further request would only make it load
    // another copy, so the request waits for a free one.
    const bool is_at_concurrency_limit = choice.estimate.at_concurrency_limit;
    const double time_to_target_s = in_seconds(request.target_at - context_.now);
    const bool is_in_time = choice.estimate.is_warm && choice.estimate.finish_s <= time_to_target_s;
    if ((is_at_concurrency_limit || (function.current_load.invoker && !is_in_time)) && parking_.has_capacity())
        return parking_.park(
            request, is_at_concurrency_limit ? DecisionReason::concurrency_limit : DecisionReason::load_in_progress);
    send_or_preload(request, choice, reason);
}

void Scheduler::send_or_preload(Request& request, const PlacementChoice& choice, DecisionReason reason) {
    Function& function = *request.function;
    const Capabilities& capabilities = context_.capabilities;
    const bool is_warm = choice.estimate.is_warm;
    if (!is_warm && capabilities.preload && !function.current_load.invoker &&
        load_budget_.try_consume_preload(context_.now)) {
        load_tracker_.begin(function, *choice.invoker, true);
        context_.actions.to_preload.push_back({&function, choice.invoker, 1});
        return parking_.park(request, DecisionReason::preload_sent);
    }
    if (!is_warm && !capabilities.on_demand_loading)
        return parking_.park(request, DecisionReason::load_budget_exhausted);
    lifecycle_.start_attempt(request, choice, reason);
}

/// Retries the function's parked requests, oldest first. place() parks those again that still have to wait.
void Scheduler::retry_parked(Function& function) {
    const std::vector<Request*> parked_requests = function.parking.requests;
    for (Request* request : parked_requests)
        if (request->state == RequestState::parked) place(*request);
    if (function.parking.requests.empty()) parking_.stop(function);
}

/// Retries parked requests after a change of the endpoint list (docs/design.md, exception "turn").
void Scheduler::retry_all_parked() {
    for (Function* function : context_.functions.with_parked_requests.members(max_functions_retried_per_list))
        retry_parked(*function);
}

/// Ends the function's load in progress and retries its parked requests.
void Scheduler::finish_load(Function& function) {
    load_tracker_.end(function);
    retry_parked(function);
}

// Events reported by the host

Actions Scheduler::submit(Time now, Request& request) {
    begin_call(now);
    load_estimator_.initialize_run_time(*request.request_class);
    function_registry_.record_request(*request.function);
    lifecycle_.receive(request);
    if (!request.is_client_retry) prober_.record_request();
    load_budget_.record_request(now);
    arrival_statistics_.record(request);
    place(request);
    return end_call();
}

Actions Scheduler::response_started(Time now, Attempt& attempt) {
    begin_call(now);
    Request& request = *attempt.request;
    if (!request.is_completed() && request.state != RequestState::streaming)
        lifecycle_.transition(request, RequestState::streaming, DecisionReason::response_begun);
    return end_call();
}

Actions Scheduler::attempt_ended(Time now, Attempt& attempt, AttemptOutcome outcome, LoadEvent load_event,
                                 int concurrent_requests, const LoadReport& report) {
    begin_call(now);
    Request& request = *attempt.request;
    Function& function = *request.function;
    lifecycle_.end_attempt(attempt, outcome);
    load_estimator_.on_load_report(*attempt.invoker, report);
    learn_from_outcome(attempt, load_event, concurrent_requests);
    if (!request.is_completed()) continue_request(request, attempt);
    if (attempt.starts_load && function.current_load.invoker == attempt.invoker) load_tracker_.end(function);
    // A load has ended or a copy has a free slot, so parked requests may be sent. If the attempt never ran, nothing has
    // changed for them, and they wait for the next retry.
    if (!never_ran(outcome)) retry_parked(function);
    return end_call();
}

void Scheduler::learn_from_outcome(const Attempt& attempt, LoadEvent load_event, int concurrent_requests) {
    Invoker& invoker = *attempt.invoker;
    switch (*attempt.outcome) {
        case AttemptOutcome::succeeded:
            learn_from_success(attempt, load_event, concurrent_requests);
            break;
        case AttemptOutcome::rejected:
            outlier_detection_.record_success(invoker);
            capacity_tracker_.record_rejection(invoker, had_free_copy(attempt, concurrent_requests));
            break;
        case AttemptOutcome::unreachable:
            invoker_failed(invoker, true);
            break;
        case AttemptOutcome::connection_lost:
            if (outlier_detection_.record_reset(invoker)) invoker_failed(invoker, false);
            break;
        case AttemptOutcome::failed:
        case AttemptOutcome::load_failed:
            copies_.expire(*attempt.request->function, invoker);
            break;
        case AttemptOutcome::timed_out:
        case AttemptOutcome::cancelled:
            learn_from_unfinished(attempt);
            break;
        case AttemptOutcome::never_sent:
            break;
    }
}

void Scheduler::learn_from_success(const Attempt& attempt, LoadEvent load_event, int concurrent_requests) {
    outlier_detection_.attribute_errors(attempt);
    slow_start_.record_success();
    outlier_detection_.record_success(*attempt.invoker);
    const double duration_s = in_seconds(context_.now - attempt.sent_at);
    const double load_time_s = load_estimator_.load_time_s(*attempt.request->function);
    if (attempt.expected_warm && attempt.own_concurrent_attempts == 0)
        capacity_tracker_.record_expected_copy(load_event == LoadEvent::started_load);
    copies_.learn_from_success(attempt, load_event, concurrent_requests, duration_s, load_time_s);
    load_estimator_.learn_from_success(attempt, load_event);
}

void Scheduler::learn_from_unfinished(const Attempt& attempt) {
    load_estimator_.learn_from_unfinished(attempt);
    // The invoker finishes a load even if the request that started it is gone.
    Function& function = *attempt.request->function;
    Invoker& invoker = *attempt.invoker;
    const bool load_has_ended = in_seconds(context_.now - attempt.sent_at) > load_estimator_.load_time_s(function);
    if (attempt.starts_load && invoker.health.state == HealthState::healthy && load_has_ended)
        copies_.set_expiry(function, copies_.get_or_add(function, invoker),
                           context_.now + context_.capabilities.keep_alive / 2);
}

/// Decides what happens to a request without a response after one of its attempts ended.
void Scheduler::continue_request(Request& request, const Attempt& ended) {
    const Capabilities& capabilities = context_.capabilities;
    if (ended.outcome == AttemptOutcome::succeeded)
        return lifecycle_.transition(request, RequestState::succeeded, DecisionReason::response_received);
    if (request.state == RequestState::streaming)
        return lifecycle_.transition(request, RequestState::cancelled, DecisionReason::response_truncated);
    // The request continues when its other attempt ends or its function's backoff ends.
    if (request.has_attempt_in_flight() || request.state == RequestState::parked) return;
    if (context_.now >= latest_response_at(request, capabilities))
        return lifecycle_.reject_or_fail(request, DecisionReason::deadline_exceeded);
    // Step 1 of the design: the attempt never ran, so the request waits for the next retry.
    if (never_ran(*ended.outcome) && may_run_again(request, context_.now, capabilities))
        return parking_.park(request, DecisionReason::attempt_never_ran);
    // The attempt may have run. If the request may not be sent to the same invoker again, it may not be sent to any
    // other.
    if (may_attempt(request, *ended.invoker, context_.now, capabilities)) return place(request);
    lifecycle_.reject_or_fail(request, DecisionReason::may_have_run);
}

/// Whether a copy with a free slot was at the attempt's invoker, as far as this controller knows.
bool Scheduler::had_free_copy(const Attempt& attempt, int concurrent_requests) const {
    Function& function = *attempt.request->function;
    const int slots = CachedCopies::concurrency(function, CachedCopies::find(function, *attempt.invoker));
    return attempt.observed_warm && std::max(attempt.own_concurrent_attempts, concurrent_requests) < slots;
}

Actions Scheduler::client_disconnected(Time now, Request& request) {
    begin_call(now);
    if (!request.is_completed())
        lifecycle_.transition(request, RequestState::cancelled, DecisionReason::client_disconnected);
    return end_call();
}

Actions Scheduler::endpoints_changed(Time now, const std::vector<Invoker*>& changed, bool is_complete) {
    begin_call(now);
    invoker_registry_.apply(changed, is_complete);
    retry_all_parked();
    return end_call();
}

Actions Scheduler::endpoints_removed(Time now, const std::vector<Invoker*>& removed) {
    begin_call(now);
    for (Invoker* invoker : removed)
        if (invoker->is_registered) invoker_registry_.delist(*invoker);
    retry_all_parked();
    return end_call();
}

Actions Scheduler::endpoint_stream_lost(Time now) {
    begin_call(now);
    context_.actions.subscribe_endpoints = context_.capabilities.subscribes_endpoints;
    return end_call();
}

Actions Scheduler::health_check_ended(Time now, Invoker& invoker, bool responded, const LoadReport& report) {
    begin_call(now);
    InvokerHealth& health = invoker.health;
    health.probe_pending = false;
    load_estimator_.on_load_report(invoker, report);
    if (responded) outlier_detection_.record_success(invoker);
    // A missing response says nothing if the invoker has responded since the probe was sent, or if this process stalled
    // meanwhile.
    else if (health.last_response_at <= health.probed_at && health.probed_at >= context_.last_stall_end)
        invoker_failed(invoker, false);
    return end_call();
}

Actions Scheduler::preload_ended(Time now, Function& function, Invoker& invoker, AttemptOutcome outcome, int copies) {
    begin_call(now);
    const bool succeeded = outcome == AttemptOutcome::succeeded;
    const bool is_loaded = succeeded || copies > 0;
    const bool is_load_in_progress = function.current_load.invoker == &invoker;
    if (is_loaded) {
        copies_.record_preload(function, invoker, copies);
        if (is_load_in_progress && succeeded)
            load_estimator_.learn_load_time(function, in_seconds(now - function.current_load.started_at));
    }
    if (outcome == AttemptOutcome::unreachable) invoker_failed(invoker, true);
    if (outcome == AttemptOutcome::connection_lost) invoker_failed(invoker, false);
    if (outcome == AttemptOutcome::rejected) capacity_tracker_.record_rejection(invoker, false);
    if (function.current_load.invoker == &invoker) {
        // Step 3 of the design: after a failed load, requests wait for the next retry.
        if (is_loaded)
            finish_load(function);
        else
            load_tracker_.end(function);
    }
    return end_call();
}

void Scheduler::invoker_failed(Invoker& invoker, bool is_certain) {
    outlier_detection_.record_failure(invoker, is_certain);
    if (invoker.health.state == HealthState::ejected) reroute(invoker);
}

/// Sends requests in flight at an unresponsive invoker to other invokers if a second attempt is allowed. If hedging is
/// not allowed, the attempt is cancelled first.
void Scheduler::reroute(Invoker& invoker) {
    if (outlier_detection_.is_panic_mode()) return;
    // Not the attempts that finish_load() starts: those are not sent yet, so they can't be cancelled.
    const std::vector<Attempt*> unanswered = invoker.in_flight;
    for (Function* function : context_.functions.loading.members())
        if (function->current_load.invoker == &invoker) finish_load(*function);
    const Capabilities& capabilities = context_.capabilities;
    for (Attempt* attempt : unanswered) {
        Request& request = *attempt->request;
        if (request.state != RequestState::in_flight || attempt != &request.attempts.back()) continue;
        const PlacementChoice choice = placement_.choose(request);
        const bool may_be_cancelled = !capabilities.hedging && capabilities.cancellation;
        if (choice.invoker && choice.invoker != &invoker)
            lifecycle_.start_attempt(request, choice, DecisionReason::invoker_unresponsive);
        else if (may_be_cancelled && request.request_class->idempotency == Idempotency::idempotent)
            context_.actions.to_cancel.push_back(attempt);
    }
}

// Timers and periodic work

/// Called first for each event. If a sweep is long overdue, this process stalled: attempts that were in flight look
/// slow, but their invokers are not at fault (incident i544b59).
void Scheduler::begin_call(Time now) {
    context_.now = now;
    if (next_sweep_ != Time{} && now > next_sweep_ + stall_threshold) context_.last_stall_end = now;
}

Actions Scheduler::end_call() {
    if (next_sweep_ == Time{}) {
        next_sweep_ = context_.now + from_seconds(in_seconds(sweep_period) * (0.5 + context_.random_unit()));
        context_.actions.subscribe_endpoints = context_.capabilities.subscribes_endpoints;
    }
    if (context_.now >= next_sweep_) {
        next_sweep_ = context_.now + sweep_period;
        sweep();
    }
    context_.trace.clear_candidates();
    context_.actions.next_wake = std::min(next_sweep_, context_.timers.next_due());
    assert(keeps_contract(context_.actions));
    return std::exchange(context_.actions, {});
}

Actions Scheduler::wake(Time now) {
    begin_call(now);
    for (std::size_t i = 0; i < max_timers_per_call && context_.timers.is_due(now); ++i)
        run_timer(context_.timers.earliest_owner());
    return end_call();
}

void Scheduler::run_timer(const TimerQueue::Owner& owner) {
    if (owner.request) return lifecycle_.reject_or_fail(*owner.request, DecisionReason::deadline_exceeded);
    Function& function = *owner.function;
    if (parking_.is_budget_exceeded(function)) {
        parking_.stop(function);
        for (Request* request : std::vector<Request*>(function.parking.requests))
            lifecycle_.reject_or_fail(*request, DecisionReason::parking_budget_exceeded);
        return;
    }
    parking_.advance_backoff(function);
    retry_parked(function);
}

/// Does the periodic work. Its cost depends on the number of recent events and not on the size of the fleet.
void Scheduler::sweep() {
    const FleetTotals totals = context_.fleet.totals();
    for (Invoker* invoker : context_.fleet.to_sweep()) {
        if (!invoker->is_listed || !invoker->ready) continue;
        outlier_detection_.review(*invoker);
        prober_.probe_if_unresponsive(*invoker);
    }
    prober_.request_reports();
    outlier_detection_.update_panic_mode(totals);
    slow_start_.update_service_rate(static_cast<double>(totals.warm_micro_capacity) / 1e6);
    arrival_statistics_.update_decay_time();
    load_estimator_.update_mean_load(totals);
    function_registry_.unload_idle_replicas();
    capacity_tracker_.sweep();
    invoker_registry_.release_delisted();
    function_registry_.review_due();
}

}  // namespace plumkeel
