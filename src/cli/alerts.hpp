/// The commands `alerts rules`, which prints alert rules, and `alerts test`, which evaluates them over recorded
/// samples.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace plumkeel::cli {

/// Adds `alerts` and its subcommands to the command line. The returned function runs the subcommand that was given and
/// returns the exit status.
std::function<int()> add_alerts(CLI::App& app);

}  // namespace plumkeel::cli
