/// Checks the header fields of a client's HTTP request and converts them to a gateway::IncomingRequest. Does no I/O and
/// reads no clock.
#pragma once

#include "gateway/gateway.hpp"
#include "http/http.hpp"

namespace plumkeel::web {

using RequestParser = http::beast_http::request_parser<http::beast_http::string_body>;

/// Checks the header fields and fills `request` except for its body. The caller has set `request.function`.
RejectionReason parse_request(const RequestParser& parser, const GatewayConfig& config, const Admission& admission,
                              gateway::IncomingRequest& request);

}  // namespace plumkeel::web
