#include "scheduler/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "scheduler/retry_policy.hpp"

namespace plumkeel {
namespace {

constexpr std::size_t min_wanted_homes = 2;
/// Homes scored in addition to the wanted ones, if some of these cannot take the request.
constexpr std::size_t max_extra_homes_scored = 1;
constexpr std::size_t max_examined_per_request = 64;
constexpr std::size_t max_homes_examined_per_request = 48;
/// A function uses its share of the requests times this number as its share of the fleet.
constexpr double home_share_multiple = 2.2;
/// Right after the start of the scheduler, each function counts as having had at least this many requests.
constexpr double startup_arrivals_per_function = 0.5;
/// With fewer requests in total, a function's share of them is not known.
constexpr double min_total_arrivals = 20;
/// A home stays warm if other controllers send it more than this many requests in a keep-alive time.
constexpr double min_arrivals_per_warm_home = 3;
/// If a load is needed, homes after the first accepted one are scored with a load time multiplied by this number.
constexpr double further_home_load_time_multiple = 1.15;
constexpr double min_tie_margin_s = 0.002;
constexpr double tie_margin_run_time_share = 0.2;
/// A further copy is considered if contention takes at least this share of the latency target.
constexpr double replica_contention_share = 0.2;
/// The invoker of a further copy may have contention of less than this share of the latency target.
constexpr double max_replica_target_contention_share = 0.05;

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

// The number of home invokers is proportional to the function's share of all requests (docs/design.md, exception
// "homes"). If all other controllers together send a home enough requests in each keep-alive time, a copy is assumed to
// be warm there. A controller that has just started does not know popular functions yet: without a minimum, all new
// controllers would use only the first home.
Placement::Search Placement::start_search(Request& request) const {
    Search search{request, *request.function};
    const double all_arrivals = arrival_statistics_.recent_arrivals();
    const double startup_arrivals = all_arrivals < min_total_arrivals ? startup_arrivals_per_function : 0.0;
    const double function_arrivals = std::max(startup_arrivals, search.function.recent_arrivals - 1);
    const double function_share = function_arrivals / std::max(all_arrivals, min_total_arrivals);
    const double homes = function_share * home_share_multiple * static_cast<double>(context_.fleet.size());
    search.shared_homes = std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(homes)));
    search.wanted_homes = std::max(min_wanted_homes, search.shared_homes);
    const Capabilities& capabilities = context_.capabilities;
    const double others_per_s =
        function_arrivals / arrival_statistics_.decay_time_s() * (capabilities.controller_count - 1);
    search.shared_homes_are_warm = others_per_s * in_seconds(capabilities.keep_alive) >
                                   min_arrivals_per_warm_home * static_cast<double>(search.shared_homes);
    // The more controllers choose by the same load reports, the larger the margin, so that not all of them choose the
    // same invoker.
    const double other_controllers_share = 1 - 1.0 / std::max(1, capabilities.controller_count);
    search.tie_margin_s =
        std::max(min_tie_margin_s, tie_margin_run_time_share * search.function.run_time_s * other_controllers_share);
    search.is_examination_limited = context_.placement_index.size() > max_examined_per_request;
    search.examinations_left =
        search.is_examination_limited ? max_examined_per_request : std::numeric_limits<std::size_t>::max();
    return search;
}

void Placement::search_homes(Search& search) {
    const std::size_t listed_count = context_.placement_index.size();
    if (search.is_examination_limited && std::min(search.wanted_homes, listed_count) > max_homes_examined_per_request)
        return sample_homes(search);
    const std::size_t max_position = search.is_examination_limited ? max_homes_examined_per_request : listed_count;
    while (search.next_position < max_position && search.homes_scored < search.wanted_homes + max_extra_homes_scored &&
           search.homes_accepted < search.wanted_homes)
        score_home(search, examine_home(search, search.next_position++));
}

// If there are more homes than may be examined, they are divided into equal parts and one home is drawn from each part.
// The best of a few random invokers is nearly as good as the best of all (Mitzenmacher, "The power of two choices";
// docs/design.md, exception "sample").
void Placement::sample_homes(Search& search) {
    const std::size_t homes = std::min(search.wanted_homes, context_.placement_index.size());
    const double part_size = static_cast<double>(homes) / max_homes_examined_per_request;
    search.next_position = homes;
    for (std::size_t i = 0; i < max_homes_examined_per_request; ++i) {
        const double position = (static_cast<double>(i) + context_.random_unit()) * part_size;
        score_home(search, examine_home(search, static_cast<std::size_t>(position)));
    }
}

/// Examines the invoker at a position in the order of homes; returns null if it may not be sent attempts now.
Invoker* Placement::examine_home(Search& search, std::size_t position) {
    Function& function = search.function;
    const std::size_t ranked_count = function.homes.ranked.size();
    const std::size_t wanted_count =
        std::max(search.next_position, position < ranked_count ? position + 1 : 2 * (position + 1));
    Invoker* const invoker =
        context_.placement_index.find(function.hash, function.homes, wanted_count)[position].invoker;
    if (!examine(search, *invoker)) return nullptr;
    search.eligible_homes.push_back(invoker);
    return invoker;
}

bool Placement::examine(Search& search, Invoker& invoker) {
    --search.examinations_left;
    ++context_.work.examined;
    const ExclusionReason exclusion = exclusion_of(invoker);
    if (exclusion != ExclusionReason::none && search.homes_accepted < min_wanted_homes)
        context_.trace.add_candidate({&invoker, 0, 0, false, exclusion});
    return exclusion == ExclusionReason::none;
}

/// Why the invoker may not be sent any request now, or `none`.
ExclusionReason Placement::exclusion_of(Invoker& invoker) {
    if (slow_start_.allows_attempt(invoker)) return outlier_detection_.exclusion(invoker);
    return invoker.ready ? ExclusionReason::slow_start_budget : ExclusionReason::not_ready;
}

/// Why the invoker may not be sent this request, or `none`.
ExclusionReason Placement::exclusion_for(const Request& request, const Invoker& invoker, bool is_warm) const {
    if (!may_attempt(request, invoker, context_.now, context_.capabilities)) return ExclusionReason::not_retryable;
    if (capacity_tracker_.is_backing_off(invoker) && !outlier_detection_.is_panic_mode())
        return ExclusionReason::recently_rejected;
    if (capacity_tracker_.is_full(invoker) && !is_warm) return ExclusionReason::no_capacity;
    return ExclusionReason::none;
}

// A home without capacity still counts as scored. Otherwise, when memory is short, each function would be tried at
// every invoker, and requests waiting for capacity would fill the queues of all invokers (bench day "big-2" of the site
// quito-lector with few invokers).
void Placement::score_home(Search& search, Invoker* invoker) {
    if (!invoker) return;
    const bool assumed_warm = search.shared_homes_are_warm && search.homes_accepted < search.shared_homes;
    const double load_time_multiple = search.homes_accepted ? further_home_load_time_multiple : 1;
    search.homes_accepted += score(search, *invoker, load_time_multiple, assumed_warm);
    ++search.homes_scored;
    invoker->last_scored_placement = context_.work.placements;
}

/// Adds the invoker to the candidates; returns false if it may not be sent this request.
bool Placement::score(Search& search, Invoker& invoker, double load_time_multiple, bool assumed_warm) {
    const Request& request = search.request;
    Function& function = search.function;
    assumed_warm = assumed_warm && !invoker.slow_start.since;
    const CachedFunction* const copy = CachedCopies::find(function, invoker);
    const bool is_observed_warm = copy && copy->expires_at > context_.now;
    const ExclusionReason exclusion = exclusion_for(request, invoker, assumed_warm || is_observed_warm);
    if (exclusion != ExclusionReason::none) {
        context_.trace.add_candidate({&invoker, 0, 0, assumed_warm, exclusion});
        return false;
    }
    ++context_.work.scored;
    CompletionEstimate estimate = completion_estimator_.estimate(function, invoker, copy, assumed_warm);
    if (!estimate.is_warm) estimate.finish_s += (load_time_multiple - 1) * load_estimator_.load_time_s(function);
    if (failed_at(request, invoker)) estimate.finish_s += in_seconds(request.request_class->latency_target);
    context_.trace.add_candidate(
        {&invoker, estimate.finish_s, estimate.contention_s, estimate.is_warm, ExclusionReason::none});
    keep_better(search, invoker, estimate);
    return true;
}

/// Keeps the better of two candidates. Among equally good candidates, each is kept with the same probability.
void Placement::keep_better(Search& search, Invoker& invoker, const CompletionEstimate& estimate) {
    PlacementChoice& best = search.best;
    const bool is_better = !best.invoker || estimate.finish_s < best.estimate.finish_s - search.tie_margin_s;
    if (is_better) search.tied_candidates = 1;
    const bool is_tied = !is_better && estimate.finish_s < best.estimate.finish_s + search.tie_margin_s;
    if (is_better || (is_tied && context_.random_unit() * ++search.tied_candidates < 1))
        best = {&invoker, estimate, nullptr};
}

// If there are more copies than may be examined, those from a random position on are examined.
void Placement::search_cached_copies(Search& search) {
    CachedFunctionTable& copies = search.function.cached_copies;
    std::size_t first = 0;
    if (copies.size() > search.examinations_left)
        first = static_cast<std::size_t>(context_.random_unit() * static_cast<double>(copies.size()));
    for (std::size_t i = 0; i < copies.size() && search.examinations_left > 0; ++i) {
        const CachedFunction& copy = copies[(first + i) % copies.size()];
        const bool is_scored = copy.invoker->last_scored_placement == context_.work.placements;
        if (copy.expires_at <= context_.now || is_scored) continue;
        if (examine(search, *copy.invoker)) score(search, *copy.invoker, 1, false);
    }
}

// If all candidates are overloaded, a further copy of a popular function may be loaded at the next home invoker that is
// not overloaded, instead of shedding requests (docs/design.md, exception "seed"). This is not done while memory is
// short: each load would then evict a copy in use, and the overload would continue.
void Placement::search_replica_target(Search& search) {
    PlacementChoice& best = search.best;
    const double target_s = in_seconds(search.request.request_class->latency_target);
    if (!best.invoker || capacity_tracker_.evicts_early()) return;
    if (best.estimate.contention_s < replica_contention_share * target_s || is_capacity_short()) return;
    for (std::size_t i = 0; !best.replica_target; ++i) {
        while (i == search.eligible_homes.size() && search.next_position < context_.placement_index.size() &&
               search.examinations_left > 0)
            examine_home(search, search.next_position++);
        if (i == search.eligible_homes.size()) return;
        Invoker& invoker = *search.eligible_homes[i];
        const CompletionEstimate estimate = completion_estimator_.estimate(search.function, invoker, nullptr, false);
        const bool is_lightly_loaded = estimate.contention_s < max_replica_target_contention_share * target_s;
        if (is_lightly_loaded && may_attempt(search.request, invoker, context_.now, context_.capabilities))
            best.replica_target = &invoker;
    }
}

/// Whether a usable invoker recently had no capacity for a new copy.
bool Placement::is_capacity_short() {
    const std::vector<Invoker*>& recently_full_invokers = capacity_tracker_.recently_full();
    return std::ranges::any_of(recently_full_invokers, [&](Invoker* invoker) {
        return capacity_tracker_.is_full(*invoker) && invoker->is_listed &&
               exclusion_of(*invoker) == ExclusionReason::none;
    });
}

}  // namespace plumkeel
