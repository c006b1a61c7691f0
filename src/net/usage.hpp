/// Resource usage of this process.
#pragma once

#include <cstddef>

#include "net/types.hpp"

namespace plumkeel::net {

struct ResourceUsage {
    std::size_t resident_kb{};  ///< resident set size in KiB
    std::size_t descriptors{};  ///< open file descriptors
    Time cpu{};                 ///< user and system CPU time since the process started
};

/// Reads the usage from /proc/self (proc(5)) and getrusage(2); figures that cannot be read are 0.
ResourceUsage usage();

}  // namespace plumkeel::net
