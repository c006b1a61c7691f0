/// Tracks the load in progress of each function, of which there is at most one (docs/design.md, step 2).
#pragma once

#include "scheduler/cached_copies.hpp"
#include "scheduler/load_estimator.hpp"

namespace plumkeel {

class LoadTracker {
public:
    LoadTracker(SchedulerContext& context, CachedCopies& copies, const LoadEstimator& load_estimator)
        : context_(context), copies_(copies), load_estimator_(load_estimator) {}

    /// Records the start of a load, either by an attempt or, if `is_preload`, by a PreloadCommand.
    void begin(Function& function, Invoker& invoker, bool is_preload);
    /// Records that the function's load is over.
    void end(Function& function);
    /// Ends a load that was started by an attempt and whose expected time has passed, and counts the copy as warm.
    /// Without this, parked requests would also wait for the run of the request that started the load, because the
    /// invoker responds only after both. If the load is slow, they wait at the invoker instead. (docs/design.md,
    /// exception "join")
    void finish_overdue(Function& function);
    /// When finish_overdue() will count the load as finished.
    Time expected_finish(const Function& function) const;

private:
    SchedulerContext& context_;
    CachedCopies& copies_;
    const LoadEstimator& load_estimator_;
};

}  // namespace plumkeel
