#include "scale/modelled_fleet.hpp"

#include <algorithm>

namespace plumkeel::scale {

using namespace std::chrono_literals;

constexpr Time refusal = 1ms;  // until an invoker without room has said so

Reply ModelledFleet::attempt(Time now, std::size_t number, FunctionNumber function, Time limit) {
    ModelledInvoker& invoker = invokers_[number];
    if (invoker.dead) return {limit, Ending::overdue, Note::none, 0};
    Instance* idle = nullptr;
    int company = 0;
    for (Instance& instance : invoker.instances) {
        if (instance.function != function) continue;
        if (instance.busy)
            ++company;
        else
            idle = &instance;
    }
    if (idle) return running(invoker, *idle, now, Note::stood_loaded, company);
    Instance* const room = room_for(invoker);
    if (!room) return {refusal, Ending::turned_away, Note::none, company};
    *room = {function, now + shape_.load, now, false};
    return running(invoker, *room, now, Note::began_load, company);
}

ModelledFleet::Instance* ModelledFleet::room_for(ModelledInvoker& invoker) {
    if (invoker.instances.size() < shape_.instances) return &invoker.instances.emplace_back();
    Instance* oldest = nullptr;
    for (Instance& instance : invoker.instances)
        if (!instance.busy && (!oldest || instance.used < oldest->used)) oldest = &instance;
    return oldest;
}

Reply ModelledFleet::running(ModelledInvoker& invoker, Instance& instance, Time now, Note note, int company) const {
    instance.busy = true;
    ++invoker.running;
    const double crowd = std::max(1.0, invoker.running / shape_.cores);
    const auto run = Time(static_cast<Time::rep>(static_cast<double>(shape_.run.count()) * crowd));
    return {std::max(instance.ready - now, Time{}) + run, Ending::honoured, note, company};
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

Report ModelledFleet::report(std::size_t invoker) const {
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
