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

constexpr int max_depth = 200;  // nested expressions; each level takes stack space

LabelSelection default_matching() {
    return {LabelSelection::Type::all_but, {}};
}

/// Recursive descent, with precedence climbing for binary operators.
class Parser {
public:
    explicit Parser(std::string_view text) : tokens_(tokenize(text)) {}

    ExpressionPtr parse_all() {
        ExpressionPtr expression = parse_expression(0);
        if (current().kind != Token::Kind::end) fail("an operator or the end");
        return expression;
    }

private:
    const Token& current() const { return tokens_[index_]; }
    bool is_next(std::string_view text) const {
        return current().text == text && current().kind != Token::Kind::string;
    }
    bool accept(std::string_view text);
    void expect(std::string_view text);
    const Token& expect_kind(Token::Kind kind, const char* description);
    void enter_level();
    [[noreturn]] void fail(const std::string& expected) const;

    ExpressionPtr parse_expression(int min_precedence);
    ExpressionPtr parse_operators(int min_precedence);
    ExpressionPtr parse_unary();
    ExpressionPtr parse_named(const std::string& name);
    ExpressionPtr parse_aggregation(Aggregation::Kind kind);
    ExpressionPtr parse_range_function(RangeFunction::Kind kind);
    ExpressionPtr parse_histogram_quantile();
    std::unique_ptr<VectorSelector> parse_selector(const std::string& metric_name);
    LabelMatcher parse_matcher();
    LabelSelection parse_matching();
    void parse_grouping(LabelSelection& grouping);
    std::vector<std::string> parse_label_list();
    std::string parse_identifier() { return expect_kind(Token::Kind::identifier, "a name").text; }

    const std::vector<Token> tokens_;
    std::size_t index_{};
    int depth_{};
};

// ---------------------------------------------------------------- tokens

bool Parser::accept(std::string_view text) {
    if (!is_next(text) || current().kind == Token::Kind::end) return false;
    ++index_;
    return true;
}

void Parser::expect(std::string_view text) {
    if (!accept(text)) fail("'" + std::string(text) + "'");
}

const Token& Parser::expect_kind(Token::Kind kind, const char* description) {
    if (current().kind != kind) fail(description);
    return tokens_[index_++];
}

void Parser::enter_level() {
    if (++depth_ > max_depth) throw Error("at " + std::to_string(current().position) + ": nested too deeply");
}

void Parser::fail(const std::string& expected) const {
    throw Error("at " + std::to_string(current().position) + ": expected " + expected + ", found '" + current().text +
                "'");
}

// ---------------------------------------------------------------- operators

ExpressionPtr Parser::parse_expression(int min_precedence) {
    enter_level();
    ExpressionPtr expression = parse_operators(min_precedence);
    --depth_;
    return expression;
}

// Operators of greater precedence than `min_precedence`.
ExpressionPtr Parser::parse_operators(int min_precedence) {
    ExpressionPtr left = parse_unary();
    for (;;) {
        const bool may_be_operator = current().kind == Token::Kind::symbol || current().kind == Token::Kind::identifier;
        const auto op = may_be_operator ? find_operator(current().text) : std::nullopt;
        if (!op || precedence(*op) <= min_precedence) return left;
        ++index_;
        LabelSelection matching = parse_matching();
        ExpressionPtr right = parse_expression(precedence(*op));
        left = std::make_unique<BinaryOperation>(*op, std::move(left), std::move(right), std::move(matching));
    }
}

LabelSelection Parser::parse_matching() {
    LabelSelection matching = default_matching();
    if (!is_next("on") && !is_next("ignoring")) return matching;
    if (is_next("on")) matching.type = LabelSelection::Type::only;
    ++index_;
    matching.labels = parse_label_list();
    return matching;
}

ExpressionPtr Parser::parse_unary() {
    if (accept("-")) {
        enter_level();  // never left: an expression has at most max_depth of these
        ExpressionPtr operand = parse_unary();
        return std::make_unique<BinaryOperation>(BinaryOperator::multiply, std::make_unique<NumberLiteral>(-1),
                                                 std::move(operand), default_matching());
    }
    if (accept("(")) {
        ExpressionPtr inner = parse_expression(0);
        expect(")");
        return inner;
    }
    if (current().kind == Token::Kind::number) return std::make_unique<NumberLiteral>(tokens_[index_++].number);
    return parse_named(parse_identifier());
}

// ---------------------------------------------------------------- functions and aggregations

ExpressionPtr Parser::parse_named(const std::string& name) {
    const auto aggregation = Aggregation::find(name);
    if (aggregation && (is_next("(") || is_next("by") || is_next("without"))) return parse_aggregation(*aggregation);
    const auto function = RangeFunction::find(name);
    if (function && is_next("(")) return parse_range_function(*function);
    if (name == "histogram_quantile") return parse_histogram_quantile();
    if (name == "absent" && accept("(")) {
        ExpressionPtr operand = parse_expression(0);
        expect(")");
        return std::make_unique<Absent>(std::move(operand));
    }
    return parse_selector(name);
}

ExpressionPtr Parser::parse_aggregation(Aggregation::Kind kind) {
    LabelSelection grouping{LabelSelection::Type::only, {}};
    parse_grouping(grouping);
    expect("(");
    ExpressionPtr operand = parse_expression(0);
    expect(")");
    parse_grouping(grouping);
    return std::make_unique<Aggregation>(kind, std::move(grouping), std::move(operand));
}

// Before or after the operand.
void Parser::parse_grouping(LabelSelection& grouping) {
    if (!is_next("by") && !is_next("without")) return;
    grouping.type = is_next("by") ? LabelSelection::Type::only : LabelSelection::Type::all_but;
    ++index_;
    grouping.labels = parse_label_list();
}

std::vector<std::string> Parser::parse_label_list() {
    std::vector<std::string> labels;
    expect("(");
    while (!accept(")")) {
        labels.push_back(parse_identifier());
        if (!is_next(")")) expect(",");
    }
    return labels;
}

ExpressionPtr Parser::parse_range_function(RangeFunction::Kind kind) {
    expect("(");
    std::unique_ptr<VectorSelector> range = parse_selector(parse_identifier());
    if (range->range_ms() == 0) fail("a range such as [1m]");
    expect(")");
    return std::make_unique<RangeFunction>(kind, std::move(range));
}

ExpressionPtr Parser::parse_histogram_quantile() {
    expect("(");
    const double quantile = expect_kind(Token::Kind::number, "a number").number;
    expect(",");
    ExpressionPtr buckets = parse_expression(0);
    expect(")");
    return std::make_unique<HistogramQuantile>(quantile, std::move(buckets));
}

// ---------------------------------------------------------------- selectors

std::unique_ptr<VectorSelector> Parser::parse_selector(const std::string& metric_name) {
    std::vector<LabelMatcher> matchers;
    if (accept("{"))
        while (!accept("}")) {
            matchers.push_back(parse_matcher());
            if (!is_next("}")) expect(",");
        }
    std::int64_t range_ms = 0;
    if (accept("[")) {
        range_ms = static_cast<std::int64_t>(expect_kind(Token::Kind::duration, "a duration").number);
        expect("]");
    }
    return std::make_unique<VectorSelector>(metric_name, std::move(matchers), range_ms);
}

LabelMatcher Parser::parse_matcher() {
    using Type = LabelMatcher::Type;
    static constexpr std::pair<std::string_view, Type> types[] = {
        {"=", Type::equal}, {"!=", Type::not_equal}, {"=~", Type::regex_match}, {"!~", Type::regex_no_match}};
    std::string label = parse_identifier();
    for (const auto& [text, type] : types)
        if (current().text == text) {
            ++index_;
            return {std::move(label), type, expect_kind(Token::Kind::string, "a string in quotes").text};
        }
    fail("=, !=, =~ or !~");
}

}  // namespace

ExpressionPtr parse(std::string_view text) {
    return Parser(text).parse_all();
}

}  // namespace plumkeel::promql
