// A controller on the platform: the gateway with the platform's edges round it, and the signals.
#pragma once

#include <string>

namespace plumkeel::platform {

// Serves until SIGTERM; `file` is the configuration. Returns the exit status.
// With `log_level` debug every line is written, at whatever rate.
int serve(const std::string& file, const std::string& log_level = "info");

}  // namespace plumkeel::platform
