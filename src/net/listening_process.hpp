/// Finds the process that listens on a TCP port, for error messages.
#pragma once

#include <cstdint>
#include <string>

namespace plumkeel::net {

/// Returns the process listening on the port, such as "pid 123 (plumkeel)"; empty if it is not found.
std::string listening_process(std::uint16_t port);

}  // namespace plumkeel::net
