#include "scheduler/arrival_statistics.hpp"

#include <algorithm>
#include <cmath>

namespace plumkeel {
namespace {

/// The decay time is chosen so that about this many requests arrive within it, between the bounds below.
constexpr double target_arrivals_per_decay_time = 60;
constexpr double min_decay_time_s = 3.0, max_decay_time_s = 15.0;
/// A tenant is over its quota if its estimated rate exceeds the quota by this factor.
constexpr double over_quota_ratio = 1.2;

}  // namespace

void ArrivalStatistics::record(Request& request) {
    recent_arrivals_ = count_arrival(recent_arrivals_, last_arrival_);
    last_arrival_ = context_.now;
    Function& function = *request.function;
    function.recent_arrivals = count_arrival(function.recent_arrivals, function.last_arrival);
    function.last_arrival = context_.now;
    if (request.tenant && request.tenant->quota_per_s > 0) request.over_quota = record_and_check_quota(*request.tenant);
}

// A tenant is over its quota only if both its share of all requests here and its number of requests here say so. A
// controller that receives several times the mean traffic would otherwise take every tenant to be over its quota.
bool ArrivalStatistics::record_and_check_quota(Tenant& tenant) {
    if (tenant.recent_arrivals == 0) total_quota_per_s_ += tenant.quota_per_s;
    tenant.recent_arrivals = count_arrival(tenant.recent_arrivals, tenant.last_arrival);
    tenant.last_arrival = context_.now;
    const double rate_by_share_per_s = tenant.recent_arrivals * total_quota_per_s_ / std::max(recent_arrivals_, 1.0);
    const double rate_by_count_per_s = tenant.recent_arrivals / decay_time_s_ * context_.capabilities.controller_count;
    return std::min(rate_by_share_per_s, rate_by_count_per_s) > over_quota_ratio * tenant.quota_per_s;
}

double ArrivalStatistics::count_arrival(double recent_arrivals, Time last_arrival) const {
    return recent_arrivals * std::exp(-in_seconds(context_.now - last_arrival) / decay_time_s_) + 1;
}

void ArrivalStatistics::update_decay_time() {
    decay_time_s_ = std::clamp(target_arrivals_per_decay_time * decay_time_s_ / std::max(recent_arrivals_, 1.0),
                               min_decay_time_s, max_decay_time_s);
}

}  // namespace plumkeel
