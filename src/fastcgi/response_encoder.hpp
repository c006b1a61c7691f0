/// Encodes the responses to a web server as FastCGI records. Their texts are part of the client protocol. Free of I/O
/// and clocks.
#pragma once

#include "admission/admission.hpp"
#include "fastcgi/records.hpp"
#include "gateway/gateway.hpp"

namespace plumkeel::fastcgi {

/// Encodes an invoker's successful response.
std::string encode_success(std::uint16_t request_id, std::string_view body);
/// Encodes the gateway's own response to a request that was rejected or failed, by the request's state.
std::string encode_rejection(std::uint16_t request_id, const gateway::ActiveRequest& request);
/// Encodes the response to a request that admission rejected. `retry_after` is sent if a retry may succeed.
std::string encode_admission_rejection(std::uint16_t request_id, RejectionReason reason, Time retry_after);
std::string encode_health(std::uint16_t request_id, bool is_closing);
/// Encodes the header lines of a response whose body is streamed.
std::string encode_stream_begin(std::uint16_t request_id, unsigned status);

}  // namespace plumkeel::fastcgi
