/// Checks the invariants of requests and attempts when an attempt is sent and when a request gets its final response.
#pragma once

#include "gateway/attempt_call.hpp"
#include "gateway/invariants.hpp"
#include "gateway/request_table.hpp"

namespace plumkeel::gateway {

/// Called when the first byte of the attempt is being sent.
void check_attempt_sent(Invariants& invariants, const AttemptCall& call, const Capabilities& capabilities, Time now);

/// Called when the request gets its final response, from an invoker or from the gateway. `lag`: the event loop's delay.
void check_final_response(Invariants& invariants, const ActiveRequest& request, Time now, Time lag);

}  // namespace plumkeel::gateway
