#include "emulator/random_source.hpp"

#include <cmath>

namespace plumkeel::emulator {

double RandomSource::exponential(double mean) {
    return -mean * std::log(1 - next());
}

double RandomSource::lognormal(double mean, double sigma) {
    constexpr double pi = 3.14159265358979;  // more digits would change the numbers drawn for a seed
    const double normal = std::sqrt(-2 * std::log(1 - next())) * std::cos(2 * pi * next());
    return mean * std::exp(sigma * normal - sigma * sigma / 2);
}

}  // namespace plumkeel::emulator
