#include "scheduler/load_budget.hpp"

namespace plumkeel {

void LoadBudget::record_request(Time now) {
    if (is_limited()) requests_.push_back(now);
}

bool LoadBudget::try_take(Time now) {
    if (!is_limited()) return true;
    // A request counts for a little less than the window and a preload for a little more: never over the budget.
    while (!preloads_.empty() && preloads_.front() + rules_.load_budget_window < now) preloads_.pop_front();
    while (!requests_.empty() && requests_.front() + rules_.load_budget_window <= now) requests_.pop_front();
    const double earned = rules_.load_budget_per_request * static_cast<double>(requests_.size());
    if (static_cast<double>(preloads_.size()) + 1 > rules_.load_budget_base + earned) return false;
    preloads_.push_back(now);
    return true;
}

}  // namespace plumkeel
