#include "scheduler/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "scheduler/retry_policy.hpp"

namespace plumkeel {
namespace {

constexpr std::size_t min_homes = 2;            // candidates wanted among a function's home invokers
constexpr std::size_t further_homes = 1;        // scored beyond the wanted ones where some can't take the request
constexpr std::size_t max_examined = 64;        // invokers for one request, of a larger fleet
constexpr std::size_t max_homes_examined = 48;  // of these, home invokers
constexpr double home_share_factor = 2.2;       // more of the fleet for a function than its part of the requests
constexpr double unseen_arrivals = 0.5;         // that any function counts for right after the scheduler's start
constexpr double min_arrivals = 20;             // fewer in all tell nothing of a function's part
constexpr double warm_arrivals = 3;             // of other controllers at each home in a keep-alive: it stays warm
constexpr double second_home_bias = 1.15;  // a second home that needs a load must be this much better than the first
constexpr double min_tie_s = 0.002;
constexpr double tie_run_share = 0.2;           // of a run's time
constexpr double replica_contention = 0.2;      // of the latency target: from here on a further copy is looked for
constexpr double max_target_contention = 0.05;  // and what there may be at its invoker

}  // namespace

PlacementChoice Placement::choose(Request& request) {
    slow_start_.finish_expired();
    context_.trace.clear_candidates();
    ++context_.work.placements;
    Search search = start_search(request);
    search_homes(search);
    search_cached_copies(search);
    search_replica_target(search);
    return search.best;
}

// docs/design.md, exception "homes": as many home invokers as the function's part of all requests asks of the fleet.
// Where all controllers together send a home some requests in each keep-alive, it is taken to be warm. A controller
// that has just started can't tell a popular function yet: all of them would try the first home.
Placement::Search Placement::start_search(Request& request) const {
    Search search{request, *request.function};
    const double all_arrivals = arrivals_.recent_arrivals();
    const double unseen = all_arrivals < min_arrivals ? unseen_arrivals : 0.0;
    const double arrivals = std::max(unseen, search.function.recent_arrivals - 1);
    const double share = arrivals / std::max(all_arrivals, min_arrivals);
    const double homes = share * home_share_factor * static_cast<double>(context_.fleet.size());
    search.shared_homes = std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(homes)));
    search.wanted_homes = std::max(min_homes, search.shared_homes);
    const Capabilities& capabilities = context_.capabilities;
    const double others_per_s = arrivals / arrivals_.span_s() * (capabilities.controller_count - 1);
    search.shared_homes_are_warm =
        others_per_s * in_seconds(capabilities.keep_alive) > warm_arrivals * static_cast<double>(search.shared_homes);
    // The more controllers choose on the same reports, the wider a tie: else all take the same invoker.
    const double others_share = 1 - 1.0 / std::max(1, capabilities.controller_count);
    search.tie_s = std::max(min_tie_s, tie_run_share * search.function.run_time_s * others_share);
    search.is_bounded = context_.placement_index.size() > max_examined;
    search.examinations_left = search.is_bounded ? max_examined : std::numeric_limits<std::size_t>::max();
    return search;
}

void Placement::search_homes(Search& search) {
    const std::size_t listed = context_.placement_index.size();
    if (search.is_bounded && std::min(search.wanted_homes, listed) > max_homes_examined) return sample_homes(search);
    const std::size_t max_position = search.is_bounded ? max_homes_examined : listed;
    while (search.next_position < max_position && search.homes_scored < search.wanted_homes + further_homes &&
           search.homes_accepted < search.wanted_homes)
        score_home(search, examine_home(search, search.next_position++));
}

// docs/design.md, exception "sample": of more homes than a placement may examine, one is drawn from each of as many
// equal parts. The best of a few random ones is nearly as good as the best of all (Mitzenmacher, "The power of two
// choices").
void Placement::sample_homes(Search& search) {
    const std::size_t homes = std::min(search.wanted_homes, context_.placement_index.size());
    const double part = static_cast<double>(homes) / max_homes_examined;
    search.next_position = homes;
    for (std::size_t i = 0; i < max_homes_examined; ++i) {
        const double position = (static_cast<double>(i) + context_.random_unit()) * part;
        score_home(search, examine_home(search, static_cast<std::size_t>(position)));
    }
}

/// The invoker at this position of the order of homes; null where it may not be sent anything now.
Invoker* Placement::examine_home(Search& search, std::size_t position) {
    Function& function = search.function;
    const std::size_t known = function.homes.first.size();
    const std::size_t needed = std::max(search.next_position, position < known ? position + 1 : 2 * (position + 1));
    Invoker* const invoker = context_.placement_index.find(function.hash, function.homes, needed)[position].invoker;
    if (!examine(search, *invoker)) return nullptr;
    search.eligible.push_back(invoker);
    return invoker;
}

bool Placement::examine(Search& search, Invoker& invoker) {
    --search.examinations_left;
    ++context_.work.examined;
    const ExclusionReason exclusion = exclusion_of(invoker);
    if (exclusion != ExclusionReason::none && search.homes_accepted < min_homes)
        context_.trace.add_candidate({&invoker, 0, 0, false, exclusion});
    return exclusion == ExclusionReason::none;
}

/// Whether anything keeps the invoker from being sent any request now.
ExclusionReason Placement::exclusion_of(Invoker& invoker) {
    if (slow_start_.allows_attempt(invoker)) return outliers_.exclusion(invoker);
    return invoker.ready ? ExclusionReason::slow_start_budget : ExclusionReason::not_ready;
}

/// Whether anything keeps the invoker from being sent this request.
ExclusionReason Placement::exclusion_for(const Request& request, const Invoker& invoker, bool is_warm) const {
    if (!may_attempt(request, invoker, context_.now, context_.capabilities)) return ExclusionReason::not_retryable;
    if (capacity_.is_backing_off(invoker) && !outliers_.is_panic_mode()) return ExclusionReason::recently_rejected;
    if (capacity_.is_full(invoker) && !is_warm) return ExclusionReason::no_capacity;
    return ExclusionReason::none;
}

// One that has no capacity now counts as scored all the same: else, when memory is short, every function is tried at
// every invoker, and what waits there for capacity keeps out the rest (quito's big-2 with few invokers).
void Placement::score_home(Search& search, Invoker* invoker) {
    if (!invoker) return;
    const bool assumed_warm = search.shared_homes_are_warm && search.homes_accepted < search.shared_homes;
    const double load_bias = search.homes_accepted ? second_home_bias : 1;
    search.homes_accepted += score(search, *invoker, load_bias, assumed_warm);
    ++search.homes_scored;
    invoker->scored_in = context_.work.placements;
}

/// False where the invoker can't take this request.
bool Placement::score(Search& search, Invoker& invoker, double load_bias, bool assumed_warm) {
    const Request& request = search.request;
    Function& function = search.function;
    assumed_warm = assumed_warm && !invoker.slow_start.since;
    const CachedFunction* const copy = CachedCopies::find(function, invoker);
    const bool is_known_warm = copy && copy->expires_at > context_.now;
    const ExclusionReason exclusion = exclusion_for(request, invoker, assumed_warm || is_known_warm);
    if (exclusion != ExclusionReason::none) {
        context_.trace.add_candidate({&invoker, 0, 0, assumed_warm, exclusion});
        return false;
    }
    ++context_.work.scored;
    CompletionEstimate estimate = estimator_.estimate(function, invoker, copy, assumed_warm);
    if (!estimate.is_warm) estimate.finish_s += (load_bias - 1) * load_.load_time_s(function);
    if (failed_at(request, invoker)) estimate.finish_s += in_seconds(request.request_class->latency_target);
    context_.trace.add_candidate(
        {&invoker, estimate.finish_s, estimate.contention_s, estimate.is_warm, ExclusionReason::none});
    keep_better(search, invoker, estimate);
    return true;
}

/// Of candidates that tie each is kept with the same probability.
void Placement::keep_better(Search& search, Invoker& invoker, const CompletionEstimate& estimate) {
    PlacementChoice& best = search.best;
    const bool is_better = !best.invoker || estimate.finish_s < best.estimate.finish_s - search.tie_s;
    if (is_better) search.ties = 1;
    const bool ties = !is_better && estimate.finish_s < best.estimate.finish_s + search.tie_s;
    if (is_better || (ties && context_.random_unit() * ++search.ties < 1)) best = {&invoker, estimate, nullptr};
}

// Of more copies than a placement may examine, a run from a random position (docs/design.md, exception "sample").
void Placement::search_cached_copies(Search& search) {
    CachedFunctionTable& copies = search.function.cached_copies;
    std::size_t first = 0;
    if (copies.size() > search.examinations_left)
        first = static_cast<std::size_t>(context_.random_unit() * static_cast<double>(copies.size()));
    for (std::size_t i = 0; i < copies.size() && search.examinations_left > 0; ++i) {
        const CachedFunction& copy = copies[(first + i) % copies.size()];
        const bool is_scored = copy.invoker->scored_in == context_.work.placements;
        if (copy.expires_at <= context_.now || is_scored) continue;
        if (examine(search, *copy.invoker)) score(search, *copy.invoker, 1, false);
    }
}

// docs/design.md, exception "seed": where all candidates are overloaded, a popular function's copy may be loaded at the
// next home invoker that is not, instead of shedding. Not while copies are evicted before their time, or an invoker has
// just had no capacity: then each load evicts a copy in use, and the overload keeps itself going.
void Placement::search_replica_target(Search& search) {
    PlacementChoice& best = search.best;
    const double target_s = in_seconds(search.request.request_class->latency_target);
    if (!best.invoker || capacity_.evicts_early()) return;
    if (best.estimate.contention_s < replica_contention * target_s || is_capacity_short()) return;
    for (std::size_t i = 0; !best.replica_target; ++i) {
        while (i == search.eligible.size() && search.next_position < context_.placement_index.size() &&
               search.examinations_left > 0)
            examine_home(search, search.next_position++);
        if (i == search.eligible.size()) return;
        Invoker& invoker = *search.eligible[i];
        const CompletionEstimate estimate = estimator_.estimate(search.function, invoker, nullptr, false);
        const bool is_calm = estimate.contention_s < max_target_contention * target_s;
        if (is_calm && may_attempt(search.request, invoker, context_.now, context_.capabilities))
            best.replica_target = &invoker;
    }
}

/// Whether some invoker that could be sent something has just had no capacity.
bool Placement::is_capacity_short() {
    const std::vector<Invoker*>& full = capacity_.recently_full();
    return std::ranges::any_of(full, [&](Invoker* invoker) {
        return capacity_.is_full(*invoker) && invoker->is_listed && exclusion_of(*invoker) == ExclusionReason::none;
    });
}

}  // namespace plumkeel
