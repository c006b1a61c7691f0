// The network before some invokers of a soak run, in a process of its own: passes bytes on, holds them up, leaves them
// unread or resets, as each invoker's slot says, and notes each attempt at the moment at which it has come whole.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace plumkeel::soak {

struct ProxyPlan {
    struct Way {
        std::string listen, to;  // host:port
        std::uint32_t invoker{};
    };
    std::vector<Way> ways;
    std::string record;   // file of events
    std::string control;  // file of slots
};

int run_proxy(const ProxyPlan& plan);  // until it is killed; returns an exit status where it can't start

}  // namespace plumkeel::soak
