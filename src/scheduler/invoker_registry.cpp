#include "scheduler/invoker_registry.hpp"

#include "scheduler/hash.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

constexpr Time release_after = 5s;  // off the endpoint list

}  // namespace

void InvokerRegistry::apply(const std::vector<Invoker*>& changed, bool is_complete) {
    ++lists_;
    for (Invoker* invoker : changed) invoker->listed_in = lists_;
    if (is_complete) {
        context_.fleet.for_each([&](Invoker& invoker) {
            if (invoker.listed_in != lists_) delist(invoker);
        });
    }
    for (Invoker* invoker : changed) take_up(*invoker);
}

void InvokerRegistry::take_up(Invoker& invoker) {
    const bool has_restarted =
        invoker.is_registered && invoker.started_at && invoker.started_at != invoker.announced_start;
    if (!invoker.is_registered) initialize(invoker);
    if (has_restarted) assume_restarted(invoker);
    invoker.announced_start = invoker.started_at;
    invoker.is_listed = true;
    context_.placement_index.put(invoker, invoker.hash, context_.placement_weight(invoker));
    context_.fleet.set_delisted(invoker, false);
    // One seen to have started again later than the list says keeps the later start.
    const std::optional<Time>& since = invoker.slow_start.since;
    const bool is_young = invoker.started_at && context_.now - *invoker.started_at < context_.rules.slow_start_duration;
    if (is_young && (!since || *since < *invoker.started_at)) slow_start_.begin(invoker, *invoker.started_at);
    if (since) context_.fleet.set_slow_start(invoker, *since);
    context_.refresh_fleet_entry(invoker);
}

void InvokerRegistry::initialize(Invoker& invoker) {
    invoker.is_registered = true;
    invoker.hash = hash_of(invoker.name);
    estimator_.initialize_factors(invoker);
    context_.fleet.add(invoker);
}

void InvokerRegistry::delist(Invoker& invoker) {
    if (invoker.is_listed) invoker.delisted_at = context_.now;
    invoker.is_listed = invoker.ready = false;
    context_.placement_index.remove(invoker);
    context_.fleet.set_delisted(invoker, true);
    context_.refresh_fleet_entry(invoker);
    assume_restarted(invoker);
}

void InvokerRegistry::assume_restarted(Invoker& invoker) {
    copies_.unload_all(invoker);
    invoker.load_estimate.reported_load.reset();
}

void InvokerRegistry::release_delisted() {
    ++release_rounds_;
    std::vector<Invoker*> candidates = context_.fleet.delisted();
    std::erase_if(candidates, [&](const Invoker* invoker) {
        const bool is_recent = context_.now - invoker->delisted_at <= release_after;
        return is_recent || !invoker->in_flight.empty() || invoker->health.probe_pending;
    });
    if (candidates.empty()) return;
    mark_referenced();
    for (Invoker* invoker : candidates)
        if (invoker->referenced_in != release_rounds_) release(*invoker);
}

/// Marks the invokers that a load or an unsettled request refers to.
void InvokerRegistry::mark_referenced() {
    for (Function* function : context_.functions.loading.members())
        function->load.invoker->referenced_in = release_rounds_;
    for (Function* function : context_.functions.with_parked.members())
        for (const Request* request : function->parking.requests) mark_referenced(*request);
    for (Invoker* invoker : context_.fleet.to_sweep())
        for (const Attempt* attempt : invoker->in_flight) mark_referenced(*attempt->request);
}

void InvokerRegistry::mark_referenced(const Request& request) {
    for (const Attempt& attempt : request.attempts) attempt.invoker->referenced_in = release_rounds_;
}

void InvokerRegistry::release(Invoker& invoker) {
    copies_.erase_all(invoker);
    capacity_.remove(invoker);
    context_.fleet.remove(invoker);
    invoker.is_registered = false;
    context_.actions.released_invokers.push_back(&invoker);
}

}  // namespace plumkeel
