#include "emulator/promql/parser.hpp"

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "emulator/promql/aggregation.hpp"
#include "emulator/promql/binary_operation.hpp"
#include "emulator/promql/error.hpp"
#include "emulator/promql/functions.hpp"
#include "emulator/promql/label_selection.hpp"
#include "emulator/promql/lexer.hpp"
#include "emulator/promql/range_function.hpp"
#include "emulator/promql/selector.hpp"

namespace plumkeel::promql {
namespace {

// Limits the recursion of the parser. The error message in enter_nesting_level() contains this number.
constexpr int max_nesting_levels = 200;

LabelSelection default_matching_labels() {
    return {LabelSelection::Type::exclude, {}};
}

/// A recursive-descent parser that uses precedence climbing for binary operators.
class Parser {
public:
    explicit Parser(std::string_view text) : tokens_(tokenize(text)) {}

    ExpressionPtr parse_complete_expression() {
        ExpressionPtr expression = parse_expression(0);
        if (current().kind != Token::Kind::end) throw_unexpected_token("an operator or the end of the expression");
        return expression;
    }

private:
    const Token& current() const { return tokens_[token_index_]; }
    bool current_is(std::string_view text) const {
        return current().text == text && current().kind != Token::Kind::string;
    }
    bool accept(std::string_view text);
    void expect(std::string_view text);
    const Token& expect_kind(Token::Kind kind, const char* description);
    void enter_nesting_level();
    [[noreturn]] void throw_unexpected_token(const std::string& expected) const;

    ExpressionPtr parse_expression(int exclusive_min_precedence);
    ExpressionPtr parse_binary_operators(int exclusive_min_precedence);
    ExpressionPtr parse_unary();
    ExpressionPtr parse_call_or_selector(const std::string& name);
    ExpressionPtr parse_aggregation(Aggregation::Kind kind);
    ExpressionPtr parse_range_function(RangeFunction::Kind kind);
    ExpressionPtr parse_histogram_quantile();
    std::unique_ptr<VectorSelector> parse_selector(const std::string& metric_name);
    LabelMatcher parse_label_matcher();
    LabelSelection parse_matching_labels();
    void parse_grouping_labels(LabelSelection& grouping_labels);
    std::vector<std::string> parse_label_list();
    std::string parse_identifier() { return expect_kind(Token::Kind::identifier, "an identifier").text; }

    const std::vector<Token> tokens_;
    std::size_t token_index_{};
    int nesting_depth_{};
};

bool Parser::accept(std::string_view text) {
    if (!current_is(text) || current().kind == Token::Kind::end) return false;
    ++token_index_;
    return true;
}

void Parser::expect(std::string_view text) {
    if (!accept(text)) throw_unexpected_token("'" + std::string(text) + "'");
}

const Token& Parser::expect_kind(Token::Kind kind, const char* description) {
    if (current().kind != kind) throw_unexpected_token(description);
    return tokens_[token_index_++];
}

void Parser::enter_nesting_level() {
    if (++nesting_depth_ > max_nesting_levels)
        throw Error("at offset " + std::to_string(current().position) +
                    ": expression has more than 200 nested levels and unary minus signs");
}

void Parser::throw_unexpected_token(const std::string& expected) const {
    throw Error("at offset " + std::to_string(current().position) + ": expected " + expected + ", found '" +
                current().text + "'");
}

ExpressionPtr Parser::parse_expression(int exclusive_min_precedence) {
    enter_nesting_level();
    ExpressionPtr expression = parse_binary_operators(exclusive_min_precedence);
    --nesting_depth_;
    return expression;
}

// Parses an operand and the binary operators after it whose precedence is greater than `exclusive_min_precedence`.
ExpressionPtr Parser::parse_binary_operators(int exclusive_min_precedence) {
    ExpressionPtr left = parse_unary();
    for (;;) {
        const bool may_be_operator = current().kind == Token::Kind::symbol || current().kind == Token::Kind::identifier;
        const auto op = may_be_operator ? find_operator(current().text) : std::nullopt;
        if (!op || precedence(*op) <= exclusive_min_precedence) return left;
        ++token_index_;
        LabelSelection matching_labels = parse_matching_labels();
        ExpressionPtr right = parse_expression(precedence(*op));
        left = std::make_unique<BinaryOperation>(*op, std::move(left), std::move(right), std::move(matching_labels));
    }
}

LabelSelection Parser::parse_matching_labels() {
    LabelSelection matching_labels = default_matching_labels();
    if (!current_is("on") && !current_is("ignoring")) return matching_labels;
    if (current_is("on")) matching_labels.type = LabelSelection::Type::include;
    ++token_index_;
    matching_labels.labels = parse_label_list();
    return matching_labels;
}

ExpressionPtr Parser::parse_unary() {
    if (accept("-")) {
        enter_nesting_level();  // not decremented, so the total number of unary minus signs is limited
        ExpressionPtr operand = parse_unary();
        return std::make_unique<BinaryOperation>(BinaryOperator::multiply, std::make_unique<NumberLiteral>(-1),
                                                 std::move(operand), default_matching_labels());
    }
    if (accept("(")) {
        ExpressionPtr inner = parse_expression(0);
        expect(")");
        return inner;
    }
    if (current().kind == Token::Kind::number) return std::make_unique<NumberLiteral>(tokens_[token_index_++].number);
    return parse_call_or_selector(parse_identifier());
}

ExpressionPtr Parser::parse_call_or_selector(const std::string& name) {
    const auto aggregation = Aggregation::find_kind(name);
    if (aggregation && (current_is("(") || current_is("by") || current_is("without")))
        return parse_aggregation(*aggregation);
    const auto function = RangeFunction::find_kind(name);
    if (function && current_is("(")) return parse_range_function(*function);
    if (name == "histogram_quantile") return parse_histogram_quantile();
    if (name == "absent" && accept("(")) {
        ExpressionPtr operand = parse_expression(0);
        expect(")");
        return std::make_unique<Absent>(std::move(operand));
    }
    return parse_selector(name);
}

ExpressionPtr Parser::parse_aggregation(Aggregation::Kind kind) {
    LabelSelection grouping_labels{LabelSelection::Type::include, {}};
    parse_grouping_labels(grouping_labels);
    expect("(");
    ExpressionPtr operand = parse_expression(0);
    expect(")");
    parse_grouping_labels(grouping_labels);
    return std::make_unique<Aggregation>(kind, std::move(grouping_labels), std::move(operand));
}

// Parses an optional `by` or `without` clause, which may precede or follow the operand of an aggregation.
void Parser::parse_grouping_labels(LabelSelection& grouping_labels) {
    if (!current_is("by") && !current_is("without")) return;
    grouping_labels.type = current_is("by") ? LabelSelection::Type::include : LabelSelection::Type::exclude;
    ++token_index_;
    grouping_labels.labels = parse_label_list();
}

std::vector<std::string> Parser::parse_label_list() {
    std::vector<std::string> labels;
    expect("(");
    while (!accept(")")) {
        labels.push_back(parse_identifier());
        if (!current_is(")")) expect(",");
    }
    return labels;
}

ExpressionPtr Parser::parse_range_function(RangeFunction::Kind kind) {
    expect("(");
    std::unique_ptr<VectorSelector> range_selector = parse_selector(parse_identifier());
    if (range_selector->range_ms() == 0) throw_unexpected_token("a range selector such as [1m]");
    expect(")");
    return std::make_unique<RangeFunction>(kind, std::move(range_selector));
}

ExpressionPtr Parser::parse_histogram_quantile() {
    expect("(");
    const double quantile = expect_kind(Token::Kind::number, "a number").number;
    expect(",");
    ExpressionPtr buckets = parse_expression(0);
    expect(")");
    return std::make_unique<HistogramQuantile>(quantile, std::move(buckets));
}

std::unique_ptr<VectorSelector> Parser::parse_selector(const std::string& metric_name) {
    std::vector<LabelMatcher> matchers;
    if (accept("{"))
        while (!accept("}")) {
            matchers.push_back(parse_label_matcher());
            if (!current_is("}")) expect(",");
        }
    std::int64_t range_ms = 0;
    if (accept("[")) {
        range_ms = static_cast<std::int64_t>(expect_kind(Token::Kind::duration, "a duration such as 1m").number);
        expect("]");
    }
    return std::make_unique<VectorSelector>(metric_name, std::move(matchers), range_ms);
}

LabelMatcher Parser::parse_label_matcher() {
    using Type = LabelMatcher::Type;
    static constexpr std::pair<std::string_view, Type> matcher_types[] = {
        {"=", Type::equal}, {"!=", Type::not_equal}, {"=~", Type::regex_match}, {"!~", Type::regex_no_match}};
    std::string label = parse_identifier();
    for (const auto& [text, type] : matcher_types)
        if (current().text == text) {
            ++token_index_;
            return {std::move(label), type, expect_kind(Token::Kind::string, "a quoted string").text};
        }
    throw_unexpected_token("one of =, !=, =~ or !~");
}

}  // namespace

ExpressionPtr parse(std::string_view text) {
    return Parser(text).parse_complete_expression();
}

}  // namespace plumkeel::promql
