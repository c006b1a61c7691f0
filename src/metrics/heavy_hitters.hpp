// Which names are told by themselves, where only so many may be: the heaviest of late. A space-saving sketch (the
// least counted name gives its place, and its count as a doubt, to one that is new), whose counts fade with each
// review. Names change places only there, a few at a time, and only for one that is clearly heavier. Pure.
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
    // At most `told` names by themselves; `counted` names are followed to find them, at least as many.
    HeavyHitters(std::size_t told, std::size_t counted);

    // Counts one; whether its name is told now.
    bool add(std::string_view name);
    bool is_reported(std::string_view name) const { return reported_.contains(name); }

    struct Turnover {
        std::vector<std::string> ended, begun;
    };
    Turnover review();

    static constexpr std::string_view others = "(others)";

private:
    struct Count {
        double count{}, error{};
        bool reported{};
        double lower_bound() const { return count - error; }
    };
    struct Hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
    };

    const std::size_t max_reported_, max_counted_;
    std::unordered_map<std::string, Count, Hash, std::equal_to<>> counts_;  // never told in its own order
    std::set<std::string, std::less<>> reported_;
};

}  // namespace plumkeel::metrics
