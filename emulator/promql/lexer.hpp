/// Splits a PromQL expression into tokens.
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
    double number{};         ///< value of a number token; milliseconds for a duration token
    std::size_t position{};  ///< byte offset in the expression, from 0
};

/// Returns the tokens, followed by a token of kind `end`. Throws Error if a number, duration or string is invalid.
std::vector<Token> tokenize(std::string_view expression);

/// Parses a duration such as "1h30m". Returns nullopt if the text is not a duration.
std::optional<double> parse_duration_ms(std::string_view text);

}  // namespace plumkeel::promql
