/// The header fields by which a client describes a request over HTTP: their checks and their conversion to
/// gateway::IncomingRequest. Free of I/O and clocks.
#pragma once

#include "gateway/gateway.hpp"
#include "http/http.hpp"

namespace plumkeel::web {

using RequestParser = http::beast_http::request_parser<http::beast_http::string_body>;

/// Checks the fields of `parser`'s head and fills `request`, but for its body. `request.function` is set before.
RejectionReason parse_request(const RequestParser& parser, const GatewayConfig& config, const Admission& admission,
                              gateway::IncomingRequest& request);

}  // namespace plumkeel::web
