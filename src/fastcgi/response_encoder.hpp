/// The responses that a web server receives, as FastCGI records. Their texts are part of the platform's protocol.
/// Free of I/O and clocks.
#pragma once

#include "admission/admission.hpp"
#include "fastcgi/records.hpp"
#include "gateway/gateway.hpp"

namespace plumkeel::fastcgi {

/// An invoker's response.
std::string encode_success(std::uint16_t request_id, std::string_view body);
/// The gateway's own response to a request that it gave up, by the request's state.
std::string encode_rejection(std::uint16_t request_id, const gateway::ActiveRequest& request);
/// To a request that admission rejected. `retry_after` is sent where a later try may succeed.
std::string encode_admission_rejection(std::uint16_t request_id, RejectionReason reason, Time retry_after);
std::string encode_health(std::uint16_t request_id, bool is_closing);
/// The head of a response whose body is streamed.
std::string encode_stream_begin(std::uint16_t request_id, unsigned status);

}  // namespace plumkeel::fastcgi
