/// Seeded pseudo-random numbers: a permuted congruential generator (PCG XSH-RR 64/32, O'Neill 2014).
#pragma once

#include <cstdint>

namespace plumkeel {

class Pcg {
public:
    explicit Pcg(std::uint64_t seed) : state_(seed * multiplier + increment) { next(); }

    /// Continues from a raw state, without the scrambling of a seed.
    static Pcg from_state(std::uint64_t state) {
        Pcg out;
        out.state_ = state;
        return out;
    }

    /// From 0 up to, but not including, 1.
    double next() {
        const std::uint64_t old = state_;
        state_ = old * multiplier + increment;
        const auto shifted = static_cast<std::uint32_t>(((old >> 18) ^ old) >> 27);
        const auto rotation = static_cast<std::uint32_t>(old >> 59);
        return ((shifted >> rotation) | (shifted << ((32 - rotation) & 31))) * 0x1p-32;
    }

private:
    static constexpr std::uint64_t multiplier = 6364136223846793005ULL, increment = 1442695040888963407ULL;

    Pcg() = default;

    std::uint64_t state_{};
};

}  // namespace plumkeel
