#include "scheduler/arrival_statistics.hpp"

#include <algorithm>
#include <cmath>

namespace plumkeel {
namespace {

constexpr double arrivals_per_span = 60;               // a count's span holds so many arrivals,
constexpr double min_span_s = 3.0, max_span_s = 15.0;  // within these bounds
constexpr double quota_tolerance = 1.2;                // a tenant is over its quota from this multiple on

}  // namespace

void ArrivalStatistics::record(Request& request) {
    recent_arrivals_ = count_one(recent_arrivals_, last_arrival_);
    last_arrival_ = context_.now;
    Function& function = *request.function;
    function.recent_arrivals = count_one(function.recent_arrivals, function.last_arrival);
    function.last_arrival = context_.now;
    if (request.tenant && request.tenant->quota_per_s > 0) request.over_quota = is_over_quota(*request.tenant);
}

// Over its quota as a part of all requests as well as by their number: a controller that sees several times the mean of
// the traffic would take every tenant to be over its quota.
bool ArrivalStatistics::is_over_quota(Tenant& tenant) {
    if (tenant.recent_arrivals == 0) quota_sum_ += tenant.quota_per_s;  // seen for the first time
    tenant.recent_arrivals = count_one(tenant.recent_arrivals, tenant.last_arrival);
    tenant.last_arrival = context_.now;
    const double by_share = tenant.recent_arrivals * quota_sum_ / std::max(recent_arrivals_, 1.0);
    const double by_number = tenant.recent_arrivals / span_s_ * context_.capabilities.controller_count;
    return std::min(by_share, by_number) > quota_tolerance * tenant.quota_per_s;
}

double ArrivalStatistics::count_one(double recent_arrivals, Time last_arrival) const {
    return recent_arrivals * std::exp(-in_seconds(context_.now - last_arrival) / span_s_) + 1;
}

void ArrivalStatistics::update_span() {
    span_s_ = std::clamp(arrivals_per_span * span_s_ / std::max(recent_arrivals_, 1.0), min_span_s, max_span_s);
}

}  // namespace plumkeel
