/// Load shedding: parks or rejects a request that would miss its latency target only because of the requests ahead of
/// it, or has a further copy of its function loaded.
///
/// Such a request would also delay the requests behind it. Load shedding protects against overload, tenants over their
/// quota and retry storms. If run times are overestimated, it sheds too much. (docs/design.md, exception "shed")
#pragma once

#include "scheduler/placement.hpp"

namespace plumkeel {

enum class SheddingDecision {
    admit,
    park,
    reject,
    /// Load a further copy at PlacementChoice::replica_target.
    add_replica,
};

class LoadShedding {
public:
    LoadShedding(const SchedulerContext& context, const LoadEstimator& load_estimator)
        : context_(context), load_estimator_(load_estimator) {}

    SheddingDecision decide(const Request& request, const PlacementChoice& choice, bool may_park) const;

private:
    bool is_overloaded(const Request& request, const PlacementChoice& choice) const;

    const SchedulerContext& context_;
    const LoadEstimator& load_estimator_;
};

}  // namespace plumkeel
