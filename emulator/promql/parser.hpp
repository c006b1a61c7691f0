/// Parses PromQL expressions.
#pragma once

#include <string_view>

#include "emulator/promql/expression.hpp"

namespace plumkeel::promql {

/// Throws Error with the position in the text.
ExpressionPtr parse(std::string_view text);

}  // namespace plumkeel::promql
