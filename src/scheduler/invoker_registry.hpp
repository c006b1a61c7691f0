/// Registers the invokers of the endpoint list, delists those that are gone, and releases delisted ones when nothing
/// refers to them any more.
#pragma once

#include "scheduler/cached_copies.hpp"
#include "scheduler/capacity_tracker.hpp"
#include "scheduler/load_estimator.hpp"
#include "scheduler/slow_start.hpp"

namespace plumkeel {

class InvokerRegistry {
public:
    InvokerRegistry(SchedulerContext& context, const LoadEstimator& load_estimator, CachedCopies& copies,
                    SlowStart& slow_start, CapacityTracker& capacity_tracker)
        : context_(context),
          load_estimator_(load_estimator),
          copies_(copies),
          slow_start_(slow_start),
          capacity_tracker_(capacity_tracker) {}

    /// Applies an endpoint list, or the changed entries of one. With `is_complete`, all other invokers are delisted.
    void apply(const std::vector<Invoker*>& changed_invokers, bool is_complete);
    void delist(Invoker& invoker);
    /// Discards what was learned of the invoker's cached copies and load, after a restart or a long silence.
    void assume_restarted(Invoker& invoker);
    /// Part of each periodic sweep. Releases invokers that have been off the endpoint list for a while and are not
    /// referred to by a load, a probe or an unsettled request. Without this, memory would grow with each replaced
    /// invoker.
    void release_delisted();

private:
    void add_or_update(Invoker& invoker);
    void initialize(Invoker& invoker);
    void mark_referenced();
    void mark_referenced(const Request& request);
    void release(Invoker& invoker);

    SchedulerContext& context_;
    const LoadEstimator& load_estimator_;
    CachedCopies& copies_;
    SlowStart& slow_start_;
    CapacityTracker& capacity_tracker_;
    std::uint64_t lists_applied_{};
    std::uint64_t release_round_{};
};

}  // namespace plumkeel
