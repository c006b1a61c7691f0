// An invoker of a soak run, in a process of its own: loads functions on demand, works for a while, and misbehaves as
// its slot says. What it answers can be told from what any other would.
#pragma once

#include <cstdint>
#include <string>

namespace plumkeel::soak {

struct InvokerPlan {
    std::string listen;   // host:port
    std::string record;   // file of events
    std::string control;  // file of slots
    std::uint32_t number{};
    std::uint64_t seed{};
};

int run_invoker(const InvokerPlan& plan);  // until it is killed; returns an exit status where it can't start

}  // namespace plumkeel::soak
