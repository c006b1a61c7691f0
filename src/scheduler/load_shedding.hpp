/// Load shedding: what happens to a request that would miss its latency target only because of the requests ahead of
/// it.
///
/// It would make those behind it late as well. This guards against overload, a tenant over its quota and retry storms;
/// it could harm where run times are overestimated. (docs/design.md, exception "shed")
#pragma once

#include "scheduler/placement.hpp"

namespace plumkeel {

enum class SheddingDecision {
    admit,
    park,
    reject,
    add_replica,  ///< a further copy is loaded at the choice's replica target (exception "seed")
};

class LoadShedding {
public:
    LoadShedding(const SchedulerContext& context, const LoadEstimator& load) : context_(context), load_(load) {}

    SheddingDecision decide(const Request& request, const PlacementChoice& choice, bool may_park) const;

private:
    bool is_overloaded(const Request& request, const PlacementChoice& choice) const;

    const SchedulerContext& context_;
    const LoadEstimator& load_;
};

}  // namespace plumkeel
