/// The functions that the scheduler holds: a bounded number, of which those not in use are released.
#pragma once

#include "scheduler/cached_copies.hpp"
#include "scheduler/load_estimator.hpp"
#include "scheduler/slow_start.hpp"

namespace plumkeel {

class FunctionRegistry {
public:
    FunctionRegistry(SchedulerContext& context, const LoadEstimator& estimator, CachedCopies& copies,
                     SlowStart& slow_start)
        : context_(context), estimator_(estimator), copies_(copies), slow_start_(slow_start) {}

    /// A request for the function arrived.
    void record_request(Function& function);
    /// Part of the periodic work: erases what has expired of functions due for it, and releases those not in use.
    void review_due();
    /// Part of the periodic work. Where idle memory has a price: a function that is warm at several invokers is
    /// unloaded where it idles, but for the first in the order of home invokers, which other controllers keep to as
    /// well.
    void unload_idle_replicas();

private:
    void make_room();
    void review(Function& function);
    void release(Function& function);
    void unload_idle_replicas(Function& function);
    bool is_idle_replica(const CachedFunction& copy) const;

    SchedulerContext& context_;
    const LoadEstimator& estimator_;
    CachedCopies& copies_;
    SlowStart& slow_start_;
};

}  // namespace plumkeel
