/// A model of a fleet of invokers: the functions that each invoker has loaded, the requests that it runs, and its
/// replies to attempts. Assumptions: an instance of a function runs one request at a time; the least recently used idle
/// instance is evicted to load another function; with more running requests than cores, the run time of new requests
/// grows in proportion; a dead invoker does not answer.
#pragma once

#include <cstdint>
#include <vector>

#include "scheduler/types.hpp"

namespace plumkeel::scale {

struct FleetShape {
    std::size_t invokers = 100;
    std::size_t max_instances_per_invoker = 50;
    std::size_t zones = 27;
    double cores_per_invoker = 16;
    Time run_duration = std::chrono::milliseconds(200);
    Time load_duration = std::chrono::milliseconds(800);
};

/// The result of an attempt, and the delay from the attempt to the result.
struct Reply {
    Time delay{};
    AttemptOutcome outcome{};
    LoadEvent load_event{};
    int concurrent_requests{};  // of the same function, running at the invoker when the attempt arrived
};

class ModelledFleet {
public:
    using FunctionNumber = std::uint32_t;
    explicit ModelledFleet(const FleetShape& shape) : shape_(shape), invokers_(shape.invokers) {}

    /// The reply for a dead invoker is a timeout after `timeout`. After a successful reply, call finished() at the time
    /// of the reply.
    Reply attempt(Time now, std::size_t invoker, FunctionNumber function, Time timeout);
    void finished(Time now, std::size_t invoker, FunctionNumber function);
    bool is_alive(std::size_t invoker) const { return !invokers_[invoker].dead; }
    LoadReport report(std::size_t invoker) const;

    void kill(std::size_t invoker);
    /// Replaces the invoker by a live one with no functions loaded.
    void restart(std::size_t invoker);

    const FleetShape& shape() const { return shape_; }
    /// The number of instances of a function in the whole fleet.
    std::size_t instance_count(FunctionNumber function) const;

private:
    struct Instance {
        FunctionNumber function{};
        Time ready_at{}, last_used_at{};
        bool busy{};
    };
    struct ModelledInvoker {
        std::vector<Instance> instances;
        int running_requests{};
        bool dead{};
    };
    Instance* find_replaceable_instance(ModelledInvoker& invoker) const;
    Reply run(ModelledInvoker& invoker, Instance& instance, Time now, LoadEvent load_event,
              int concurrent_requests) const;

    const FleetShape shape_;
    std::vector<ModelledInvoker> invokers_;
};

}  // namespace plumkeel::scale
