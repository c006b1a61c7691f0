/// The exception that the PromQL parser and evaluator throw.
#pragma once

#include <stdexcept>

namespace plumkeel::promql {

/// Thrown if an expression or a rule file is invalid or an expression can't be evaluated.
struct Error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

}  // namespace plumkeel::promql
