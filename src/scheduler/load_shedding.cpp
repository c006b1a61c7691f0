#include "scheduler/load_shedding.hpp"

#include "scheduler/retry_policy.hpp"

namespace plumkeel {
namespace {

// Part of the latency target that waiting behind other requests may take.
constexpr double max_contention = 0.3, max_contention_over_quota = 0.15, max_contention_impatient = 0.05;
constexpr double max_finish = 0.6;        // of the time that is left to the target, a later response is shed
constexpr double popular_arrivals = 4.0;  // such a decaying count makes a further copy pay

/// A client that retries and gives up before the latency target: its request mostly did not fit in that time before.
bool is_impatient(const Request& request) {
    return request.is_client_retry && request.remaining < request.request_class->latency_target;
}

}  // namespace

SheddingDecision LoadShedding::decide(const Request& request, const PlacementChoice& choice, bool may_park) const {
    if (!is_overloaded(request, choice)) return SheddingDecision::admit;
    // A request that has just arrived parks for one delay first, as the design has it.
    const bool is_new = request.state == RequestState::received;
    if (is_new && may_park && !is_impatient(request)) return SheddingDecision::park;
    const Function& function = *request.function;
    if (!function.load.invoker) {
        const bool can_replicate = choice.replica_target && function.recent_arrivals >= popular_arrivals;
        return can_replicate ? SheddingDecision::add_replica : SheddingDecision::reject;
    }
    const double left_s = in_seconds(request.target_at - context_.now);
    const double ready_s = load_.load_time_s(function) - in_seconds(context_.now - function.load.started_at);
    return ready_s + function.run_time_s > left_s ? SheddingDecision::reject : SheddingDecision::admit;
}

bool LoadShedding::is_overloaded(const Request& request, const PlacementChoice& choice) const {
    const double share = is_impatient(request) ? max_contention_impatient
                         : request.over_quota  ? max_contention_over_quota
                                               : max_contention;
    const double max_contention_s = share * in_seconds(request.target_at - request.received_at);
    const double left_s = in_seconds(request.target_at - context_.now);
    return choice.estimate.contention_s > max_contention_s && choice.estimate.finish_s > max_finish * left_s &&
           may_reject(request, context_.now, context_.capabilities);
}

}  // namespace plumkeel
