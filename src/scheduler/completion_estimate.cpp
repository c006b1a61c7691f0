#include "scheduler/completion_estimate.hpp"

#include <algorithm>

namespace plumkeel {
namespace {

/// Loading a further copy at an invoker that holds one takes this share of the load time, since nothing is fetched.
constexpr double replica_load_time_share = 0.45;
/// A load that takes longer than expected is assumed to need at least this share of the load time from now on.
constexpr double min_remaining_load_time_share = 0.1;

}  // namespace

CompletionEstimate CompletionEstimator::estimate(const Function& function, const Invoker& invoker,
                                                 const CachedFunction* copy, bool assumed_warm) const {
    CompletionEstimate result;
    const double run_s = run_time_s(function, invoker);
    result.finish_s = run_s;
    result.contention_s = run_s - function.run_time_s * load_estimator_.slowdown_factor(invoker);
    const bool is_observed_warm = copies_.is_warm(copy);
    result.is_warm = assumed_warm || is_observed_warm;
    if (is_observed_warm) {
        add_wait_for_copy(function, *copy, run_s, result);
    } else if (!result.is_warm) {
        const double load_s = load_estimator_.load_time_s(function);
        const bool is_loading_there = function.current_load.invoker == &invoker;
        const double remaining_s = load_s - in_seconds(context_.now - function.current_load.started_at);
        result.finish_s += is_loading_there ? std::max(min_remaining_load_time_share * load_s, remaining_s) : load_s;
    }
    return result;
}

double CompletionEstimator::run_time_s(const Function& function, const Invoker& invoker) const {
    const double contention_slowdown =
        load_estimator_.contention_factor(invoker) * (load_estimator_.estimated_load(invoker) + 1);
    const double slowdown = std::max(load_estimator_.slowdown_factor(invoker), contention_slowdown);
    return function.run_time_s * (slowdown / slow_start_.relative_speed(invoker));
}

// If all copies are fully used, the request waits for a free slot or for a further copy that the invoker loads by
// itself, whichever comes first. The more copies there are, the more further ones may be loaded at the same time.
void CompletionEstimator::add_wait_for_copy(const Function& function, const CachedFunction& copy, double run_s,
                                            CompletionEstimate& result) const {
    const int slots = CachedCopies::concurrency(function, &copy);
    if (copy.in_flight < slots) return;
    const double queue_wait_s = run_s * (copy.in_flight - slots + 1) / slots;
    if (copy.in_flight < slots + std::max(1, slots / 2)) {
        result.finish_s += std::min(replica_load_time_share * load_estimator_.load_time_s(function), queue_wait_s);
        return;
    }
    result.at_concurrency_limit = true;
    result.finish_s = run_s + queue_wait_s + run_s * static_cast<double>(function.parking.requests.size()) / slots;
}

}  // namespace plumkeel
