// Chance from a seed: a permuted congruential generator (XSH-RR 64/32). The decision module has its own, since it
// stands alone.
#pragma once

#include <cstdint>

namespace plumkeel {

class Pcg {
public:
    explicit Pcg(std::uint64_t seed) : state_(seed * 6364136223846793005ULL + 1442695040888963407ULL) { next(); }

    double next() {  // from 0 up to 1
        const std::uint64_t old = state_;
        state_ = old * 6364136223846793005ULL + 1442695040888963407ULL;
        const auto shifted = static_cast<std::uint32_t>(((old >> 18) ^ old) >> 27);
        const auto turn = static_cast<std::uint32_t>(old >> 59);
        return ((shifted >> turn) | (shifted << ((32 - turn) & 31))) * 0x1p-32;
    }

private:
    std::uint64_t state_;
};

}  // namespace plumkeel
