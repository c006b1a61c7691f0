#include "metrics/heaviest.hpp"

#include <algorithm>

namespace plumkeel::metrics {
namespace {

constexpr double fading = 0.8;       // of a count from review to review
constexpr double clearly = 1.3;      // times as heavy as the one whose place it takes
constexpr double least_told = 3;  // sure counts, at the least
constexpr std::size_t places_a_review = 8;  // one in so many changes hands

}  // namespace

Heaviest::Heaviest(std::size_t told, std::size_t counted) : most_told_(told), most_counted_(std::max(told, counted)) {}

bool Heaviest::feed(std::string_view name) {
    auto it = counts_.find(name);
    if (it == counts_.end()) {
        Count count;
        if (counts_.size() >= most_counted_) {
            // Seldom but in a flood of new names; of equals the first by name, so that chance of hashing decides nothing.
            const auto least = std::min_element(counts_.begin(), counts_.end(), [](const auto& a, const auto& b) {
                return a.second.seen < b.second.seen || (a.second.seen == b.second.seen && a.first < b.first);
            });
            count.seen = count.doubt = least->second.seen;
            counts_.erase(least);
        }
        it = counts_.emplace(std::string(name), count).first;
        it->second.told = told(name);
    }
    ++it->second.seen;
    return it->second.told;
}

Heaviest::Turnover Heaviest::review() {
    Turnover out;
    std::vector<std::pair<double, std::string_view>> strangers, residents;
    for (const auto& [name, count] : counts_)
        (told(name) ? residents : strangers).emplace_back(count.sure(), name);
    for (const std::string& name : told_)
        if (!counts_.contains(name)) residents.emplace_back(0.0, name);
    const auto heavier = [](const auto& a, const auto& b) { return a.first > b.first || (a.first == b.first && a.second < b.second); };
    std::sort(strangers.begin(), strangers.end(), heavier);
    std::sort(residents.begin(), residents.end(), heavier);
    std::size_t changes = std::max<std::size_t>(1, most_told_ / places_a_review);
    for (const auto& [count, name] : strangers) {
        if (count < least_told) break;
        if (told_.size() >= most_told_) {
            if (changes == 0 || residents.empty() || count < clearly * residents.back().first) break;
            --changes;
            out.ended.emplace_back(residents.back().second);
            residents.pop_back();
            told_.erase(told_.find(out.ended.back()));
        }
        told_.emplace(name);
        out.begun.emplace_back(name);
    }
    for (auto& [name, count] : counts_) {
        count.seen *= fading;
        count.doubt *= fading;
        count.told = told(name);
    }
    return out;
}

}  // namespace plumkeel::metrics
