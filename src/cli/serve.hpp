/// The `serve` command: a gateway for HTTP clients and invokers on sockets.
#pragma once

#include <cstdint>
#include <optional>

#include "config/gateway_config.hpp"

namespace plumkeel::cli {

/// Serves until SIGTERM or SIGINT. `seed` sets the scheduler's random numbers; random if absent. Returns the exit
/// status.
int serve(const GatewayConfig& config, std::optional<std::uint64_t> seed);

}  // namespace plumkeel::cli
