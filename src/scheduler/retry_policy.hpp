/// Whether a request may run again, and whether its client may be told that nothing took effect (safety rule 2).
#pragma once

#include "scheduler/types.hpp"

namespace plumkeel {

/// Whether the outcome proves that the function did not run.
constexpr bool never_ran(AttemptOutcome outcome) {
    return outcome == AttemptOutcome::rejected || outcome == AttemptOutcome::unreachable ||
           outcome == AttemptOutcome::never_sent || outcome == AttemptOutcome::load_failed;
}

/// The time from which a response can't reach the client before the request's deadline any more, since the clocks of
/// the host and of the client may each be off by one unit of their resolution.
Time latest_response_at(const Request& request, const Capabilities& capabilities);

/// Whether the request may be sent (again) to this invoker now, by its class, the attempt limit and its deadline.
bool may_attempt(const Request& request, const Invoker& invoker, Time now, const Capabilities& capabilities);

/// Whether some invoker may still be sent the request: false once an attempt that may have run forbids every further
/// one.
bool may_run_again(const Request& request, Time now, const Capabilities& capabilities);

/// The time before which all bytes of the attempt have to be sent: then the request's deadline passes, or an invoker
/// may forget the idempotency key of an earlier attempt. Time::min() if the attempt must not be sent at all. To be
/// asked when the attempt is sent, since an attempt may wait for a connection after the decision to send it.
Time send_deadline(const Attempt& attempt, const Capabilities& capabilities);

/// Whether a rejection, which tells the client that the request had no effect, would be true.
bool may_reject(const Request& request, Time now, const Capabilities& capabilities);

/// Whether an attempt of the request failed with an error at this invoker.
bool failed_at(const Request& request, const Invoker& invoker);

}  // namespace plumkeel
