/// The `plumkeel platform` command: runs a platform server on sockets and handles signals.
#pragma once

#include <string>

namespace plumkeel::platform {

/// Serves until SIGTERM or SIGINT; SIGHUP loads the configuration `file` again. Returns the exit status. At `log_level`
/// debug, the rate of log lines is not limited.
int serve(const std::string& file, const std::string& log_level = "info");

}  // namespace plumkeel::platform
