/// Parser for PromQL expressions.
#pragma once

#include <string_view>

#include "emulator/promql/expression.hpp"

namespace plumkeel::promql {

/// Throws Error if the text is not a valid PromQL expression.
ExpressionPtr parse(std::string_view text);

}  // namespace plumkeel::promql
