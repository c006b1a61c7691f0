#include "scale/modelled_fleet.hpp"

#include <algorithm>

namespace plumkeel::scale {

using namespace std::chrono_literals;

constexpr Time refusal = 1ms;  // until an invoker without room has said so

Reply ModelledFleet::attempt(Time now, std::size_t number, FunctionNumber function, Time limit) {
    ModelledInvoker& invoker = invokers_[number];
    if (invoker.dead) return {limit, AttemptOutcome::timed_out, LoadEvent::none, 0};
    Instance* idle = nullptr;
    int concurrent_requests = 0;
    for (Instance& instance : invoker.instances) {
        if (instance.function != function) continue;
        if (instance.busy)
            ++concurrent_requests;
        else
            idle = &instance;
    }
    if (idle) return running(invoker, *idle, now, LoadEvent::was_loaded, concurrent_requests);
    Instance* const room = room_for(invoker);
    if (!room) return {refusal, AttemptOutcome::rejected, LoadEvent::none, concurrent_requests};
    *room = {function, now + shape_.load, now, false};
    return running(invoker, *room, now, LoadEvent::started_load, concurrent_requests);
}

ModelledFleet::Instance* ModelledFleet::room_for(ModelledInvoker& invoker) {
    if (invoker.instances.size() < shape_.instances) return &invoker.instances.emplace_back();
    Instance* oldest = nullptr;
    for (Instance& instance : invoker.instances)
        if (!instance.busy && (!oldest || instance.used < oldest->used)) oldest = &instance;
    return oldest;
}

Reply ModelledFleet::running(ModelledInvoker& invoker, Instance& instance, Time now, LoadEvent note,
                             int concurrent_requests) const {
    instance.busy = true;
    ++invoker.running;
    const double crowd = std::max(1.0, invoker.running / shape_.cores);
    const auto run = Time(static_cast<Time::rep>(static_cast<double>(shape_.run.count()) * crowd));
    return {std::max(instance.ready - now, Time{}) + run, AttemptOutcome::succeeded, note, concurrent_requests};
}

void ModelledFleet::finished(Time now, std::size_t number, FunctionNumber function) {
    ModelledInvoker& invoker = invokers_[number];
    for (Instance& instance : invoker.instances) {
        if (instance.function != function || !instance.busy || instance.ready > now) continue;
        instance.busy = false;
        instance.used = now;
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

std::size_t ModelledFleet::instances_of(FunctionNumber function) const {
    std::size_t out = 0;
    for (const ModelledInvoker& invoker : invokers_)
        out += static_cast<std::size_t>(std::count_if(invoker.instances.begin(), invoker.instances.end(),
                                                      [&](const Instance& it) { return it.function == function; }));
    return out;
}

}  // namespace plumkeel::scale
