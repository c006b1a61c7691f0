/// How an emulated invoker that has just started bears its load: its capacity rises, and it fails when it is sent
/// more than a multiple of it.
#pragma once

#include <deque>
#include <optional>

#include "emulator/invoker_settings.hpp"

namespace plumkeel::emulator {

/// Times are those of the invoker's own loop, which begins at its start.
class SlowStartModel {
public:
    explicit SlowStartModel(const InvokerSettings& settings) : settings_(settings) {}

    /// In cores of speed 1.
    double capacity(Time now) const;
    /// Counts an attempt. Where that is more than the invoker bears: the seconds of work sent in the window.
    std::optional<double> overload_after_attempt(Time now);

private:
    const InvokerSettings& settings_;
    std::deque<Time> attempts_;  // of the last window
};

}  // namespace plumkeel::emulator
