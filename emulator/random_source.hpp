/// Seeded random numbers in the distributions that the emulator uses.
#pragma once

#include <cstdint>

#include "random/pcg.hpp"

namespace plumkeel::emulator {

class RandomSource {
public:
    explicit RandomSource(std::uint64_t seed) : pcg_(seed) {}
    /// Uniform in [0, 1).
    double next() { return pcg_.next(); }
    double exponential(double mean);
    double lognormal(double mean, double sigma);

private:
    Pcg pcg_;
};

}  // namespace plumkeel::emulator
