/// The budget for preloads (safety rule 5): in any window a stated number, and a share of the requests that arrived.
#pragma once

#include <deque>

#include "scheduler/deployment.hpp"

namespace plumkeel {

class LoadBudget {
public:
    explicit LoadBudget(const SafetyRules& rules) : rules_(rules) {}

    void record_request(Time now);
    /// Whether a copy may be loaded by command now; counts it if so.
    bool try_take(Time now);

private:
    bool is_limited() const { return rules_.load_budget_window > Time{}; }

    const SafetyRules& rules_;
    std::deque<Time> requests_, preloads_;  ///< within the last window; empty where nothing is limited
};

}  // namespace plumkeel
