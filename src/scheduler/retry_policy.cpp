#include "scheduler/retry_policy.hpp"

#include <algorithm>

namespace plumkeel {
namespace {

/// From when on the invoker may have forgotten the attempt's idempotency key. The clocks of the invoker and the host
/// may each be off by one unit of their resolution.
Time key_expiry(const Request& request, const Attempt& attempt, const Capabilities& capabilities) {
    return attempt.sent_at + request.request_class->deduplication_window - 2 * capabilities.clock_resolution;
}

bool certainly_never_ran(const Attempt& attempt) {
    return !attempt.in_flight && never_ran(*attempt.outcome);
}

/// Whether the second invoker recognises idempotency keys that the first invoker has seen.
bool recognises_keys_of(DeduplicationScope scope, const Invoker& first, const Invoker& second) {
    if (scope == DeduplicationScope::zone) return first.zone == second.zone;
    if (scope == DeduplicationScope::cell) return first.cell == second.cell;
    return true;
}

/// Before when the request may be sent to this invoker in addition to `earlier`, one of its attempts.
Time deadline_after(const Request& request, const Attempt& earlier, const Invoker& invoker,
                    const Capabilities& capabilities) {
    if (certainly_never_ran(earlier)) return Time::max();
    if (earlier.in_flight && !capabilities.hedging) return Time::min();
    const RequestClass& request_class = *request.request_class;
    if (request_class.idempotency == Idempotency::idempotent) return Time::max();
    if (request_class.idempotency == Idempotency::at_most_once) return Time::min();
    if (!recognises_keys_of(request_class.deduplication_scope, *earlier.invoker, invoker)) return Time::min();
    return key_expiry(request, earlier, capabilities);
}

}  // namespace

Time latest_response_at(const Request& request, const Capabilities& capabilities) {
    return request.deadline - 2 * capabilities.clock_resolution;
}

bool may_attempt(const Request& request, const Invoker& invoker, Time now, const Capabilities& capabilities) {
    // The timer of an attempt that begins from then on would be due at once, and end the attempt before it is sent.
    if (request.is_completed() || now >= latest_response_at(request, capabilities)) return false;
    if (static_cast<int>(request.attempts.size()) >= capabilities.max_attempts) return false;
    return std::ranges::all_of(request.attempts, [&](const Attempt& earlier) {
        return now < deadline_after(request, earlier, invoker, capabilities);
    });
}

bool may_run_again(const Request& request, Time now, const Capabilities& capabilities) {
    return std::ranges::all_of(request.attempts, [&](const Attempt& earlier) {
        return now < deadline_after(request, earlier, *earlier.invoker, capabilities);
    });
}

Time send_deadline(const Attempt& attempt, const Capabilities& capabilities) {
    const Request& request = *attempt.request;
    if (request.is_completed() || !attempt.invoker->ready || !attempt.invoker->is_listed) return Time::min();
    Time deadline = request.deadline;
    for (const Attempt& other : request.attempts)
        if (&other != &attempt)
            deadline = std::min(deadline, deadline_after(request, other, *attempt.invoker, capabilities));
    return deadline;
}

bool may_reject(const Request& request, Time now, const Capabilities& capabilities) {
    const RequestClass& request_class = *request.request_class;
    if (request_class.idempotency == Idempotency::idempotent) return true;
    for (const Attempt& attempt : request.attempts) {
        if (certainly_never_ran(attempt)) continue;
        if (request_class.idempotency == Idempotency::at_most_once) return false;
        if (request_class.deduplication_scope != DeduplicationScope::global) return false;
        if (now >= key_expiry(request, attempt, capabilities)) return false;
    }
    return true;
}

bool failed_at(const Request& request, const Invoker& invoker) {
    return std::ranges::any_of(request.attempts, [&](const Attempt& attempt) {
        return attempt.invoker == &invoker && attempt.outcome == AttemptOutcome::failed;
    });
}

}  // namespace plumkeel
