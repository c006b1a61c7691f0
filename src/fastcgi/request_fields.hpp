/// Parses and checks the FastCGI parameters of a request and converts them to gateway::IncomingRequest. Free of I/O and
/// clocks.
#pragma once

#include "fastcgi/request_parser.hpp"
#include "gateway/gateway.hpp"

namespace plumkeel::fastcgi {

/// Views of the parameter values; empty where a parameter is absent.
struct RequestFields {
    std::string_view path, request_id, function, tenant, content_length, idempotency_key;
    std::string_view remaining_ms;  // time until the client's deadline
    std::string_view tags;          // hints such as "memory_mb:512;lanes:2"
    std::string_view client_retry;  // "1" if the client marked the request as a repeated one, else "0"
};

/// Parses a request's parameters; empty if the name-value pairs are malformed or a known name appears twice.
std::optional<RequestFields> parse_fields(std::string_view params);

/// Checks all fields and fills `request` except for its body. Every field is checked, since an invoker that receives a
/// malformed id or key closes the connection with all requests on it.
/// `class_name`: name of the request class, from the path. `body_bytes`: size of the received body.
RejectionReason parse_request(const RequestFields& fields, std::string_view class_name, std::size_t body_bytes,
                              const GatewayConfig& config, const AdmissionLimits& limits,
                              gateway::IncomingRequest& request);

}  // namespace plumkeel::fastcgi
