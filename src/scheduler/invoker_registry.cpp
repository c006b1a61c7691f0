#include "scheduler/invoker_registry.hpp"

#include "scheduler/hash.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

constexpr Time delisted_invoker_lifetime = 5s;

}  // namespace

void InvokerRegistry::apply(const std::vector<Invoker*>& changed_invokers, bool is_complete) {
    ++lists_applied_;
    for (Invoker* invoker : changed_invokers) invoker->last_list_number = lists_applied_;
    if (is_complete) {
        context_.fleet.for_each([&](Invoker& invoker) {
            if (invoker.last_list_number != lists_applied_) delist(invoker);
        });
    }
    for (Invoker* invoker : changed_invokers) add_or_update(*invoker);
}

void InvokerRegistry::add_or_update(Invoker& invoker) {
    const bool has_restarted =
        invoker.is_registered && invoker.started_at && invoker.started_at != invoker.previous_started_at;
    if (!invoker.is_registered) initialize(invoker);
    if (has_restarted) assume_restarted(invoker);
    invoker.previous_started_at = invoker.started_at;
    invoker.is_listed = true;
    context_.placement_index.put(invoker, invoker.hash, context_.placement_weight(invoker));
    context_.fleet.set_delisted(invoker, false);
    // If a restart was observed after the start time in the list, the slow start keeps the observed time.
    const std::optional<Time>& since = invoker.slow_start.since;
    const bool started_recently =
        invoker.started_at && context_.now - *invoker.started_at < context_.rules.slow_start_duration;
    if (started_recently && (!since || *since < *invoker.started_at)) slow_start_.begin(invoker, *invoker.started_at);
    if (since) context_.fleet.set_slow_start(invoker, *since);
    context_.refresh_fleet_entry(invoker);
}

void InvokerRegistry::initialize(Invoker& invoker) {
    invoker.is_registered = true;
    invoker.hash = hash_of(invoker.name);
    load_estimator_.initialize_factors(invoker);
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
    ++release_round_;
    std::vector<Invoker*> candidates = context_.fleet.delisted();
    std::erase_if(candidates, [&](const Invoker* invoker) {
        const bool is_recent = context_.now - invoker->delisted_at <= delisted_invoker_lifetime;
        return is_recent || !invoker->in_flight.empty() || invoker->health.probe_pending;
    });
    if (candidates.empty()) return;
    mark_referenced();
    for (Invoker* invoker : candidates)
        if (invoker->last_referencing_round != release_round_) release(*invoker);
}

/// Marks the invokers that a load in progress or an unsettled request refers to.
void InvokerRegistry::mark_referenced() {
    for (Function* function : context_.functions.loading.members())
        function->current_load.invoker->last_referencing_round = release_round_;
    for (Function* function : context_.functions.with_parked_requests.members())
        for (const Request* request : function->parking.requests) mark_referenced(*request);
    for (Invoker* invoker : context_.fleet.to_sweep())
        for (const Attempt* attempt : invoker->in_flight) mark_referenced(*attempt->request);
}

void InvokerRegistry::mark_referenced(const Request& request) {
    for (const Attempt& attempt : request.attempts) attempt.invoker->last_referencing_round = release_round_;
}

void InvokerRegistry::release(Invoker& invoker) {
    copies_.erase_all(invoker);
    capacity_tracker_.remove(invoker);
    context_.fleet.remove(invoker);
    invoker.is_registered = false;
    context_.actions.released_invokers.push_back(&invoker);
}

}  // namespace plumkeel
