/// Reasons for rejecting a connection or a request before the scheduler receives it, and the responses to clients.
#pragma once

#include <cstddef>
#include <string_view>

namespace plumkeel {

enum class RejectionReason {
    none,  ///< admitted
    malformed,
    head_too_big,
    head_too_slow,
    no_such_path,
    no_such_request_class,
    bad_function,
    bad_field,
    idempotency_key_missing,
    remaining_time_missing,
    remaining_time_invalid,
    no_time_remaining,
    body_too_big,
    body_too_slow,
    too_many_requests,
    no_memory,
    too_many_connections,
    no_descriptors,
    unread_response,  ///< the client did not read its response
    closing,
};

constexpr std::size_t rejection_reason_count = static_cast<std::size_t>(RejectionReason::closing) + 1;

/// The response that a rejected client gets.
struct RejectionResponse {
    int status;             ///< HTTP status code
    std::string_view word;  ///< machine-readable reason in the response header, status document, metrics and log
    std::string_view text;  ///< human-readable reason in the response body
    bool is_retryable;      ///< a later request may be admitted: the response has a Retry-After header
};

const RejectionResponse& response_for(RejectionReason reason);

}  // namespace plumkeel
