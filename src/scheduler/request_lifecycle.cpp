#include "scheduler/request_lifecycle.hpp"

#include <algorithm>
#include <cassert>

#include "scheduler/retry_policy.hpp"

namespace plumkeel {
namespace {

/// A parked request is rejected when less than this share of the function's run time is left before its deadline.
constexpr double min_run_time_share_before_deadline = 0.7;
constexpr double min_retry_after_s = 0.3, retry_after_jitter_s = 0.4;

}  // namespace

void RequestLifecycle::receive(Request& request) {
    const Time now = context_.now;
    request.received_at = now;
    request.deadline = now + request.remaining;
    request.target_at = std::min(now + request.request_class->latency_target, request.deadline);
    ++request.function->open_requests;
}

void RequestLifecycle::transition(Request& request, RequestState to, DecisionReason reason, Attempt* attempt) {
    assert(!request.is_completed());
    const RequestState from = request.state;
    const bool is_repeated = from == RequestState::parked && to == from && request.reason == reason;
    request.state = to;
    request.reason = reason;
    if (context_.trace.records_transitions() && !is_repeated)
        context_.actions.transitions.push_back({&request, to, reason, attempt, context_.trace.candidates()});
    context_.trace.clear_candidates();
    if (from == RequestState::parked && to != RequestState::parked) leave_parking(request);
    const Time response_deadline = latest_response_at(request, context_.capabilities);
    switch (to) {
        case RequestState::received:
            break;
        case RequestState::parked:
            if (from != RequestState::parked) enter_parking(request);
            // Parked requests are rejected when a run no longer fits before the deadline.
            context_.timers.set(
                request.timer,
                response_deadline - from_seconds(request.function->run_time_s * min_run_time_share_before_deadline),
                {&request, nullptr});
            break;
        case RequestState::in_flight:
            context_.timers.set(request.timer, response_deadline, {&request, nullptr});
            break;
        case RequestState::streaming:
            context_.timers.cancel(request.timer);
            break;
        case RequestState::rejected:
        case RequestState::failed:
            context_.actions.completed.push_back(&request);
            complete(request);
            break;
        case RequestState::succeeded:
        case RequestState::cancelled:
            complete(request);
            break;
    }
}

void RequestLifecycle::enter_parking(Request& request) {
    request.function->parking.requests.push_back(&request);
    ++parked_count_;
}

void RequestLifecycle::leave_parking(Request& request) {
    std::erase(request.function->parking.requests, &request);
    --parked_count_;
}

void RequestLifecycle::complete(Request& request) {
    context_.timers.cancel(request.timer);
    --request.function->open_requests;
    if (!context_.capabilities.cancellation) return;
    for (Attempt& attempt : request.attempts)
        if (attempt.in_flight) context_.actions.to_cancel.push_back(&attempt);
}

void RequestLifecycle::reject_or_fail(Request& request, DecisionReason reason) {
    if (!may_reject(request, context_.now, context_.capabilities))
        return transition(request, RequestState::failed, reason);
    if (context_.capabilities.retry_after) request.retry_after = retry_after(request);
    transition(request, RequestState::rejected, reason);
}

Time RequestLifecycle::retry_after(const Request& request) {
    const Time max_retry_after = context_.capabilities.max_retry_after;
    // The latency target has passed, so the client is asked to wait as long as possible before it tries again.
    if (context_.now >= request.target_at) return max_retry_after;
    return std::min(from_seconds(min_retry_after_s + retry_after_jitter_s * context_.random_unit()), max_retry_after);
}

void RequestLifecycle::start_attempt(Request& request, const PlacementChoice& choice, DecisionReason reason) {
    Function& function = *request.function;
    Invoker& invoker = *choice.invoker;
    CachedFunction& copy = copies_.get_or_add(function, invoker);
    Attempt& attempt = request.attempts.emplace_back();
    attempt.request = &request;
    attempt.invoker = &invoker;
    attempt.number = static_cast<int>(request.attempts.size()) - 1;
    attempt.sent_at = context_.now;
    attempt.timeout = request.deadline - context_.now;
    attempt.in_flight = true;
    attempt.expected_warm = choice.estimate.is_warm;
    attempt.observed_warm = copies_.is_warm(&copy);
    attempt.own_concurrent_attempts = copy.in_flight;
    attempt.estimated_load = load_estimator_.estimated_load(invoker) + 1;
    if (!attempt.expected_warm && !function.current_load.invoker) {
        attempt.starts_load = true;
        load_tracker_.begin(function, invoker, false);
    }
    copies_.attempt_sent(function, copy);
    invoker.in_flight.push_back(&attempt);
    invoker.last_used_at = context_.now;
    load_estimator_.record_change(invoker, 1);
    context_.refresh_fleet_entry(invoker);
    slow_start_.record_attempt(invoker);
    context_.actions.to_send.push_back(&attempt);
    transition(request, RequestState::in_flight, reason, &attempt);
}

void RequestLifecycle::end_attempt(Attempt& attempt, AttemptOutcome outcome) {
    Invoker& invoker = *attempt.invoker;
    attempt.in_flight = false;
    attempt.outcome = outcome;
    std::erase(invoker.in_flight, &attempt);
    load_estimator_.record_change(invoker, -1);
    context_.refresh_fleet_entry(invoker);
    copies_.attempt_ended(*attempt.request->function, invoker);
}

}  // namespace plumkeel
