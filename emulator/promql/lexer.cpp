#include "emulator/promql/lexer.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <iterator>
#include <system_error>
#include <utility>

#include "emulator/promql/error.hpp"

namespace plumkeel::promql {
namespace {

bool is_space(char c) {
    return std::isspace(static_cast<unsigned char>(c));
}

bool is_digit(char c) {
    return std::isdigit(static_cast<unsigned char>(c));
}

bool is_word_character(char c) {
    return std::isalnum(static_cast<unsigned char>(c)) || c == '_' || c == ':';
}

class Lexer {
public:
    explicit Lexer(std::string_view text) : text_(text) {}

    std::vector<Token> tokens() {
        std::vector<Token> result;
        for (skip_spaces_and_comments(); !at_end(); skip_spaces_and_comments()) result.push_back(next_token());
        result.push_back({Token::Kind::end, "end of expression", 0, text_.size()});
        return result;
    }

private:
    bool at_end() const { return position_ >= text_.size(); }

    void skip_spaces_and_comments() {
        while (!at_end()) {
            if (text_[position_] == '#')
                skip_comment();
            else if (is_space(text_[position_]))
                ++position_;
            else
                return;
        }
    }

    void skip_comment() {
        while (!at_end() && text_[position_] != '\n') ++position_;
    }

    Token next_token() {
        const char c = text_[position_];
        if (is_digit(c) || (c == '.' && position_ + 1 < text_.size() && is_digit(text_[position_ + 1])))
            return lex_number_or_duration();
        if (is_word_character(c)) return lex_identifier();
        if (c == '"' || c == '\'') return lex_string();
        return lex_symbol();
    }

    // Returns the text from the current position to `end` as a token, and moves the position to `end`.
    Token take_token(Token::Kind kind, std::size_t end) {
        const std::size_t begin = std::exchange(position_, end);
        return {kind, std::string(text_.substr(begin, end - begin)), 0, begin};
    }

    Token lex_number_or_duration() {
        std::size_t end = position_;
        while (end < text_.size() && (is_word_character(text_[end]) || text_[end] == '.' || is_exponent_sign(end)))
            ++end;
        Token token = take_token(Token::Kind::number, end);
        const char* const text_end = token.text.data() + token.text.size();
        const auto [parsed_end, error] = std::from_chars(token.text.data(), text_end, token.number);
        if (error == std::errc{} && parsed_end == text_end) return token;
        const std::optional<double> duration_ms = parse_duration_ms(token.text);
        if (!duration_ms)
            throw Error("at offset " + std::to_string(token.position) + ": '" + token.text +
                        "' is neither a number nor a duration such as 30s");
        token.kind = Token::Kind::duration;
        token.number = *duration_ms;
        return token;
    }

    bool is_exponent_sign(std::size_t position) const {
        const char c = text_[position], previous = position > 0 ? text_[position - 1] : '\0';
        return (c == '+' || c == '-') && (previous == 'e' || previous == 'E');
    }

    Token lex_identifier() {
        std::size_t end = position_;
        while (end < text_.size() && is_word_character(text_[end])) ++end;
        return take_token(Token::Kind::identifier, end);
    }

    Token lex_string() {
        Token token{Token::Kind::string, "", 0, position_};
        const char quote = text_[position_++];
        while (!at_end() && text_[position_] != quote) {
            if (text_[position_] == '\\' && position_ + 1 < text_.size()) ++position_;
            token.text.push_back(text_[position_++]);
        }
        if (at_end()) throw Error("at offset " + std::to_string(token.position) + ": string has no closing quote");
        ++position_;
        return token;
    }

    Token lex_symbol() {
        static constexpr std::string_view two_character_symbols[] = {"==", "!=", ">=", "<=", "=~", "!~"};
        const bool is_two_character_symbol = std::ranges::any_of(
            two_character_symbols, [&](std::string_view entry) { return text_.substr(position_).starts_with(entry); });
        return take_token(Token::Kind::symbol, position_ + (is_two_character_symbol ? 2 : 1));
    }

    const std::string_view text_;
    std::size_t position_{};
};

}  // namespace

std::vector<Token> tokenize(std::string_view expression) {
    return Lexer(expression).tokens();
}

std::optional<double> parse_duration_ms(std::string_view text) {
    // The first unit that is a prefix of the text is used, so "ms" precedes "m".
    static constexpr std::pair<std::string_view, double> ms_per_unit[] = {{"ms", 1},    {"s", 1e3},    {"m", 6e4},
                                                                          {"h", 3.6e6}, {"d", 8.64e7}, {"w", 6.048e8}};
    double total_ms = 0;
    while (!text.empty()) {
        const auto digit_count = static_cast<std::size_t>(std::ranges::find_if_not(text, is_digit) - text.begin());
        if (digit_count == 0) return {};
        const double unit_count = std::stod(std::string(text.substr(0, digit_count)));
        text.remove_prefix(digit_count);
        const auto* const unit =
            std::ranges::find_if(ms_per_unit, [&](const auto& entry) { return text.starts_with(entry.first); });
        if (unit == std::end(ms_per_unit)) return {};
        total_ms += unit_count * unit->second;
        text.remove_prefix(unit->first.size());
    }
    return total_ms;
}

}  // namespace plumkeel::promql
