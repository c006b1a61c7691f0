/// Heads of the HTTP requests by which a controller runs functions on an invoker, probes it and preloads functions.
/// Free of I/O and clocks.
#pragma once

#include <string>
#include <string_view>

#include "gateway/edges.hpp"

namespace plumkeel::web {

/// The head; the body of an attempt follows it. What all attempts of a request have in common is encoded once, and
/// kept in ActiveRequest::encoded_suffix.
std::string encode_call(gateway::UpstreamCall& call, std::string_view controller_name);

}  // namespace plumkeel::web
