// A fleet of invokers as a model: what each holds loaded, what runs there, and how it answers an attempt. It knows
// nothing of the controllers' beliefs. Assumptions: an instance serves one request at a time; an idle instance gives
// way to a new one, the least recently used first; a run slows down in step once more run than there are cores; a dead
// invoker is silent.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "scheduler/types.hpp"

namespace plumkeel::scale {

struct FleetShape {
    std::size_t invokers = 100;
    std::size_t instances = 50;  // that one invoker can hold
    std::size_t zones = 27;
    double cores = 16;  // of one invoker
    Time run = std::chrono::milliseconds(200);
    Time load = std::chrono::milliseconds(800);
};

// How an attempt ends, and after which span.
struct Reply {
    Time after{};
    AttemptOutcome ending{};
    LoadEvent note{};
    int concurrent_requests{};  // other requests for the function there when it came
};

class ModelledFleet {
public:
    using FunctionNumber = std::uint32_t;
    explicit ModelledFleet(const FleetShape& shape) : shape_(shape), invokers_(shape.invokers) {}

    // A dead invoker's reply comes after `limit`, as overdue. Any other is to be followed by finished() at its time.
    Reply attempt(Time now, std::size_t invoker, FunctionNumber function, Time limit);
    void finished(Time now, std::size_t invoker, FunctionNumber function);
    bool answers(std::size_t invoker) const { return !invokers_[invoker].dead; }
    LoadReport report(std::size_t invoker) const;

    void kill(std::size_t invoker);
    // A new process under the old address: nothing is loaded.
    void restart(std::size_t invoker);

    const FleetShape& shape() const { return shape_; }
    // How many instances of the function stand in the whole fleet.
    std::size_t instances_of(FunctionNumber function) const;

private:
    struct Instance {
        FunctionNumber function{};
        Time ready{}, used{};
        bool busy{};
    };
    struct ModelledInvoker {
        std::vector<Instance> instances;
        int running{};
        bool dead{};
    };
    Instance* room_for(ModelledInvoker& invoker);
    Reply running(ModelledInvoker& invoker, Instance& instance, Time now, LoadEvent note,
                  int concurrent_requests) const;

    const FleetShape shape_;
    std::vector<ModelledInvoker> invokers_;
};

}  // namespace plumkeel::scale
