/// Estimates how soon an invoker would respond to a request that is sent now.
#pragma once

#include "scheduler/cached_copies.hpp"
#include "scheduler/load_estimator.hpp"
#include "scheduler/slow_start.hpp"

namespace plumkeel {

struct CompletionEstimate {
    double finish_s{};            ///< seconds from now until the response
    double contention_s{};        ///< the part of `finish_s` that is caused by other requests at the invoker
    bool is_warm{};               ///< a warm copy is expected at the invoker
    bool at_concurrency_limit{};  ///< warm copies are expected, but all of them are fully used
};

class CompletionEstimator {
public:
    CompletionEstimator(const SchedulerContext& context, const LoadEstimator& load_estimator,
                        const CachedCopies& copies, const SlowStart& slow_start)
        : context_(context), load_estimator_(load_estimator), copies_(copies), slow_start_(slow_start) {}

    /// `copy` is the function's entry for the invoker, or null. `assumed_warm` tells that other controllers' requests
    /// are expected to keep a copy warm there.
    CompletionEstimate estimate(const Function& function, const Invoker& invoker, const CachedFunction* copy,
                                bool assumed_warm) const;

private:
    double run_time_s(const Function& function, const Invoker& invoker) const;
    void add_wait_for_copy(const Function& function, const CachedFunction& copy, double run_s,
                           CompletionEstimate& result) const;

    const SchedulerContext& context_;
    const LoadEstimator& load_estimator_;
    const CachedCopies& copies_;
    const SlowStart& slow_start_;
};

}  // namespace plumkeel
