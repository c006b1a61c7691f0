/// Slow start of an emulated invoker: its capacity rises after its start, and it fails if it is sent more work than a
/// multiple of its capacity.
#pragma once

#include <deque>
#include <optional>

#include "emulator/invoker_settings.hpp"

namespace plumkeel::emulator {

/// Points in time are durations since the invoker's start.
class SlowStartModel {
public:
    explicit SlowStartModel(const InvokerSettings& settings) : settings_(settings) {}

    /// In cores of speed 1.
    double capacity(Time now) const;
    /// Counts an attempt at `now`. If it overloads the invoker, returns the work of the current window in seconds.
    std::optional<double> overload_after_attempt(Time now);

private:
    const InvokerSettings& settings_;
    std::deque<Time> attempt_times_;  // arrival times of the attempts in the current window
};

}  // namespace plumkeel::emulator
