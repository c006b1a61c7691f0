/// Registers functions when they are first called, and releases them when they are unused or when too many are held.
#pragma once

#include "scheduler/cached_copies.hpp"
#include "scheduler/load_estimator.hpp"
#include "scheduler/slow_start.hpp"

namespace plumkeel {

class FunctionRegistry {
public:
    FunctionRegistry(SchedulerContext& context, const LoadEstimator& load_estimator, CachedCopies& copies,
                     SlowStart& slow_start)
        : context_(context), load_estimator_(load_estimator), copies_(copies), slow_start_(slow_start) {}

    /// Registers the function if it is new, and counts a call of it.
    void record_request(Function& function);
    /// Part of each periodic sweep. Erases expired cached copies of the functions whose review is due, and releases
    /// functions that are not in use.
    void review_due();
    /// Part of each periodic sweep. If idle memory has a price, unloads idle copies of functions that are warm at
    /// several invokers. The copy at the first invoker in the order of home invokers is kept, as it is by all other
    /// controllers.
    void unload_idle_replicas();

private:
    void make_room();
    void review(Function& function);
    void release(Function& function);
    void unload_idle_replicas(Function& function);
    bool is_idle_replica(const CachedFunction& copy) const;

    SchedulerContext& context_;
    const LoadEstimator& load_estimator_;
    CachedCopies& copies_;
    SlowStart& slow_start_;
};

}  // namespace plumkeel
