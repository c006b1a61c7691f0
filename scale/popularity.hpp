/// Chooses the function of each request by a Zipf distribution: the function of rank k has the weight 1 / k^exponent.
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
        double weight_sum = 0;
        cumulative_weights_.reserve(functions);
        for (std::size_t rank = 1; rank <= functions; ++rank)
            cumulative_weights_.push_back(weight_sum += std::pow(static_cast<double>(rank), -exponent));
    }

    /// Returns the number of a function, from 0 (the most popular one) to the number of functions - 1.
    std::uint32_t sample(Pcg& random) const {
        const double weight_position = random.next() * cumulative_weights_.back();
        const auto found = std::upper_bound(cumulative_weights_.begin(), cumulative_weights_.end(), weight_position);
        return static_cast<std::uint32_t>(std::min(found, cumulative_weights_.end() - 1) - cumulative_weights_.begin());
    }

private:
    std::vector<double> cumulative_weights_;
};

}  // namespace plumkeel::scale
