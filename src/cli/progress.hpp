/// \file
/// A progress bar on the terminal.
#pragma once

#include <string>

namespace plumkeel::cli {

/// A progress bar on standard error, drawn only if that is a terminal. The destructor erases the bar.
class Progress {
public:
    explicit Progress(std::string label);
    ~Progress();
    Progress(const Progress&) = delete;
    Progress& operator=(const Progress&) = delete;

    /// Shows that `completed_share` of the work, from 0 to 1, is done. Redraws only if the percentage has changed.
    void update(double completed_share);

private:
    const std::string label_;
    const bool is_terminal_;
    int drawn_percent_ = -1;
};

}  // namespace plumkeel::cli
