/// The invokers that the scheduler knows: taken up from the endpoint list, delisted, and released once nothing refers
/// to them any more.
#pragma once

#include "scheduler/cached_copies.hpp"
#include "scheduler/capacity_tracker.hpp"
#include "scheduler/load_estimator.hpp"
#include "scheduler/slow_start.hpp"

namespace plumkeel {

class InvokerRegistry {
public:
    InvokerRegistry(SchedulerContext& context, const LoadEstimator& estimator, CachedCopies& copies,
                    SlowStart& slow_start, CapacityTracker& capacity)
        : context_(context), estimator_(estimator), copies_(copies), slow_start_(slow_start), capacity_(capacity) {}

    /// Applies an endpoint list, or the changed entries of one. With `is_complete`, all other invokers are delisted.
    void apply(const std::vector<Invoker*>& changed, bool is_complete);
    void delist(Invoker& invoker);
    /// A restart, or long silence: nothing that was learned of its present state holds any more.
    void assume_restarted(Invoker& invoker);
    /// Part of the periodic work. Releases invokers that have been off the list for a while, once no cached copy, load,
    /// probe or unsettled request refers to them: else a fleet that is replaced all day fills the memory.
    void release_delisted();

private:
    void take_up(Invoker& invoker);
    void initialize(Invoker& invoker);
    void mark_referenced();
    void mark_referenced(const Request& request);
    void release(Invoker& invoker);

    SchedulerContext& context_;
    const LoadEstimator& estimator_;
    CachedCopies& copies_;
    SlowStart& slow_start_;
    CapacityTracker& capacity_;
    std::uint64_t lists_{};  // number of endpoint lists applied
    std::uint64_t release_rounds_{};
};

}  // namespace plumkeel
