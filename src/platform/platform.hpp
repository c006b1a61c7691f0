// A controller on the platform: the gateway with the platform's edges round it, and the signals.
#pragma once

#include <string>

namespace plumkeel::platform {

// Serves until SIGTERM; `file` is the configuration. Returns the exit status.
int serve(const std::string& file);

}  // namespace plumkeel::platform
