#include "scale/modelled_fleet.hpp"

#include <algorithm>

namespace plumkeel::scale {
namespace {

using namespace std::chrono_literals;

constexpr Time rejection_time = 1ms;  // until an invoker without room has answered

}  // namespace

Reply ModelledFleet::attempt(Time now, std::size_t number, FunctionNumber function, Time timeout) {
    ModelledInvoker& invoker = invokers_[number];
    if (invoker.dead) return {timeout, AttemptOutcome::timed_out, LoadEvent::none, 0};
    Instance* idle = nullptr;
    int concurrent_requests = 0;
    for (Instance& instance : invoker.instances) {
        if (instance.function != function) continue;
        if (instance.busy)
            ++concurrent_requests;
        else
            idle = &instance;
    }
    if (idle) return run(invoker, *idle, now, LoadEvent::was_loaded, concurrent_requests);
    Instance* const room = make_room(invoker);
    if (!room) return {rejection_time, AttemptOutcome::rejected, LoadEvent::none, concurrent_requests};
    *room = {function, now + shape_.load, now, false};
    return run(invoker, *room, now, LoadEvent::started_load, concurrent_requests);
}

// An instance to be overwritten; null where all are busy.
ModelledFleet::Instance* ModelledFleet::make_room(ModelledInvoker& invoker) const {
    if (invoker.instances.size() < shape_.instances) return &invoker.instances.emplace_back();
    Instance* oldest = nullptr;
    for (Instance& instance : invoker.instances)
        if (!instance.busy && (!oldest || instance.used_at < oldest->used_at)) oldest = &instance;
    return oldest;
}

Reply ModelledFleet::run(ModelledInvoker& invoker, Instance& instance, Time now, LoadEvent load_event,
                         int concurrent_requests) const {
    instance.busy = true;
    ++invoker.running;
    const double contention = std::max(1.0, invoker.running / shape_.cores);
    const auto run_time = Time(static_cast<Time::rep>(static_cast<double>(shape_.run.count()) * contention));
    return {std::max(instance.ready_at - now, Time{}) + run_time, AttemptOutcome::succeeded, load_event,
            concurrent_requests};
}

void ModelledFleet::finished(Time now, std::size_t number, FunctionNumber function) {
    ModelledInvoker& invoker = invokers_[number];
    for (Instance& instance : invoker.instances) {
        if (instance.function != function || !instance.busy || instance.ready_at > now) continue;
        instance.busy = false;
        instance.used_at = now;
        --invoker.running;
        return;
    }
}

LoadReport ModelledFleet::report(std::size_t invoker) const {
    return {static_cast<double>(invokers_[invoker].running), 0.0};
}

void ModelledFleet::kill(std::size_t invoker) {
    invokers_[invoker] = {};
    invokers_[invoker].dead = true;
}

void ModelledFleet::restart(std::size_t invoker) {
    invokers_[invoker] = {};
}

std::size_t ModelledFleet::instance_count(FunctionNumber function) const {
    std::size_t count = 0;
    for (const ModelledInvoker& invoker : invokers_)
        count += static_cast<std::size_t>(
            std::count_if(invoker.instances.begin(), invoker.instances.end(),
                          [&](const Instance& instance) { return instance.function == function; }));
    return count;
}

}  // namespace plumkeel::scale
