/// Encodes the HTTP requests by which a controller runs functions on an invoker, checks its health and preloads
/// functions. Does no I/O and reads no clock.
#pragma once

#include <string>
#include <string_view>

#include "gateway/edges.hpp"

namespace plumkeel::web {

/// Returns the head of the HTTP request for `call`; the caller sends the body of an attempt after it. The header fields
/// shared by all attempts of a request are encoded once and cached in ActiveRequest::encoded_suffix. An attempt states
/// the time that remains from `now` to its deadline.
std::string encode_call(gateway::UpstreamCall& call, std::string_view controller_name, net::Time now);

}  // namespace plumkeel::web
