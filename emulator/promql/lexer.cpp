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

bool is_word(char c) {
    return std::isalnum(static_cast<unsigned char>(c)) || c == '_' || c == ':';
}

class Lexer {
public:
    explicit Lexer(std::string_view text) : text_(text) {}

    std::vector<Token> tokens() {
        std::vector<Token> result;
        for (skip_blanks(); !at_end(); skip_blanks()) result.push_back(next());
        result.push_back({Token::Kind::end, "the end", 0, text_.size()});
        return result;
    }

private:
    bool at_end() const { return position_ >= text_.size(); }

    void skip_blanks() {
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

    Token next() {
        const char c = text_[position_];
        if (is_digit(c) || (c == '.' && position_ + 1 < text_.size() && is_digit(text_[position_ + 1])))
            return number_or_duration();
        if (is_word(c)) return identifier();
        if (c == '"' || c == '\'') return string();
        return symbol();
    }

    // The text up to `end`, where the next token begins.
    Token take_until(Token::Kind kind, std::size_t end) {
        const std::size_t begin = std::exchange(position_, end);
        return {kind, std::string(text_.substr(begin, end - begin)), 0, begin};
    }

    Token number_or_duration() {
        std::size_t end = position_;
        while (end < text_.size() && (is_word(text_[end]) || text_[end] == '.' || is_exponent_sign(end))) ++end;
        Token token = take_until(Token::Kind::number, end);
        const char* const text_end = token.text.data() + token.text.size();
        const auto [parsed_end, error] = std::from_chars(token.text.data(), text_end, token.number);
        if (error == std::errc{} && parsed_end == text_end) return token;
        const std::optional<double> duration = parse_duration_ms(token.text);
        if (!duration)
            throw Error("at " + std::to_string(token.position) + ": '" + token.text +
                        "' is neither a number nor a duration");
        token.kind = Token::Kind::duration;
        token.number = *duration;
        return token;
    }

    bool is_exponent_sign(std::size_t position) const {
        const char c = text_[position], before = position > 0 ? text_[position - 1] : '\0';
        return (c == '+' || c == '-') && (before == 'e' || before == 'E');
    }

    Token identifier() {
        std::size_t end = position_;
        while (end < text_.size() && is_word(text_[end])) ++end;
        return take_until(Token::Kind::identifier, end);
    }

    Token string() {
        Token token{Token::Kind::string, "", 0, position_};
        const char quote = text_[position_++];
        while (!at_end() && text_[position_] != quote) {
            if (text_[position_] == '\\' && position_ + 1 < text_.size()) ++position_;
            token.text.push_back(text_[position_++]);
        }
        if (at_end()) throw Error("at " + std::to_string(token.position) + ": the string has no end");
        ++position_;
        return token;
    }

    Token symbol() {
        static constexpr std::string_view two_characters[] = {"==", "!=", ">=", "<=", "=~", "!~"};
        const bool is_two = std::ranges::any_of(
            two_characters, [&](std::string_view each) { return text_.substr(position_).starts_with(each); });
        return take_until(Token::Kind::symbol, position_ + (is_two ? 2 : 1));
    }

    const std::string_view text_;
    std::size_t position_{};
};

}  // namespace

std::vector<Token> tokenize(std::string_view expression) {
    return Lexer(expression).tokens();
}

std::optional<double> parse_duration_ms(std::string_view text) {
    // "ms" before "m", since the first unit that matches is taken.
    static constexpr std::pair<std::string_view, double> units[] = {{"ms", 1},    {"s", 1e3},    {"m", 6e4},
                                                                    {"h", 3.6e6}, {"d", 8.64e7}, {"w", 6.048e8}};
    double total = 0;
    while (!text.empty()) {
        const auto digits = static_cast<std::size_t>(std::ranges::find_if_not(text, is_digit) - text.begin());
        if (digits == 0) return {};
        const double count = std::stod(std::string(text.substr(0, digits)));
        text.remove_prefix(digits);
        const auto* const unit =
            std::ranges::find_if(units, [&](const auto& each) { return text.starts_with(each.first); });
        if (unit == std::end(units)) return {};
        total += count * unit->second;
        text.remove_prefix(unit->first.size());
    }
    return total;
}

}  // namespace plumkeel::promql
