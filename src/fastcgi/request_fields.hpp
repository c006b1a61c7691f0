/// The parameters by which a web server describes a request, as plumkeel's clients use them: their names, their
/// checks and their conversion to gateway::IncomingRequest. Free of I/O and clocks.
#pragma once

#include "fastcgi/request_parser.hpp"
#include "gateway/gateway.hpp"

namespace plumkeel::fastcgi {

/// Views into a request's parameters; empty where the parameter is absent.
struct RequestFields {
    std::string_view path, request_id, function, tenant, content_length, idempotency_key;
    std::string_view remaining_ms;  // of the client's time
    std::string_view tags;          // hints such as "memory_mb:512;lanes:2"
    std::string_view client_retry;  // "0" or "1"
};

/// Nothing where the name-value pairs are malformed, or a known name appears twice.
std::optional<RequestFields> parse_fields(std::string_view params);

/// Checks all fields and fills `request`, but for its body. An invoker could not read a malformed id or key, and would
/// close the connection with all requests on it: so nothing is forwarded unchecked.
/// `class_name`: of the request class, from the path. `body_bytes`: as received.
RejectionReason parse_request(const RequestFields& fields, std::string_view class_name, std::size_t body_bytes,
                              const GatewayConfig& config, const AdmissionLimits& limits,
                              gateway::IncomingRequest& request);

}  // namespace plumkeel::fastcgi
