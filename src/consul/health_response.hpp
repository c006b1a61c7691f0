/// Parses the response of Consul's health endpoint (`/v1/health/service/NAME`) into invoker endpoints. Free of I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "gateway/endpoint.hpp"

namespace plumkeel::consul {

using gateway::Endpoint;

/// The endpoints listed, ordered by name; nothing if the body is not a JSON array. Entries without a name, host or
/// valid port and repeated names are skipped and added to `skipped`.
std::optional<std::vector<Endpoint>> parse_health_response(std::string_view body, std::size_t& skipped);

}  // namespace plumkeel::consul
