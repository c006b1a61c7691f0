#include "scheduler/cached_copies.hpp"

#include <algorithm>
#include <utility>

namespace plumkeel {
namespace {

/// A response that took less than this share of the function's load time did not wait for a load.
constexpr double max_load_time_share_without_load = 0.5;

}  // namespace

CachedFunction& CachedCopies::get_or_add(Function& function, Invoker& invoker) {
    if (CachedFunction* existing = find(function, invoker)) return *existing;
    invoker.functions.push_back(&function);
    CachedFunction& copy = function.cached_copies.add(invoker);
    context_.functions.replicated.set(function, function.cached_copies.size() > 1);
    return copy;
}

int CachedCopies::concurrency(const Function& function, const CachedFunction* copy) {
    return function.copy_concurrency() * std::max(1, copy ? copy->copies : 1);
}

void CachedCopies::set_expiry(Function& function, CachedFunction& copy, Time expires_at) {
    copy.expires_at = expires_at;
    context_.functions.schedule_review(function, std::max(expires_at, context_.now));
}

void CachedCopies::extend_expiry(Function& function, CachedFunction& copy) {
    set_expiry(function, copy, context_.now + context_.capabilities.keep_alive);
}

void CachedCopies::mark_unloaded(Function& function, CachedFunction& copy) {
    set_expiry(function, copy, Time{});
    copy.copies = 0;
}

void CachedCopies::expire(Function& function, const Invoker& invoker) {
    if (CachedFunction* copy = find(function, invoker)) set_expiry(function, *copy, Time{});
}

void CachedCopies::unload_all(Invoker& invoker) {
    for (Function* function : invoker.functions) mark_unloaded(*function, *find(*function, invoker));
}

void CachedCopies::attempt_sent(Function& function, CachedFunction& copy) {
    const Time now = context_.now;
    if (++copy.in_flight >= copy.peak_in_flight || now - copy.peak_reached_at > context_.capabilities.keep_alive) {
        copy.peak_in_flight = copy.in_flight;
        copy.peak_reached_at = now;
    }
    const int concurrency = function.copy_concurrency();
    const int copies_in_use = (copy.peak_in_flight + concurrency - 1) / concurrency;
    copy.copies = std::max(1, std::min(copy.copies, copies_in_use));
}

void CachedCopies::attempt_ended(Function& function, const Invoker& invoker) {
    CachedFunction* copy = find(function, invoker);
    if (!copy || copy->in_flight <= 0) return;
    if (--copy->in_flight == 0 && copy->expires_at <= context_.now)
        context_.functions.schedule_review(function, context_.now);
}

void CachedCopies::learn_from_success(const Attempt& attempt, LoadEvent load_event, int concurrent_requests,
                                      double duration_s, double load_time_s) {
    Function& function = *attempt.request->function;
    CachedFunction& copy = get_or_add(function, *attempt.invoker);
    extend_expiry(function, copy);
    const bool started_load = load_event == LoadEvent::started_load;
    if (started_load && attempt.expected_warm) ++copy.copies;
    // More requests ran than the estimated copies can run, and none waited for a load: other controllers' requests made
    // the invoker load a further copy.
    const bool over_concurrency = concurrent_requests + 1 > copy.copies * function.copy_concurrency();
    if (!started_load && over_concurrency && duration_s < max_load_time_share_without_load * load_time_s) ++copy.copies;
}

void CachedCopies::record_preload(Function& function, Invoker& invoker, int copies) {
    CachedFunction& copy = get_or_add(function, invoker);
    extend_expiry(function, copy);
    copy.copies = std::max(1, copies);
    copy.peak_in_flight = copy.copies * function.copy_concurrency();
    copy.peak_reached_at = context_.now;
}

void CachedCopies::erase_expired(Function& function) {
    function.cached_copies.erase_if([&](const CachedFunction& copy) {
        const bool expired = copy.in_flight == 0 && copy.expires_at <= context_.now;
        if (expired) std::erase(copy.invoker->functions, &function);
        return expired;
    });
    context_.functions.replicated.set(function, function.cached_copies.size() > 1);
}

void CachedCopies::erase_all(Invoker& invoker) {
    for (Function* function : std::exchange(invoker.functions, {})) {
        function->cached_copies.erase_if([&](const CachedFunction& copy) { return copy.invoker == &invoker; });
        context_.functions.replicated.set(*function, function->cached_copies.size() > 1);
    }
}

}  // namespace plumkeel
