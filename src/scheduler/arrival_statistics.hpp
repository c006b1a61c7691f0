/// Counts recent requests in total, per function and per tenant, with exponential decay. Marks requests of tenants that
/// exceed their quota.
#pragma once

#include "scheduler/scheduler_context.hpp"

namespace plumkeel {

class ArrivalStatistics {
public:
    explicit ArrivalStatistics(SchedulerContext& context) : context_(context) {}

    /// Counts the request and sets Request::over_quota.
    void record(Request& request);
    /// Part of each periodic sweep. Adapts the decay time to the rate of requests.
    void update_decay_time();

    /// Exponentially decaying number of all requests.
    double recent_arrivals() const { return recent_arrivals_; }
    /// Time constant of the decay of all counts, in seconds.
    double decay_time_s() const { return decay_time_s_; }

private:
    bool record_and_check_quota(Tenant& tenant);
    double count_arrival(double recent_arrivals, Time last_arrival) const;

    SchedulerContext& context_;
    double recent_arrivals_{};
    Time last_arrival_{};
    /// Starts at the shortest decay time.
    double decay_time_s_ = 3.0;
    /// Sum of the quotas of all tenants seen, in requests per second.
    double total_quota_per_s_{};
};

}  // namespace plumkeel
