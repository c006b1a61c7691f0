#include "metrics/heavy_hitters.hpp"

#include <algorithm>

namespace plumkeel::metrics {
namespace {

constexpr double decay_factor = 0.8;       // applied to all counts at each update of the reported names
constexpr double replacement_ratio = 1.3;  // a new name must be this much more frequent than the name that it replaces
constexpr double min_reported_count = 3;   // least count of a name that becomes reported
constexpr std::size_t max_replaced_fraction_divisor = 8;  // an update replaces at most 1/8 of the reported names

}  // namespace

HeavyHitters::HeavyHitters(std::size_t max_reported, std::size_t max_counted)
    : max_reported_(max_reported), max_counted_(std::max(max_reported, max_counted)) {}

bool HeavyHitters::add(std::string_view name) {
    auto it = counts_.find(name);
    if (it == counts_.end()) {
        const Count count = counts_.size() >= max_counted_ ? replace_least_frequent() : Count{};
        it = counts_.emplace(std::string(name), count).first;
        it->second.reported = is_reported(name);
    }
    ++it->second.count;
    return it->second.reported;
}

// Removes the name with the lowest count and returns the initial count of the name that replaces it. The linear search
// is rare unless there is a flood of new names. Among equal counts the first by name is removed, so that the result
// does not depend on the order of the hash table.
HeavyHitters::Count HeavyHitters::replace_least_frequent() {
    const auto least_frequent = std::ranges::min_element(counts_, [](const auto& a, const auto& b) {
        return a.second.count < b.second.count || (a.second.count == b.second.count && a.first < b.first);
    });
    Count count;
    count.count = count.error = least_frequent->second.count;
    counts_.erase(least_frequent);
    return count;
}

HeavyHitters::Ranking HeavyHitters::rank_names(bool reported) const {
    Ranking ranking;
    for (const auto& [name, count] : counts_)
        if (is_reported(name) == reported) ranking.emplace_back(count.lower_bound(), name);
    if (reported)
        for (const std::string& name : reported_)
            if (!counts_.contains(name)) ranking.emplace_back(0.0, name);
    std::ranges::sort(ranking, [](const auto& a, const auto& b) {
        return a.first > b.first || (a.first == b.first && a.second < b.second);
    });
    return ranking;
}

HeavyHitters::Changes HeavyHitters::update_reported_names() {
    const Ranking candidates = rank_names(false);
    Ranking reported_ranking = rank_names(true);
    std::size_t remaining_replacements = std::max<std::size_t>(1, max_reported_ / max_replaced_fraction_divisor);
    Changes changes;
    for (const auto& [count, name] : candidates) {
        if (count < min_reported_count) break;
        if (reported_.size() >= max_reported_) {
            if (remaining_replacements == 0 || reported_ranking.empty() ||
                count < replacement_ratio * reported_ranking.back().first)
                break;
            --remaining_replacements;
            changes.removed.emplace_back(reported_ranking.back().second);
            reported_ranking.pop_back();
            reported_.erase(changes.removed.back());
        }
        reported_.emplace(name);
        changes.added.emplace_back(name);
    }
    decay_counts();
    return changes;
}

void HeavyHitters::decay_counts() {
    for (auto& [name, count] : counts_) {
        count.count *= decay_factor;
        count.error *= decay_factor;
        count.reported = is_reported(name);
    }
}

}  // namespace plumkeel::metrics
