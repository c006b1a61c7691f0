#include "scheduler/load_shedding.hpp"

#include "scheduler/retry_policy.hpp"

namespace plumkeel {
namespace {

// The share of the latency target that a request may spend waiting for other requests.
constexpr double max_contention_share = 0.3, max_contention_share_over_quota = 0.15,
                 max_contention_share_impatient = 0.05;
/// A response is considered in time if it is expected within this share of the time left to the latency target.
constexpr double max_finish_share = 0.6;
/// A function gets a further copy only if its decaying number of requests is at least this.
constexpr double min_arrivals_for_replica = 4.0;

/// Whether the request is a retry of a client that gives up before the latency target. Most earlier tries of such
/// clients were given up as well.
bool is_impatient(const Request& request) {
    return request.is_client_retry && request.remaining < request.request_class->latency_target;
}

}  // namespace

SheddingDecision LoadShedding::decide(const Request& request, const PlacementChoice& choice, bool may_park) const {
    if (!is_overloaded(request, choice)) return SheddingDecision::admit;
    // A new request is parked for one backoff before it may be rejected.
    const bool is_new = request.state == RequestState::received;
    if (is_new && may_park && !is_impatient(request)) return SheddingDecision::park;
    const Function& function = *request.function;
    if (!function.current_load.invoker) {
        const bool can_replicate = choice.replica_target && function.recent_arrivals >= min_arrivals_for_replica;
        return can_replicate ? SheddingDecision::add_replica : SheddingDecision::reject;
    }
    const double time_to_target_s = in_seconds(request.target_at - context_.now);
    const double load_remaining_s =
        load_estimator_.load_time_s(function) - in_seconds(context_.now - function.current_load.started_at);
    return load_remaining_s + function.run_time_s > time_to_target_s ? SheddingDecision::reject
                                                                     : SheddingDecision::admit;
}

bool LoadShedding::is_overloaded(const Request& request, const PlacementChoice& choice) const {
    const double share = is_impatient(request) ? max_contention_share_impatient
                         : request.over_quota  ? max_contention_share_over_quota
                                               : max_contention_share;
    const double max_contention_s = share * in_seconds(request.target_at - request.received_at);
    const double time_to_target_s = in_seconds(request.target_at - context_.now);
    return choice.estimate.contention_s > max_contention_s &&
           choice.estimate.finish_s > max_finish_share * time_to_target_s &&
           may_reject(request, context_.now, context_.capabilities);
}

}  // namespace plumkeel
