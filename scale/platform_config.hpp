/// Addresses and settings of the processes of a platform run.
#pragma once

#include <cstdint>
#include <string>

#include "scale/platform_run.hpp"

namespace plumkeel::scale {

constexpr std::uint16_t first_controller_port = 17100, discovery_port = 17001, invoker_port = 17002;

/// 127.1.0.1 and on: all of 127.0.0.0/8 is loopback.
std::string invoker_host(std::size_t number);
/// The settings file of a controller, as JSON.
std::string controller_config(const PlatformCase& platform_case, std::size_t number);

}  // namespace plumkeel::scale
