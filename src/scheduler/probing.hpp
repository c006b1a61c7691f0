/// Decides which invokers are probed for health and load reports, and when. The number of probes sent to get load
/// reports is limited in proportion to the requests that arrived, because otherwise every controller would probe the
/// whole fleet.
#pragma once

#include "scheduler/load_estimator.hpp"

namespace plumkeel {

class HealthProber {
public:
    HealthProber(SchedulerContext& context, const LoadEstimator& load_estimator);

    /// Adds to the probe allowance, since a request arrived.
    void record_request();
    /// Sends a probe to the invoker, whatever the allowance.
    void send(Invoker& invoker);
    /// Probes the invoker if it is suspect or ejected, or if its oldest attempt takes longer than expected.
    void probe_if_unresponsive(Invoker& invoker);
    /// Sends probes for load reports while the allowance lasts, most recently used invokers first.
    void request_reports();

private:
    bool is_oldest_attempt_overdue(const Invoker& invoker) const;
    bool has_probe_interval_passed(const Invoker& invoker) const;

    SchedulerContext& context_;
    const LoadEstimator& load_estimator_;
    double probes_per_request_{};
    double probe_allowance_{};  ///< number of probes that may be sent for load reports
};

}  // namespace plumkeel
