#include "scheduler/scheduler.hpp"

#include <algorithm>
#include <utility>

#include "scheduler/retry_policy.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

constexpr Time stall_threshold = 100ms;            // a sweep later than that: this process itself stalled
constexpr std::size_t max_timers_per_call = 64;    // the rest runs at the next call, which is due at once
constexpr std::size_t max_functions_retried = 64;  // when the endpoint list changes; others wait for their next retry

}  // namespace

Scheduler::Scheduler(std::uint64_t seed, const SafetyRules& rules, const Capabilities& capabilities)
    : context_(seed, rules, capabilities),
      arrivals_(context_),
      load_(context_),
      load_budget_(context_.rules),
      copies_(context_),
      loads_(context_, copies_, load_),
      capacity_(context_),
      slow_start_(context_),
      invokers_(context_, load_, copies_, slow_start_, capacity_),
      functions_(context_, load_, copies_, slow_start_),
      prober_(context_, load_),
      outliers_(context_, slow_start_, prober_, invokers_),
      estimator_(context_, load_, copies_, slow_start_),
      placement_(context_, arrivals_, load_, estimator_, slow_start_, outliers_, capacity_),
      shedding_(context_, load_),
      lifecycle_(context_, load_, copies_, loads_, slow_start_),
      parking_(context_, lifecycle_, loads_) {}

DecisionWork Scheduler::work() const {
    DecisionWork out = context_.work;
    out.hashed = context_.placement_index.hashed();
    out.swept = context_.fleet.examined();
    return out;
}

// ---------------------------------------------------------------- the ordinary path of a request

// Steps 1 to 5 of the design. Called when the request arrives, when a backoff of its function ends, and when its
// attempt ended without a response and it may go on.
void Scheduler::place(Request& request) {
    Function& function = *request.function;
    if (static_cast<int>(request.attempts.size()) >= context_.capabilities.max_attempts)
        return lifecycle_.reject_or_fail(request, DecisionReason::attempts_exhausted);
    loads_.finish_overdue(function);
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

    // Step 2: one load a function at a time. While it is in progress and no warm copy responds in time, requests wait
    // for it. Where all copies of an invoker are fully used, more requests there would only start more copies: they
    // wait for a free one.
    const bool is_limited = choice.estimate.at_concurrency_limit;
    const double left_s = in_seconds(request.target_at - context_.now);
    const bool is_in_time = choice.estimate.is_warm && choice.estimate.finish_s <= left_s;
    if ((is_limited || (function.load.invoker && !is_in_time)) && parking_.has_capacity())
        return parking_.park(request,
                             is_limited ? DecisionReason::concurrency_limit : DecisionReason::load_in_progress);
    send_or_preload(request, choice, reason);
}

void Scheduler::send_or_preload(Request& request, const PlacementChoice& choice, DecisionReason reason) {
    Function& function = *request.function;
    const Capabilities& capabilities = context_.capabilities;
    const bool is_warm = choice.estimate.is_warm;
    if (!is_warm && capabilities.preload && !function.load.invoker && load_budget_.try_take(context_.now)) {
        loads_.begin(function, *choice.invoker, true);
        context_.actions.to_preload.push_back({&function, choice.invoker, 1});
        return parking_.park(request, DecisionReason::preload_sent);
    }
    if (!is_warm && !capabilities.on_demand_loading)
        return parking_.park(request, DecisionReason::load_budget_exhausted);
    lifecycle_.start_attempt(request, choice, reason);
}

/// Retries the function's parked requests, oldest first; place() parks again what still has to wait.
void Scheduler::retry_parked(Function& function) {
    const std::vector<Request*> waiting = function.parking.requests;
    for (Request* request : waiting)
        if (request->state == RequestState::parked) place(*request);
    if (function.parking.requests.empty()) parking_.stop(function);
}

/// Functions whose requests wait may have somewhere to send them now (docs/design.md, exception "turn").
void Scheduler::retry_all_parked() {
    for (Function* function : context_.functions.with_parked.members(max_functions_retried)) retry_parked(*function);
}

void Scheduler::finish_load(Function& function) {
    loads_.end(function);
    retry_parked(function);
}

// ---------------------------------------------------------------- events

Actions Scheduler::submit(Time now, Request& request) {
    begin_call(now);
    load_.initialize_run_time(*request.request_class);
    functions_.record_request(*request.function);
    lifecycle_.receive(request);
    if (!request.is_client_retry) prober_.record_request();
    load_budget_.record_request(now);
    arrivals_.record(request);
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
    load_.on_load_report(*attempt.invoker, report);
    learn_from_outcome(attempt, load_event, concurrent_requests);
    if (!request.is_completed()) continue_request(request, attempt);
    if (attempt.starts_load && function.load.invoker == attempt.invoker) loads_.end(function);
    // The load is over or a copy is free. What was rejected waits for the next retry.
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
            outliers_.record_success(invoker);
            capacity_.record_rejection(invoker, had_free_copy(attempt, concurrent_requests));
            break;
        case AttemptOutcome::unreachable:
            invoker_failed(invoker, true);
            break;
        case AttemptOutcome::connection_lost:
            if (outliers_.record_reset(invoker)) invoker_failed(invoker, false);
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
    outliers_.attribute_errors(attempt);
    slow_start_.record_success();
    outliers_.record_success(*attempt.invoker);
    const double took_s = in_seconds(context_.now - attempt.sent_at);
    const double load_time_s = load_.load_time_s(*attempt.request->function);
    if (attempt.expected_warm && attempt.own_concurrent == 0)
        capacity_.record_expected_copy(load_event == LoadEvent::started_load);
    copies_.learn_from_success(attempt, load_event, concurrent_requests, took_s, load_time_s);
    load_.learn_from_success(attempt, load_event);
}

void Scheduler::learn_from_unfinished(const Attempt& attempt) {
    load_.learn_from_unfinished(attempt);
    // A load that has begun goes on without the request that wanted it.
    Function& function = *attempt.request->function;
    Invoker& invoker = *attempt.invoker;
    const bool load_has_ended = in_seconds(context_.now - attempt.sent_at) > load_.load_time_s(function);
    if (attempt.starts_load && invoker.health.state == HealthState::healthy && load_has_ended)
        copies_.set_expiry(function, copies_.get_or_add(function, invoker),
                           context_.now + context_.capabilities.keep_alive / 2);
}

/// What happens to a request that is not completed when one of its attempts has ended.
void Scheduler::continue_request(Request& request, const Attempt& ended) {
    const Capabilities& capabilities = context_.capabilities;
    if (ended.outcome == AttemptOutcome::succeeded)
        return lifecycle_.transition(request, RequestState::succeeded, DecisionReason::response_received);
    if (request.state == RequestState::streaming)
        return lifecycle_.transition(request, RequestState::cancelled, DecisionReason::response_truncated);
    // The other attempt, or the function's backoff, decides.
    if (request.has_attempt_in_flight() || request.state == RequestState::parked) return;
    if (context_.now + 2 * capabilities.clock_resolution >= request.deadline)
        return lifecycle_.reject_or_fail(request, DecisionReason::deadline_exceeded);
    // Step 1: it never ran, so it waits for the next retry.
    if (never_ran(*ended.outcome)) return parking_.park(request, DecisionReason::attempt_never_ran);
    // It may have run. Where no invoker may run it again, this one may not either.
    if (may_attempt(request, *ended.invoker, context_.now, capabilities)) return place(request);
    lifecycle_.reject_or_fail(request, DecisionReason::may_have_run);
}

/// Whether a copy with a free slot was at the attempt's invoker, as far as this controller could see.
bool Scheduler::had_free_copy(const Attempt& attempt, int concurrent_requests) const {
    Function& function = *attempt.request->function;
    const int slots = CachedCopies::concurrency(function, CachedCopies::find(function, *attempt.invoker));
    return attempt.observed_warm && std::max(attempt.own_concurrent, concurrent_requests) < slots;
}

Actions Scheduler::client_disconnected(Time now, Request& request) {
    begin_call(now);
    if (!request.is_completed())
        lifecycle_.transition(request, RequestState::cancelled, DecisionReason::client_disconnected);
    return end_call();
}

Actions Scheduler::endpoints_changed(Time now, const std::vector<Invoker*>& changed, bool is_complete) {
    begin_call(now);
    invokers_.apply(changed, is_complete);
    retry_all_parked();
    return end_call();
}

Actions Scheduler::endpoints_removed(Time now, const std::vector<Invoker*>& removed) {
    begin_call(now);
    for (Invoker* invoker : removed)
        if (invoker->is_registered) invokers_.delist(*invoker);
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
    load_.on_load_report(invoker, report);
    if (responded) outliers_.record_success(invoker);
    // Otherwise it works, and its probes are crowded out; or this process has stalled meanwhile.
    else if (health.last_response_at <= health.probed_at && health.probed_at >= context_.resumed_at)
        invoker_failed(invoker, false);
    return end_call();
}

Actions Scheduler::preload_ended(Time now, Function& function, Invoker& invoker, AttemptOutcome outcome, int copies) {
    begin_call(now);
    const bool succeeded = outcome == AttemptOutcome::succeeded;
    const bool is_loaded = succeeded || copies > 0;
    const bool is_current = function.load.invoker == &invoker;
    if (is_loaded) {
        copies_.preloaded(function, invoker, copies);
        if (is_current && succeeded) load_.learn_load_time(function, in_seconds(now - function.load.started_at));
    }
    if (outcome == AttemptOutcome::unreachable) invoker_failed(invoker, true);
    if (outcome == AttemptOutcome::connection_lost) invoker_failed(invoker, false);
    if (outcome == AttemptOutcome::rejected) capacity_.record_rejection(invoker, false);
    if (function.load.invoker == &invoker) {
        // Step 3: what could not be loaded is tried again with the next retry, not at once.
        if (is_loaded)
            finish_load(function);
        else
            loads_.end(function);
    }
    return end_call();
}

void Scheduler::invoker_failed(Invoker& invoker, bool is_certain) {
    outliers_.record_failure(invoker, is_certain);
    if (invoker.health.state == HealthState::ejected) reroute(invoker);
}

/// What is in flight at an unresponsive invoker is sent elsewhere where the rules allow a second attempt; where two at
/// once are not allowed, its attempt is cancelled first.
void Scheduler::reroute(Invoker& invoker) {
    if (outliers_.is_panic_mode()) return;
    for (Function* function : context_.functions.loading.members())
        if (function->load.invoker == &invoker) finish_load(*function);
    const Capabilities& capabilities = context_.capabilities;
    for (Attempt* attempt : std::vector<Attempt*>(invoker.in_flight)) {
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

// ---------------------------------------------------------------- time

/// Called first with every event. A sweep long overdue shows that this process itself stalled: what was in flight
/// meanwhile looks slow and says nothing of the invokers (incident i544b59).
void Scheduler::begin_call(Time now) {
    context_.now = now;
    if (next_sweep_ != Time{} && now > next_sweep_ + stall_threshold) context_.resumed_at = now;
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
    return std::exchange(context_.actions, {});
}

Actions Scheduler::wake(Time now) {
    begin_call(now);
    for (std::size_t i = 0; i < max_timers_per_call && context_.timers.is_due(now); ++i)
        run_timer(context_.timers.first());
    return end_call();
}

void Scheduler::run_timer(const TimerQueue::Owner& owner) {
    if (owner.request) return lifecycle_.reject_or_fail(*owner.request, DecisionReason::deadline_exceeded);
    Function& function = *owner.function;
    if (parking_.is_budget_exceeded(function)) {
        parking_.stop(function);
        for (Request* request : std::vector<Request*>(function.parking.requests))
            lifecycle_.reject_or_fail(*request, DecisionReason::parking_budget_exceeded);  // step 4
        return;
    }
    parking_.advance_backoff(function);
    retry_parked(function);
}

/// The periodic work: it costs what has happened since the last time, not the size of the fleet.
void Scheduler::sweep() {
    const FleetTotals totals = context_.fleet.totals();
    for (Invoker* invoker : context_.fleet.to_sweep()) {
        if (!invoker->is_listed || !invoker->ready) continue;
        outliers_.review(*invoker);
        prober_.probe_if_unresponsive(*invoker);
    }
    prober_.request_reports();
    outliers_.update_panic_mode(totals);
    slow_start_.update_service_rate(static_cast<double>(totals.warm_micro_capacity) / 1e6);
    arrivals_.update_span();
    load_.update_mean_load(totals);
    functions_.unload_idle_replicas();
    capacity_.sweep();
    invokers_.release_delisted();
    functions_.review_due();
}

}  // namespace plumkeel
