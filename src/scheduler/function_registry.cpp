#include "scheduler/function_registry.hpp"

#include <algorithm>

#include "scheduler/hash.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

/// A function is released after this time without a request, a cached copy or a load.
constexpr Time unused_function_lifetime = 60s;
constexpr std::size_t max_functions = 16'384;
/// Functions that were called once are evicted before others while more than this number of them is held.
constexpr std::size_t max_called_once = max_functions / 4;
/// Bounds the search for a function to evict when a new one is registered.
constexpr std::size_t max_eviction_candidates_tried = 16;
/// Multiplied by the number of controllers, since the others' use of a copy is not visible to this one.
constexpr Time replica_idle_time_per_controller = 700ms;

}  // namespace

void FunctionRegistry::record_request(Function& function) {
    if (function.is_registered) return context_.functions.record_repeated_call(function);
    make_room();
    function.is_registered = true;
    function.hash = hash_of(function.name);
    function.run_time_s = load_estimator_.default_run_time_s();
    context_.functions.add(function);
    context_.functions.schedule_review(function, context_.now + unused_function_lifetime);
}

// Evicts unused functions until there is room for one more. If all candidates tried are in use, the limit is exceeded.
void FunctionRegistry::make_room() {
    FunctionTable& functions = context_.functions;
    for (std::size_t i = 0; functions.size() >= max_functions && i < max_eviction_candidates_tried; ++i) {
        Function& candidate = *functions.eviction_candidate(max_called_once);
        const bool has_attempts =
            std::ranges::any_of(candidate.cached_copies, [](const CachedFunction& copy) { return copy.in_flight > 0; });
        if (has_attempts || candidate.open_requests > 0 || candidate.current_load.invoker)
            functions.touch(candidate);
        else
            release(candidate);
    }
}

void FunctionRegistry::review_due() {
    for (Function* function : context_.functions.take_due_reviews(context_.now)) review(*function);
}

void FunctionRegistry::review(Function& function) {
    const Time now = context_.now;
    copies_.erase_expired(function);
    const bool is_used = function.open_requests > 0 || !function.cached_copies.empty() || function.current_load.invoker;
    if (!is_used && now - function.last_arrival > unused_function_lifetime) return release(function);
    Time next_review = std::max(function.last_arrival + unused_function_lifetime, now + Time(1));
    for (const CachedFunction& copy : function.cached_copies)
        if (copy.expires_at > now) next_review = std::min(next_review, copy.expires_at);
    context_.functions.schedule_review(function, next_review);
}

void FunctionRegistry::release(Function& function) {
    for (const CachedFunction& copy : function.cached_copies) std::erase(copy.invoker->functions, &function);
    context_.timers.cancel(function.parking.timer);
    context_.functions.remove(function);
    context_.actions.released_functions.push_back(&function);
}

void FunctionRegistry::unload_idle_replicas() {
    if (!context_.capabilities.preload || context_.capabilities.memory_price <= 0) return;
    for (Function* function : context_.functions.replicated.members()) unload_idle_replicas(*function);
}

void FunctionRegistry::unload_idle_replicas(Function& function) {
    const auto rank = [&](const CachedFunction& copy) {
        return placement_rank(function.hash, copy.invoker->hash, context_.placement_weight(*copy.invoker));
    };
    const CachedFunction* kept_copy = nullptr;
    for (const CachedFunction& copy : function.cached_copies)
        if (copies_.is_warm(&copy) && (!kept_copy || rank(copy) < rank(*kept_copy))) kept_copy = &copy;
    for (CachedFunction& copy : function.cached_copies) {
        if (&copy == kept_copy || !is_idle_replica(copy) || !slow_start_.allows_attempt(*copy.invoker)) continue;
        const Time last_used = copy.expires_at - context_.capabilities.keep_alive;
        if (last_used + replica_idle_time_per_controller * std::max(1, context_.capabilities.controller_count) >
            context_.now)
            continue;
        context_.actions.to_preload.push_back({&function, copy.invoker, 0});
        copies_.mark_unloaded(function, copy);
    }
}

bool FunctionRegistry::is_idle_replica(const CachedFunction& copy) const {
    return copies_.is_warm(&copy) && copy.in_flight == 0;
}

}  // namespace plumkeel
