/// How soon an invoker would respond to a request that is sent now.
#pragma once

#include "scheduler/cached_copies.hpp"
#include "scheduler/load_estimator.hpp"
#include "scheduler/slow_start.hpp"

namespace plumkeel {

struct CompletionEstimate {
    double finish_s{};            ///< seconds from now until the response
    double contention_s{};        ///< of these, caused by other requests at the invoker
    bool is_warm{};               ///< a copy is expected there
    bool at_concurrency_limit{};  ///< it is, but all copies are fully used
};

class CompletionEstimator {
public:
    CompletionEstimator(const SchedulerContext& context, const LoadEstimator& load, const CachedCopies& copies,
                        const SlowStart& slow_start)
        : context_(context), load_(load), copies_(copies), slow_start_(slow_start) {}

    /// `copy` is the function's entry for the invoker, or null. `assumed_warm`: other controllers are taken to keep a
    /// copy there.
    CompletionEstimate estimate(const Function& function, const Invoker& invoker, const CachedFunction* copy,
                                bool assumed_warm) const;

private:
    double run_time_s(const Function& function, const Invoker& invoker) const;
    void add_wait_for_copy(const Function& function, const CachedFunction& copy, double run_s,
                           CompletionEstimate& out) const;

    const SchedulerContext& context_;
    const LoadEstimator& load_;
    const CachedCopies& copies_;
    const SlowStart& slow_start_;
};

}  // namespace plumkeel
