/// The configuration file that the platform gives a controller at its start. It is decoded and checked once, and yields
/// the gateway's configuration, limits derived from the process's resources, and settings of the platform's protocols.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/gateway_config.hpp"
#include "discovery/frame_decoder.hpp"
#include "invoker_protocol/connection_pool.hpp"
#include "net/event_loop.hpp"

namespace plumkeel::platform {

struct PlatformConfig {
    GatewayConfig gateway;
    std::uint64_t seed{};
    std::size_t descriptors{};  ///< File descriptors that the process may open.
    std::size_t memory_mb{};    ///< Resident memory that the process may use.
    net::Address discovery;     ///< Address of the discovery service.
    std::vector<discovery::WatchEvent> initial_events;
    std::uint64_t last_known_event{};  ///< Number of the last discovery event in the file.
    discovery::LabelTable labels;
    invoker_protocol::ResponseOptions response_options;
};

/// Reads and checks the configuration file. Throws `platform_settings::SettingsError` if the file can't be read, is not
/// a JSON object, or has a missing or invalid field; the message names the file, and the field
/// if one is at fault.
PlatformConfig load_platform_config(const std::string& file);

}  // namespace plumkeel::platform
