/// \file
/// The command `plumkeel trace`, which inspects, converts and replays trace files.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace plumkeel::cli {

/// Adds `trace` and its subcommands to the command line. The returned function runs the subcommand that was given and
/// returns the exit status; it throws trace::TraceError or ConfigError.
std::function<int()> add_trace(CLI::App& app);

}  // namespace plumkeel::cli
