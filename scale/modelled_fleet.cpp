#include "scale/modelled_fleet.hpp"

#include <algorithm>

namespace plumkeel::scale {
namespace {

using namespace std::chrono_literals;

constexpr Time rejection_time = 1ms;  // time in which a full invoker rejects an attempt

}  // namespace

Reply ModelledFleet::attempt(Time now, std::size_t invoker_number, FunctionNumber function, Time timeout) {
    ModelledInvoker& invoker = invokers_[invoker_number];
    if (invoker.dead) return {timeout, AttemptOutcome::timed_out, LoadEvent::none, 0};
    Instance* idle_instance = nullptr;
    int concurrent_requests = 0;
    for (Instance& instance : invoker.instances) {
        if (instance.function != function) continue;
        if (instance.busy)
            ++concurrent_requests;
        else
            idle_instance = &instance;
    }
    if (idle_instance) return run(invoker, *idle_instance, now, LoadEvent::was_loaded, concurrent_requests);
    Instance* const replaceable = find_replaceable_instance(invoker);
    if (!replaceable) return {rejection_time, AttemptOutcome::rejected, LoadEvent::none, concurrent_requests};
    *replaceable = {function, now + shape_.load_duration, now, false};
    return run(invoker, *replaceable, now, LoadEvent::started_load, concurrent_requests);
}

// Returns an instance that can be replaced, or null if all instances are busy.
ModelledFleet::Instance* ModelledFleet::find_replaceable_instance(ModelledInvoker& invoker) const {
    if (invoker.instances.size() < shape_.max_instances_per_invoker) return &invoker.instances.emplace_back();
    Instance* least_recently_used = nullptr;
    for (Instance& instance : invoker.instances)
        if (!instance.busy && (!least_recently_used || instance.last_used_at < least_recently_used->last_used_at))
            least_recently_used = &instance;
    return least_recently_used;
}

Reply ModelledFleet::run(ModelledInvoker& invoker, Instance& instance, Time now, LoadEvent load_event,
                         int concurrent_requests) const {
    instance.busy = true;
    ++invoker.running_requests;
    const double slowdown = std::max(1.0, invoker.running_requests / shape_.cores_per_invoker);
    const auto run_time = Time(static_cast<Time::rep>(static_cast<double>(shape_.run_duration.count()) * slowdown));
    return {std::max(instance.ready_at - now, Time{}) + run_time, AttemptOutcome::succeeded, load_event,
            concurrent_requests};
}

void ModelledFleet::finished(Time now, std::size_t invoker_number, FunctionNumber function) {
    ModelledInvoker& invoker = invokers_[invoker_number];
    for (Instance& instance : invoker.instances) {
        if (instance.function != function || !instance.busy || instance.ready_at > now) continue;
        instance.busy = false;
        instance.last_used_at = now;
        --invoker.running_requests;
        return;
    }
}

LoadReport ModelledFleet::report(std::size_t invoker) const {
    return {static_cast<double>(invokers_[invoker].running_requests), 0.0};
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
