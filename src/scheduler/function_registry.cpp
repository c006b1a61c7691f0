#include "scheduler/function_registry.hpp"

#include <algorithm>

#include "scheduler/hash.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

constexpr Time release_after = 60s;  // without a request, a cached copy or a load
constexpr std::size_t max_functions = 16'384;
constexpr std::size_t max_called_once = max_functions / 4;  // of these; so many are not evicted before others
constexpr std::size_t max_evictions_tried = 16;             // for one new function
constexpr Time replica_idle_time = 700ms;  // for each controller: the others, unseen here, use the copy too

}  // namespace

void FunctionRegistry::record_request(Function& function) {
    if (function.is_registered) return context_.functions.called_again(function);
    make_room();
    function.is_registered = true;
    function.hash = hash_of(function.name);
    function.run_time_s = estimator_.default_run_time_s();
    context_.functions.add(function);
    context_.functions.schedule_review(function, context_.now + release_after);
}

// So many functions are held and no more, but for those in use: of names without end, those called but once go first.
void FunctionRegistry::make_room() {
    FunctionTable& functions = context_.functions;
    for (std::size_t i = 0; functions.size() >= max_functions && i < max_evictions_tried; ++i) {
        Function& candidate = *functions.eviction_candidate(max_called_once);
        const bool has_attempts =
            std::ranges::any_of(candidate.cached_copies, [](const CachedFunction& copy) { return copy.in_flight > 0; });
        if (has_attempts || candidate.open_requests > 0 || candidate.load.invoker)
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
    const bool is_used = function.open_requests > 0 || !function.cached_copies.empty() || function.load.invoker;
    if (!is_used && now - function.last_arrival > release_after) return release(function);
    Time next = std::max(function.last_arrival + release_after, now + Time(1));
    for (const CachedFunction& copy : function.cached_copies)
        if (copy.expires_at > now) next = std::min(next, copy.expires_at);
    context_.functions.schedule_review(function, next);
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
    const CachedFunction* kept = nullptr;
    for (const CachedFunction& copy : function.cached_copies)
        if (copies_.is_warm(&copy) && (!kept || rank(copy) < rank(*kept))) kept = &copy;
    for (CachedFunction& copy : function.cached_copies) {
        if (&copy == kept || !is_idle_replica(copy) || !slow_start_.allows_attempt(*copy.invoker)) continue;
        const Time last_used = copy.expires_at - context_.capabilities.keep_alive;
        if (last_used + replica_idle_time * std::max(1, context_.capabilities.controller_count) > context_.now)
            continue;
        context_.actions.to_preload.push_back({&function, copy.invoker, 0});
        copies_.mark_unloaded(function, copy);
    }
}

bool FunctionRegistry::is_idle_replica(const CachedFunction& copy) const {
    return copies_.is_warm(&copy) && copy.in_flight == 0;
}

}  // namespace plumkeel
