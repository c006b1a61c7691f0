/// Which functions are being loaded, where and since when: one load a function at a time (docs/design.md, step 2).
#pragma once

#include "scheduler/cached_copies.hpp"
#include "scheduler/load_estimator.hpp"

namespace plumkeel {

class LoadTracker {
public:
    LoadTracker(SchedulerContext& context, CachedCopies& copies, const LoadEstimator& estimator)
        : context_(context), copies_(copies), estimator_(estimator) {}

    /// Started by an attempt, or by command if `is_preload`.
    void begin(Function& function, Invoker& invoker, bool is_preload);
    void end(Function& function);
    /// Where no command tells its end, a load counts as finished once most of its learned time has passed: its own
    /// response comes only behind the first request's run. (docs/design.md, exception "join"; harm: requests wait at
    /// the invoker where the load is slow.)
    void finish_overdue(Function& function);
    /// When finish_overdue() will do so.
    Time expected_finish(const Function& function) const;

private:
    SchedulerContext& context_;
    CachedCopies& copies_;
    const LoadEstimator& estimator_;
};

}  // namespace plumkeel
