#include "metrics/heavy_hitters.hpp"

#include <algorithm>

namespace plumkeel::metrics {
namespace {

constexpr double fading = 0.8;              // of a count from review to review
constexpr double clearly = 1.3;             // times as heavy as the one whose place it takes
constexpr double least_told = 3;            // sure counts, at the least
constexpr std::size_t places_a_review = 8;  // one in so many changes hands

}  // namespace

HeavyHitters::HeavyHitters(std::size_t told, std::size_t counted)
    : max_reported_(told), max_counted_(std::max(told, counted)) {}

bool HeavyHitters::add(std::string_view name) {
    auto it = counts_.find(name);
    if (it == counts_.end()) {
        Count count;
        if (counts_.size() >= max_counted_) {
            // Seldom but in a flood of new names; of equals the first by name, so that chance of hashing decides
            // nothing.
            const auto least = std::min_element(counts_.begin(), counts_.end(), [](const auto& a, const auto& b) {
                return a.second.count < b.second.count || (a.second.count == b.second.count && a.first < b.first);
            });
            count.count = count.error = least->second.count;
            counts_.erase(least);
        }
        it = counts_.emplace(std::string(name), count).first;
        it->second.reported = is_reported(name);
    }
    ++it->second.count;
    return it->second.reported;
}

HeavyHitters::Turnover HeavyHitters::review() {
    Turnover out;
    std::vector<std::pair<double, std::string_view>> strangers, residents;
    for (const auto& [name, count] : counts_)
        (is_reported(name) ? residents : strangers).emplace_back(count.lower_bound(), name);
    for (const std::string& name : reported_)
        if (!counts_.contains(name)) residents.emplace_back(0.0, name);
    const auto heavier = [](const auto& a, const auto& b) {
        return a.first > b.first || (a.first == b.first && a.second < b.second);
    };
    std::sort(strangers.begin(), strangers.end(), heavier);
    std::sort(residents.begin(), residents.end(), heavier);
    std::size_t changes = std::max<std::size_t>(1, max_reported_ / places_a_review);
    for (const auto& [count, name] : strangers) {
        if (count < least_told) break;
        if (reported_.size() >= max_reported_) {
            if (changes == 0 || residents.empty() || count < clearly * residents.back().first) break;
            --changes;
            out.ended.emplace_back(residents.back().second);
            residents.pop_back();
            reported_.erase(reported_.find(out.ended.back()));
        }
        reported_.emplace(name);
        out.begun.emplace_back(name);
    }
    for (auto& [name, count] : counts_) {
        count.count *= fading;
        count.error *= fading;
        count.reported = is_reported(name);
    }
    return out;
}

}  // namespace plumkeel::metrics
