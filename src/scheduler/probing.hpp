/// Health checks and requests for load reports: which invokers are probed, and when. Probes are paid for by requests:
/// without that, every controller would probe the whole fleet.
#pragma once

#include "scheduler/load_estimator.hpp"

namespace plumkeel {

class HealthProber {
public:
    HealthProber(SchedulerContext& context, const LoadEstimator& estimator);

    /// A request arrived: probes for reports are earned by it.
    void record_request();
    void send(Invoker& invoker);
    /// Probes a suspect or ejected invoker, or one that is silent for longer than its oldest attempt should take.
    void probe_if_unresponsive(Invoker& invoker);
    /// Probes for load reports as far as requests have paid for them, first the invokers that were used last.
    void request_reports();

private:
    bool is_overdue(const Invoker& invoker) const;
    bool is_rested(const Invoker& invoker) const;

    SchedulerContext& context_;
    const LoadEstimator& estimator_;
    double probes_per_request_{};
    double probe_allowance_{};  ///< earned and not used
};

}  // namespace plumkeel
