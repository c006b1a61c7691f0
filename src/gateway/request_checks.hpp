/// The invariants of requests and attempts, checked where an attempt is sent and where a request gets its final
/// response.
#pragma once

#include "gateway/attempt_call.hpp"
#include "gateway/invariants.hpp"
#include "gateway/request_table.hpp"

namespace plumkeel::gateway {

/// When the first byte of the call is being sent.
void check_attempt_sent(Invariants& invariants, const AttemptCall& call, const Capabilities& capabilities, Time now);

/// When the request gets its final response, whoever gives it. `lag`: by how much the event loop is behind.
void check_final_response(Invariants& invariants, const ActiveRequest& request, Time now, Time lag);

}  // namespace plumkeel::gateway
