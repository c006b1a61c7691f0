/// \file
/// The command `plumkeel trace`, which reads traces.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace plumkeel::cli {

/// Adds `trace` with its commands. The returned function runs the one that was given and returns the exit status; it
/// throws trace::TraceError or ConfigError.
std::function<int()> add_trace(CLI::App& app);

}  // namespace plumkeel::cli
