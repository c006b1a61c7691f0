/// Bounds the values of a metric's label: finds the most frequent names of late, which get series of their own.
///
/// A space-saving sketch: a new name takes the place of the least frequent one, and inherits its count as the error
/// bound. The counts decay with each review. The set of reported names changes only in a review, by a few names, and
/// only for names that are clearly more frequent. Pure.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace plumkeel::metrics {

class HeavyHitters {
public:
    /// At most `max_reported` names are reported; `max_counted` names are counted to find them, at least as many.
    HeavyHitters(std::size_t max_reported, std::size_t max_counted);

    /// Counts one occurrence; returns whether the name is reported.
    bool add(std::string_view name);
    bool is_reported(std::string_view name) const { return reported_.contains(name); }

    struct Turnover {
        std::vector<std::string> removed, added;  ///< names that are no longer reported, and new ones
    };
    Turnover update_reported_names();

    /// Label value that stands for all names that are not reported.
    static constexpr std::string_view others = "(others)";

private:
    struct Count {
        double count{}, error{};  // the true count is between count - error and count
        bool reported{};
        double lower_bound() const { return count - error; }
    };
    struct Hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
    };
    using Ranking = std::vector<std::pair<double, std::string_view>>;  // by lower bound, the greatest first

    Count replace_least_frequent();
    Ranking rank(bool reported) const;
    void decay();

    const std::size_t max_reported_, max_counted_;
    std::unordered_map<std::string, Count, Hash, std::equal_to<>> counts_;  // no result depends on its order
    std::set<std::string, std::less<>> reported_;
};

}  // namespace plumkeel::metrics
