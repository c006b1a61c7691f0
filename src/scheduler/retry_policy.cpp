#include "scheduler/retry_policy.hpp"

#include <algorithm>

namespace plumkeel {
namespace {

/// Whether the invoker may have forgotten the attempt's idempotency key by now. The clocks of the invoker and the host
/// may each be off by one unit of their resolution.
bool key_may_be_forgotten(const Request& request, const Attempt& attempt, Time now, const Capabilities& capabilities) {
    const Time window = request.request_class->deduplication_window;
    return now + 2 * capabilities.clock_resolution >= attempt.sent_at + window;
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

}  // namespace

bool may_attempt(const Request& request, const Invoker& invoker, Time now, const Capabilities& capabilities) {
    if (request.is_completed() || now >= request.deadline) return false;
    if (static_cast<int>(request.attempts.size()) >= capabilities.max_attempts) return false;
    const RequestClass& request_class = *request.request_class;
    for (const Attempt& attempt : request.attempts) {
        if (certainly_never_ran(attempt)) continue;
        if (attempt.in_flight && !capabilities.hedging) return false;
        if (request_class.idempotency == Idempotency::idempotent) continue;
        if (request_class.idempotency == Idempotency::at_most_once) return false;
        if (key_may_be_forgotten(request, attempt, now, capabilities)) return false;
        if (!recognises_keys_of(request_class.deduplication_scope, *attempt.invoker, invoker)) return false;
    }
    return true;
}

bool may_reject(const Request& request, Time now, const Capabilities& capabilities) {
    const RequestClass& request_class = *request.request_class;
    if (request_class.idempotency == Idempotency::idempotent) return true;
    for (const Attempt& attempt : request.attempts) {
        if (certainly_never_ran(attempt)) continue;
        if (request_class.idempotency == Idempotency::at_most_once) return false;
        if (request_class.deduplication_scope != DeduplicationScope::global) return false;
        if (key_may_be_forgotten(request, attempt, now, capabilities)) return false;
    }
    return true;
}

bool failed_at(const Request& request, const Invoker& invoker) {
    return std::ranges::any_of(request.attempts, [&](const Attempt& attempt) {
        return attempt.invoker == &invoker && attempt.outcome == AttemptOutcome::failed;
    });
}

}  // namespace plumkeel
