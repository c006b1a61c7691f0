// What this process takes of its machine.
#pragma once

#include "net/event_loop.hpp"

namespace plumkeel::net {

struct Usage {
    std::size_t resident_kb{}, descriptors{};
    Time cpu{};
};

Usage usage();

}  // namespace plumkeel::net
