/// Which function a request is for: Zipf's law over a number of functions, rank k with weight 1 / k^exponent.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

#include "random/pcg.hpp"

namespace plumkeel::scale {

class Popularity {
public:
    Popularity(std::size_t functions, double exponent) {
        double sum = 0;
        cumulative_.reserve(functions);
        for (std::size_t rank = 1; rank <= functions; ++rank)
            cumulative_.push_back(sum += std::pow(static_cast<double>(rank), -exponent));
    }

    /// A rank from 0, the most popular, up to the number of functions.
    std::uint32_t sample(Pcg& random) const {
        const double at = random.next() * cumulative_.back();
        const auto found = std::upper_bound(cumulative_.begin(), cumulative_.end(), at);
        return static_cast<std::uint32_t>(std::min(found, cumulative_.end() - 1) - cumulative_.begin());
    }

private:
    std::vector<double> cumulative_;
};

}  // namespace plumkeel::scale
