#include "gateway/request_checks.hpp"

#include "gateway/endpoint_registry.hpp"
#include "trace/names.hpp"

namespace plumkeel::gateway {

using namespace std::chrono_literals;

namespace {

/// How long after its deadline a request may get its final response: 8 ms by the platform's protocol, 50 ms for
/// sockets.
constexpr Time response_grace = 58ms;

}  // namespace

void check_attempt_sent(Invariants& invariants, const AttemptCall& call, const Capabilities& capabilities, Time now) {
    const ActiveRequest& request = *call.request;
    const Attempt& attempt = *call.attempt;
    const InvokerEndpoint& endpoint = call.endpoint();
    const auto describe = [&] {
        return Invariants::Fields{{"request", request.name},
                                  {"request_id", request.id},
                                  {"attempt", attempt.number},
                                  {"invoker", endpoint.name},
                                  {"state", trace::name_of(request.state)},
                                  {"age_ms", (now - request.received_at) / 1ms},
                                  {"remaining_ms", (request.deadline - now) / 1ms}};
    };
    invariants.check(!request.is_completed() && request.sink, Invariant::attempt_after_completion, describe);
    invariants.check(now <= request.deadline && call.deadline <= request.deadline, Invariant::attempt_past_deadline,
                     describe);
    invariants.check(attempt.number < capabilities.max_attempts, Invariant::too_many_attempts, describe);
    invariants.check(endpoint.accepts_attempts(), Invariant::attempt_to_draining_endpoint, describe);
    for (const auto& other : request.calls) {
        if (other.get() == &call || !other->may_have_run()) continue;
        invariants.check(capabilities.hedging || !other->attempt->in_flight, Invariant::concurrent_attempts, describe);
        invariants.check(
            may_retry_on(*request.request_class, *other->attempt->invoker, *other->first_byte_sent_at(), endpoint, now),
            Invariant::unsafe_retry, describe);
    }
}

void check_final_response(Invariants& invariants, const ActiveRequest& request, Time now, Time lag) {
    const auto describe = [&] {
        return Invariants::Fields{{"request", request.name},
                                  {"request_id", request.id},
                                  {"state", trace::name_of(request.state)},
                                  {"attempts", request.calls.size()},
                                  {"late_ms", (now - request.deadline) / 1ms}};
    };
    // The delay of the event loop is allowed for, and so are streamed responses, which may end after the deadline.
    invariants.check(now <= request.deadline + response_grace + lag || request.streaming_call, Invariant::late_response,
                     describe);
    if (request.state != RequestState::rejected) return;
    for (const auto& call : request.calls)
        if (call->may_have_run())
            invariants.check(may_report_no_effect(*request.request_class, *call->first_byte_sent_at(), now),
                             Invariant::unproven_rejection, describe);
}

}  // namespace plumkeel::gateway
