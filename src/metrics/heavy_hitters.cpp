#include "metrics/heavy_hitters.hpp"

#include <algorithm>

namespace plumkeel::metrics {
namespace {

constexpr double decay_factor = 0.8;            // of all counts, at each review
constexpr double replacement_ratio = 1.3;       // by which a new name must exceed the reported name that it replaces
constexpr double min_reported_count = 3;        // lower bound of a reported name's count
constexpr std::size_t replacement_divisor = 8;  // a review replaces at most one in so many reported names

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

// A linear search, but only a flood of new names makes it frequent. Among equal counts the first by name is replaced,
// so that the order of hashing has no effect.
HeavyHitters::Count HeavyHitters::replace_least_frequent() {
    const auto least = std::ranges::min_element(counts_, [](const auto& a, const auto& b) {
        return a.second.count < b.second.count || (a.second.count == b.second.count && a.first < b.first);
    });
    Count count;
    count.count = count.error = least->second.count;
    counts_.erase(least);
    return count;
}

HeavyHitters::Ranking HeavyHitters::rank(bool reported) const {
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

HeavyHitters::Turnover HeavyHitters::update_reported_names() {
    const Ranking candidates = rank(false);
    Ranking current = rank(true);
    std::size_t replacements = std::max<std::size_t>(1, max_reported_ / replacement_divisor);
    Turnover turnover;
    for (const auto& [count, name] : candidates) {
        if (count < min_reported_count) break;
        if (reported_.size() >= max_reported_) {
            if (replacements == 0 || current.empty() || count < replacement_ratio * current.back().first) break;
            --replacements;
            turnover.removed.emplace_back(current.back().second);
            current.pop_back();
            reported_.erase(turnover.removed.back());
        }
        reported_.emplace(name);
        turnover.added.emplace_back(name);
    }
    decay();
    return turnover;
}

void HeavyHitters::decay() {
    for (auto& [name, count] : counts_) {
        count.count *= decay_factor;
        count.error *= decay_factor;
        count.reported = is_reported(name);
    }
}

}  // namespace plumkeel::metrics
