/// A fleet of invokers as a model: what each one has loaded, what it runs, and how it answers an attempt. It knows
/// nothing of the controllers' estimates. Assumptions: an instance runs one request at a time; an idle instance is
/// evicted for a new one, the least recently used first; runs slow down in proportion once there are more than cores; a
/// dead invoker does not answer.
#pragma once

#include <cstdint>
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

/// How an attempt ends, and when.
struct Reply {
    Time after{};
    AttemptOutcome outcome{};
    LoadEvent load_event{};
    int concurrent_requests{};  // for the function there, when it arrived
};

class ModelledFleet {
public:
    using FunctionNumber = std::uint32_t;
    explicit ModelledFleet(const FleetShape& shape) : shape_(shape), invokers_(shape.invokers) {}

    /// A dead invoker's reply comes after `timeout`, as timed out. A reply that succeeds is to be followed by
    /// finished() at its time.
    Reply attempt(Time now, std::size_t invoker, FunctionNumber function, Time timeout);
    void finished(Time now, std::size_t invoker, FunctionNumber function);
    bool answers(std::size_t invoker) const { return !invokers_[invoker].dead; }
    LoadReport report(std::size_t invoker) const;

    void kill(std::size_t invoker);
    /// A new process under the old address: nothing is loaded.
    void restart(std::size_t invoker);

    const FleetShape& shape() const { return shape_; }
    /// Of a function in the whole fleet.
    std::size_t instance_count(FunctionNumber function) const;

private:
    struct Instance {
        FunctionNumber function{};
        Time ready_at{}, used_at{};
        bool busy{};
    };
    struct ModelledInvoker {
        std::vector<Instance> instances;
        int running{};
        bool dead{};
    };
    Instance* make_room(ModelledInvoker& invoker) const;
    Reply run(ModelledInvoker& invoker, Instance& instance, Time now, LoadEvent load_event,
              int concurrent_requests) const;

    const FleetShape shape_;
    std::vector<ModelledInvoker> invokers_;
};

}  // namespace plumkeel::scale
