/// The commands `alerts rules` and `alerts test`, which write alert rules and try them on recorded samples.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace plumkeel::cli {

/// Adds `alerts` with its commands; the returned function runs the one that was given and returns the exit status.
std::function<int()> add_alerts(CLI::App& app);

}  // namespace plumkeel::cli
