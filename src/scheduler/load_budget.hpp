/// The budget for preloads (safety rule 5 in docs/design.md): in any window, a fixed number plus a share of the
/// requests that arrived in it.
#pragma once

#include <deque>

#include "scheduler/deployment.hpp"

namespace plumkeel {

class LoadBudget {
public:
    explicit LoadBudget(const SafetyRules& rules) : rules_(rules) {}

    void record_request(Time now);
    /// Whether the budget allows a preload now. If so, the preload is counted.
    bool try_consume_preload(Time now);

private:
    bool is_limited() const { return rules_.load_budget_window > Time{}; }

    const SafetyRules& rules_;
    std::deque<Time> requests_, preloads_;  ///< times within the last window; empty if preloads are not limited
};

}  // namespace plumkeel
