#include "scheduler/load_budget.hpp"

namespace plumkeel {

void LoadBudget::record_request(Time now) {
    if (is_limited()) requests_.push_back(now);
}

bool LoadBudget::try_consume_preload(Time now) {
    if (!is_limited()) return true;
    // An event exactly one window old still counts if it is a preload, but not if it is a request, so that the budget
    // is never exceeded.
    while (!preloads_.empty() && preloads_.front() + rules_.load_budget_window < now) preloads_.pop_front();
    while (!requests_.empty() && requests_.front() + rules_.load_budget_window <= now) requests_.pop_front();
    const double budget_from_requests = rules_.load_budget_per_request * static_cast<double>(requests_.size());
    if (static_cast<double>(preloads_.size()) + 1 > rules_.load_budget_base + budget_from_requests) return false;
    preloads_.push_back(now);
    return true;
}

}  // namespace plumkeel
