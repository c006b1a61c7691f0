/// The `plumkeel platform` command: a platform server on sockets, with its signals.
#pragma once

#include <string>

namespace plumkeel::platform {

/// Serves until SIGTERM or SIGINT; SIGHUP loads the configuration `file` again. Returns the exit status. With
/// `log_level` debug, log lines are not limited in rate.
int serve(const std::string& file, const std::string& log_level = "info");

}  // namespace plumkeel::platform
