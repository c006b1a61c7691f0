/// Writes the settings file of a controller in a soak run.
#pragma once

#include <cstdint>
#include <string>

#include "net/event_loop.hpp"
#include "soak/run_context.hpp"

namespace plumkeel::soak {

struct ControllerConfig {
    std::uint32_t number{};
    net::Address address, discovery_address;
    int descriptor_limit{};
    std::string known_endpoints_json;
};

/// Replaces `file` atomically.
void write_controller_config(const std::string& file, const ControllerConfig& config, const RunContext& context);

}  // namespace plumkeel::soak
