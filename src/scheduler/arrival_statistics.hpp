/// How often requests arrive lately: of all, of each function and of each tenant, as counts that decay. A tenant whose
/// requests come faster than its quota is marked as over it.
#pragma once

#include "scheduler/scheduler_context.hpp"

namespace plumkeel {

class ArrivalStatistics {
public:
    explicit ArrivalStatistics(SchedulerContext& context) : context_(context) {}

    /// Counts the request and sets Request::over_quota.
    void record(Request& request);
    /// Part of the periodic work: adapts the span to the traffic.
    void update_span();

    /// Decaying count of all arrivals.
    double recent_arrivals() const { return recent_arrivals_; }
    /// The time constant of all counts, in seconds.
    double span_s() const { return span_s_; }

private:
    bool is_over_quota(Tenant& tenant);
    double count_one(double recent_arrivals, Time last_arrival) const;

    SchedulerContext& context_;
    double recent_arrivals_{};
    Time last_arrival_{};
    double span_s_ = 3.0;  // the shortest, until the traffic is known
    double quota_sum_{};   // of all tenants seen, in requests a second
};

}  // namespace plumkeel
