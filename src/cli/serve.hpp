/// The command `serve`, which runs a gateway that HTTP clients and invokers reach over sockets.
#pragma once

#include <cstdint>
#include <optional>

#include "config/gateway_config.hpp"

namespace plumkeel::cli {

/// Runs the gateway until SIGTERM or SIGINT. `seed` is the seed of the scheduler's random numbers; a random one is used
/// if absent. Returns the exit status.
int serve(const GatewayConfig& config, std::optional<std::uint64_t> seed);

}  // namespace plumkeel::cli
