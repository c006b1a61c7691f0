/// Limits the number of values of a metric's label: finds the names that were most frequent recently, which get
/// separate series.
///
/// Implements the space-saving algorithm: when the table is full, a new name replaces the least frequent one and takes
/// over its count, which is the bound of the new name's error. update_reported_names() decays the counts. It alone
/// changes the set of reported names, by few names at a time, and only for names that are clearly more frequent. Does
/// no I/O and reads no clock.
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
    /// At most `max_reported` names are reported. To find them, `max_counted` names are counted, at least
    /// `max_reported`.
    HeavyHitters(std::size_t max_reported, std::size_t max_counted);

    /// Counts one occurrence; returns whether the name is reported.
    bool add(std::string_view name);
    bool is_reported(std::string_view name) const { return reported_.contains(name); }

    struct Changes {
        std::vector<std::string> removed, added;  ///< names that are no longer reported, and newly reported names
    };
    Changes update_reported_names();

    /// Label value of the series that sums up all names which are not reported.
    static constexpr std::string_view others = "(others)";

private:
    struct Count {
        double count{}, error{};  // the exact count is between count - error and count
        bool reported{};
        double lower_bound() const { return count - error; }
    };
    struct Hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
    };
    using Ranking = std::vector<std::pair<double, std::string_view>>;  // descending by lower bound

    Count replace_least_frequent();
    Ranking rank_names(bool reported) const;
    void decay_counts();

    const std::size_t max_reported_, max_counted_;
    std::unordered_map<std::string, Count, Hash, std::equal_to<>> counts_;  // no result depends on its order
    std::set<std::string, std::less<>> reported_;
};

}  // namespace plumkeel::metrics
