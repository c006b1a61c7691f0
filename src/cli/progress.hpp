/// \file
/// A progress bar on the terminal.
#pragma once

#include <string>

namespace plumkeel::cli {

/// Draws on the standard error if that is a terminal, else does nothing. The bar is wiped on destruction.
class Progress {
public:
    explicit Progress(std::string label);
    ~Progress();
    Progress(const Progress&) = delete;
    Progress& operator=(const Progress&) = delete;

    /// `share` of the work is done, from 0 to 1. Draws only if the percentage has changed.
    void update(double share);

private:
    const std::string label_;
    const bool is_terminal_;
    int drawn_percent_ = -1;
};

}  // namespace plumkeel::cli
