/// Reproducible pseudo-random numbers.
#pragma once

#include <cstdint>

namespace plumkeel {

/// Permuted congruential generator PCG-XSH-RR 64/32 (M. E. O'Neill, "PCG: A Family of Simple Fast Space-Efficient
/// Statistically Good Algorithms for Random Number Generation", 2014).
class Pcg {
public:
    explicit Pcg(std::uint64_t seed) : state_(seed * multiplier + increment) { next(); }

    /// Returns a generator with the given internal state, instead of deriving the state from a seed.
    static Pcg from_state(std::uint64_t state) {
        Pcg generator;
        generator.state_ = state;
        return generator;
    }

    /// Returns the next number, uniformly distributed over [0, 1).
    double next() {
        const std::uint64_t previous = state_;
        state_ = previous * multiplier + increment;
        const auto shifted = static_cast<std::uint32_t>(((previous >> 18) ^ previous) >> 27);
        const auto rotation = static_cast<std::uint32_t>(previous >> 59);
        return ((shifted >> rotation) | (shifted << ((32 - rotation) & 31))) * 0x1p-32;
    }

private:
    static constexpr std::uint64_t multiplier = 6364136223846793005ULL;
    static constexpr std::uint64_t increment = 1442695040888963407ULL;

    Pcg() = default;

    std::uint64_t state_{};
};

}  // namespace plumkeel
