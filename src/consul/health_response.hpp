/// Parses the response of Consul's health endpoint (`/v1/health/service/NAME`) into endpoints of invokers. Does no
/// I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "gateway/endpoint.hpp"

namespace plumkeel::consul {

using gateway::Endpoint;

/// Returns the listed endpoints ordered by name; empty if the body is not a JSON array. Entries without a name, host or
/// valid port and entries with a repeated name are skipped; their number is added to `skipped_entries`.
std::optional<std::vector<Endpoint>> parse_health_response(std::string_view body, std::size_t& skipped_entries);

}  // namespace plumkeel::consul
