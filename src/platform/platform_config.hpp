// What the platform tells a controller at its start, decoded once and checked: its configuration file into a
// Charter, with the bounds that follow from its limits.
#pragma once

#include <cstdint>
#include <string>

#include "config/gateway_config.hpp"
#include "discovery/frame_decoder.hpp"
#include "invoker_protocol/connection_pool.hpp"
#include "net/event_loop.hpp"

namespace plumkeel::platform {

struct PlatformConfig {
    GatewayConfig gateway;
    std::uint64_t seed{};
    std::size_t descriptors{}, memory_mb{};
    net::Address discovery;
    std::vector<discovery::WatchEvent> initial_events;
    std::uint64_t last_known_event{};  // the last event in `known`
    discovery::LabelTable labels;
    invoker_protocol::ResponseOptions response_options;
};

// Throws settings::Fault, naming file and field.
PlatformConfig load_platform_config(const std::string& file);

}  // namespace plumkeel::platform
