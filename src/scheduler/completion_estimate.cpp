#include "scheduler/completion_estimate.hpp"

#include <algorithm>

namespace plumkeel {
namespace {

constexpr double replica_load_share = 0.45;  // of a load: a further copy beside a present one fetches nothing
constexpr double min_load_share = 0.1;       // of a load that should have ended

}  // namespace

CompletionEstimate CompletionEstimator::estimate(const Function& function, const Invoker& invoker,
                                                 const CachedFunction* copy, bool assumed_warm) const {
    CompletionEstimate out;
    const double run_s = run_time_s(function, invoker);
    out.finish_s = run_s;
    out.contention_s = run_s - function.run_time_s * load_.slowdown_factor(invoker);
    const bool is_known_warm = copies_.is_warm(copy);
    out.is_warm = assumed_warm || is_known_warm;
    if (is_known_warm) {
        add_wait_for_copy(function, *copy, run_s, out);
    } else if (!out.is_warm) {
        const double load_s = load_.load_time_s(function);
        const bool loads_there = function.load.invoker == &invoker;
        const double remaining_s = load_s - in_seconds(context_.now - function.load.started_at);
        out.finish_s += loads_there ? std::max(min_load_share * load_s, remaining_s) : load_s;
    }
    return out;
}

double CompletionEstimator::run_time_s(const Function& function, const Invoker& invoker) const {
    const double contention = load_.contention_factor(invoker) * (load_.estimated_load(invoker) + 1);
    const double slowdown = std::max(load_.slowdown_factor(invoker), contention);
    return function.run_time_s * (slowdown / slow_start_.speed(invoker));
}

// Where all copies are fully used: behind the other requests, or on the further copy that the invoker loads by itself.
// The more copies there are, the more may be loaded at once.
void CompletionEstimator::add_wait_for_copy(const Function& function, const CachedFunction& copy, double run_s,
                                            CompletionEstimate& out) const {
    const int slots = CachedCopies::concurrency(function, &copy);
    if (copy.in_flight < slots) return;
    const double turn_s = run_s * (copy.in_flight - slots + 1) / slots;
    if (copy.in_flight < slots + std::max(1, slots / 2)) {
        out.finish_s += std::min(replica_load_share * load_.load_time_s(function), turn_s);
        return;
    }
    out.at_concurrency_limit = true;
    out.finish_s = run_s + turn_s + run_s * static_cast<double>(function.parking.requests.size()) / slots;
}

}  // namespace plumkeel
