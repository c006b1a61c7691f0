// The commands that read traces back.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace plumkeel::cli {

// Adds `trace` with its commands; the returned function runs the one that was given and returns the exit status.
// It throws trace::Fault or CharterFault.
std::function<int()> add_trace(CLI::App& app);

}  // namespace plumkeel::cli
