/// The machine's monotonic clock.
#pragma once

#include "net/types.hpp"

namespace plumkeel::net {

/// Time of CLOCK_MONOTONIC (clock_gettime(2)), which is comparable between processes on the machine.
inline Time machine_clock() {
    return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now().time_since_epoch());
}

}  // namespace plumkeel::net
