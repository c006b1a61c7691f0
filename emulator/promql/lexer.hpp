/// Tokens of a PromQL expression.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plumkeel::promql {

struct Token {
    enum class Kind { end, identifier, number, string, symbol, duration };
    Kind kind{};
    std::string text;
    double number{};         ///< of a duration: milliseconds
    std::size_t position{};  ///< in the expression
};

/// The tokens, with one of kind `end` behind them. Throws Error.
std::vector<Token> tokenize(std::string_view expression);

/// Such as "1h30m"; empty where the text is not a duration.
std::optional<double> parse_duration_ms(std::string_view text);

}  // namespace plumkeel::promql
