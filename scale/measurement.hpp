/// One measured value of a scale run.
#pragma once

#include <string>

namespace plumkeel::scale {

struct Measurement {
    std::string metric, unit;
    double value{};
};

}  // namespace plumkeel::scale
