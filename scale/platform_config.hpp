/// Addresses and settings of the controller processes and stubs of a platform run.
#pragma once

#include <cstdint>
#include <string>

#include "scale/platform_run.hpp"

namespace plumkeel::scale {

constexpr std::uint16_t first_controller_port = 17100, discovery_port = 17001, invoker_port = 17002;

/// The loopback address of an invoker: 127.1.0.1, 127.1.0.2 and so on.
std::string invoker_host(std::size_t invoker);
/// The contents of a controller's settings file, as JSON.
std::string controller_config(const PlatformCase& platform_case, std::size_t process_number);

}  // namespace plumkeel::scale
