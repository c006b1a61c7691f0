/// The error of the PromQL evaluator.
#pragma once

#include <stdexcept>

namespace plumkeel::promql {

/// An expression or a rule file can't be read or evaluated; what() names the position or the rule, and the cause.
struct Error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

}  // namespace plumkeel::promql
