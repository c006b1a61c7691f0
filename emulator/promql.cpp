#include "emulator/promql.hpp"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <bit>
#include <charconv>
#include <cmath>
#include <functional>
#include <limits>
#include <optional>
#include <regex>
#include <set>

namespace plumkeel::promql {
namespace {

constexpr std::int64_t lookback_ms = 5 * 60 * 1000;
constexpr int deepest = 200;  // levels of an expression: each takes a part of the stack
constexpr std::uint64_t stale_bits = 0x7ff0000000000002;

bool stale(double value) {
    return std::bit_cast<std::uint64_t>(value) == stale_bits;
}

// ---------------------------------------------------------------- words of the text

struct Token {
    enum class Kind { end, name, number, text, sign, span } kind{};
    std::string text;
    double number{};  // of a span: milliseconds
    std::size_t at{};
};

std::optional<double> span_ms(std::string_view text) {
    double total = 0;
    while (!text.empty()) {
        std::size_t digits = 0;
        while (digits < text.size() && std::isdigit(static_cast<unsigned char>(text[digits]))) ++digits;
        if (!digits) return {};
        const double n = std::stod(std::string(text.substr(0, digits)));
        text.remove_prefix(digits);
        static const std::pair<std::string_view, double> units[] = {{"ms", 1},    {"s", 1e3},    {"m", 6e4},
                                                                    {"h", 3.6e6}, {"d", 8.64e7}, {"w", 6.048e8}};
        const auto* unit = std::find_if(std::begin(units), std::end(units), [&](const auto& u) {
            return text.starts_with(u.first) && (u.first != "m" || !text.starts_with("ms"));
        });
        if (unit == std::end(units)) return {};
        total += n * unit->second;
        text.remove_prefix(unit->first.size());
    }
    return total;
}

std::vector<Token> tokens_of(std::string_view text) {
    std::vector<Token> out;
    std::size_t at = 0;
    const auto word = [](char c) { return std::isalnum(static_cast<unsigned char>(c)) || c == '_' || c == ':'; };
    while (at < text.size()) {
        const char c = text[at];
        if (std::isspace(static_cast<unsigned char>(c))) {
            ++at;
            continue;
        }
        Token token{{}, "", 0, at};
        if (c == '#') {
            while (at < text.size() && text[at] != '\n') ++at;
            continue;
        }
        if (std::isdigit(static_cast<unsigned char>(c)) ||
            (c == '.' && at + 1 < text.size() && std::isdigit(static_cast<unsigned char>(text[at + 1])))) {
            std::size_t to = at;
            while (to < text.size() &&
                   (word(text[to]) || text[to] == '.' ||
                    ((text[to] == '+' || text[to] == '-') && (text[to - 1] == 'e' || text[to - 1] == 'E'))))
                ++to;
            token.text = text.substr(at, to - at);
            const auto [end, error] =
                std::from_chars(token.text.data(), token.text.data() + token.text.size(), token.number);
            token.kind = Token::Kind::number;
            if (error != std::errc{} || end != token.text.data() + token.text.size()) {
                const auto span = span_ms(token.text);
                if (!span)
                    throw Fault("'" + token.text + "' at " + std::to_string(at) + " is neither a number nor a span");
                token.kind = Token::Kind::span;
                token.number = *span;
            }
            at = to;
        } else if (word(c)) {
            std::size_t to = at;
            while (to < text.size() && word(text[to])) ++to;
            token.kind = Token::Kind::name;
            token.text = text.substr(at, to - at);
            at = to;
        } else if (c == '"' || c == '\'') {
            std::size_t to = at + 1;
            while (to < text.size() && text[to] != c) {
                if (text[to] == '\\' && to + 1 < text.size()) ++to;
                token.text.push_back(text[to++]);
            }
            if (to >= text.size()) throw Fault("a text that begins at " + std::to_string(at) + " does not end");
            token.kind = Token::Kind::text;
            at = to + 1;
        } else {
            static const std::string_view doubles[] = {"==", "!=", ">=", "<=", "=~", "!~"};
            token.kind = Token::Kind::sign;
            token.text = std::string(1, c);
            for (const std::string_view each : doubles)
                if (text.substr(at).starts_with(each)) token.text = each;
            at += token.text.size();
        }
        out.push_back(std::move(token));
    }
    out.push_back({Token::Kind::end, "the end", 0, text.size()});
    return out;
}

}  // namespace

// ---------------------------------------------------------------- the tree

struct Node {
    virtual ~Node() = default;
    virtual Vector at(const Database& data, std::int64_t ms) const = 0;
    virtual bool scalar() const { return false; }
};

namespace {

using Nodes = std::unique_ptr<Node>;

struct Matcher {
    std::string label, value;
    enum class How { same, other, like, unlike } how{};
    std::regex pattern;

    bool fits(const Labels& labels) const {
        const auto it = labels.find(label);
        const std::string& has = it == labels.end() ? none() : it->second;
        switch (how) {
            case How::same:
                return has == value;
            case How::other:
                return has != value;
            case How::like:
                return std::regex_match(has, pattern);
            default:
                return !std::regex_match(has, pattern);
        }
    }
    static const std::string& none() {
        static const std::string empty;
        return empty;
    }
};

Labels without_name(Labels labels) {
    labels.erase("__name__");
    return labels;
}

struct Number : Node {
    double value;
    explicit Number(double v) : value(v) {}
    Vector at(const Database&, std::int64_t) const override { return {{{}, value}}; }
    bool scalar() const override { return true; }
};

struct Select : Node {
    std::string name;
    std::vector<Matcher> matchers;
    std::int64_t range_ms{};  // 0: an instant

    bool fits(const Series& series) const {
        return std::all_of(matchers.begin(), matchers.end(), [&](const Matcher& m) { return m.fits(series.labels); });
    }
    static auto after(const std::vector<Point>& points, std::int64_t ms) {
        return std::upper_bound(points.begin(), points.end(), ms,
                                [](std::int64_t t, const Point& p) { return t < p.ms; });
    }
    Vector at(const Database& data, std::int64_t ms) const override {
        if (range_ms) throw Fault("a range of " + name + " stands where a moment is wanted");
        Vector out;
        for (const Series& series : data.named(name)) {
            if (!fits(series)) continue;
            const auto end = after(series.points, ms);
            if (end == series.points.begin()) continue;
            const Point& last = *(end - 1);
            if (last.ms > ms - lookback_ms && !stale(last.value)) out.push_back({series.labels, last.value});
        }
        return out;
    }
    void ranges(const Database& data, std::int64_t ms,
                const std::function<void(const Labels&, const std::vector<Point>&)>& each) const {
        for (const Series& series : data.named(name)) {
            if (!fits(series)) continue;
            std::vector<Point> points;
            for (auto it = std::lower_bound(series.points.begin(), series.points.end(), ms - range_ms,
                                            [](const Point&p, std::int64_t t) { return p.ms < t; });
                 it != series.points.end() && it->ms <= ms; ++it)
                if (!stale(it->value)) points.push_back(*it);
            if (!points.empty()) each(series.labels, points);
        }
    }
};

// By the published rule: the increase is carried to the ends of the range where samples come near them, and never
// below where the counter would have been zero.
std::optional<double> extrapolated(const std::vector<Point>& points, std::int64_t from, std::int64_t to,
                                   bool a_second) {
    if (points.size() < 2) return {};
    double increase = points.back().value - points.front().value, before = points.front().value;
    for (const Point& point : points) {
        if (point.value < before) increase += before;  // the counter began anew
        before = point.value;
    }
    double to_start = static_cast<double>(points.front().ms - from) / 1e3;
    const double to_end = static_cast<double>(to - points.back().ms) / 1e3;
    const double sampled = static_cast<double>(points.back().ms - points.front().ms) / 1e3;
    if (sampled <= 0) return {};
    const double between = sampled / static_cast<double>(points.size() - 1);
    if (increase > 0 && points.front().value >= 0)
        to_start = std::min(to_start, sampled * (points.front().value / increase));
    const double near = between * 1.1;
    double covered = sampled;
    covered += to_start < near ? to_start : between / 2;
    covered += to_end < near ? to_end : between / 2;
    const double factor = covered / sampled / (a_second ? static_cast<double>(to - from) / 1e3 : 1);
    return increase * factor;
}

struct OverRange : Node {
    std::string function;
    std::unique_ptr<Select> range;

    Vector at(const Database& data, std::int64_t ms) const override {
        Vector out;
        range->ranges(data, ms, [&](const Labels& labels, const std::vector<Point>& points) {
            std::optional<double> value;
            if (function == "rate" || function == "increase") {
                value = extrapolated(points, ms - range->range_ms, ms, function == "rate");
            } else {
                double sum = 0, most = points[0].value, least = points[0].value;
                std::size_t changes = 0;
                for (std::size_t i = 0; i < points.size(); ++i) {
                    sum += points[i].value;
                    most = std::max(most, points[i].value);
                    least = std::min(least, points[i].value);
                    changes += i > 0 && points[i].value != points[i - 1].value;
                }
                const auto n = static_cast<double>(points.size());
                value = function == "max_over_time"   ? most
                        : function == "min_over_time" ? least
                        : function == "avg_over_time" ? sum / n
                        : function == "sum_over_time" ? sum
                        : function == "changes"       ? static_cast<double>(changes)
                                                      : n;
            }
            if (value) out.push_back({without_name(labels), *value});
        });
        return out;
    }
};

struct Quantile : Node {
    double quantile{};
    Nodes buckets;

    static double of(double q, std::vector<std::pair<double, double>> bounds) {
        constexpr double nan = std::numeric_limits<double>::quiet_NaN(),
                         infinite = std::numeric_limits<double>::infinity();
        if (bounds.size() < 2 || !std::isinf(bounds.back().first)) return nan;
        for (std::size_t i = 1; i < bounds.size(); ++i)
            bounds[i].second = std::max(bounds[i].second, bounds[i - 1].second);
        const double all = bounds.back().second;
        if (all == 0 || std::isnan(q)) return nan;
        if (q < 0) return -infinite;
        if (q > 1) return infinite;
        double rank = q * all;
        std::size_t b = 0;
        while (b < bounds.size() - 1 && bounds[b].second < rank) ++b;
        if (b == bounds.size() - 1) return bounds[b - 1].first;
        if (b == 0 && bounds[0].first <= 0) return bounds[0].first;
        double start = 0, count = bounds[b].second;
        if (b > 0) {
            start = bounds[b - 1].first;
            count -= bounds[b - 1].second;
            rank -= bounds[b - 1].second;
        }
        return start + (bounds[b].first - start) * (rank / count);
    }
    Vector at(const Database& data, std::int64_t ms) const override {
        std::map<Labels, std::vector<std::pair<double, double>>> groups;
        for (Entry& each : buckets->at(data, ms)) {
            const auto le = each.labels.find("le");
            if (le == each.labels.end()) continue;
            const double bound =
                le->second == "+Inf" ? std::numeric_limits<double>::infinity() : std::atof(le->second.c_str());
            Labels rest = without_name(std::move(each.labels));
            rest.erase("le");
            groups[rest].emplace_back(bound, each.value);
        }
        Vector out;
        for (auto& [labels, bounds] : groups) {
            std::sort(bounds.begin(), bounds.end());
            out.push_back({labels, of(quantile, std::move(bounds))});
        }
        return out;
    }
};

struct Absent : Node {
    Nodes inner;
    Vector at(const Database& data, std::int64_t ms) const override {
        if (!inner->at(data, ms).empty()) return {};
        Labels labels;
        if (const auto* select = dynamic_cast<const Select*>(inner.get()))
            for (const Matcher& each : select->matchers)
                if (each.how == Matcher::How::same) labels[each.label] = each.value;
        return {{labels, 1}};
    }
};

struct Aggregate : Node {
    std::string function;
    bool by = true;
    std::vector<std::string> labels;
    Nodes inner;

    Vector at(const Database& data, std::int64_t ms) const override {
        struct Group {
            double sum{}, most{}, least{};
            std::size_t n{};
        };
        std::map<Labels, Group> groups;
        for (const Entry& each : inner->at(data, ms)) {
            Labels key;
            if (by) {
                for (const std::string& label : labels)
                    if (const auto it = each.labels.find(label); it != each.labels.end()) key.insert(*it);
            } else {
                key = without_name(each.labels);
                for (const std::string& label : labels) key.erase(label);
            }
            Group& g = groups[key];
            g.sum += each.value;
            g.most = g.n ? std::max(g.most, each.value) : each.value;
            g.least = g.n ? std::min(g.least, each.value) : each.value;
            ++g.n;
        }
        Vector out;
        for (const auto& [key, g] : groups) {
            const auto n = static_cast<double>(g.n);
            out.push_back({key, function == "sum"   ? g.sum
                                : function == "max" ? g.most
                                : function == "min" ? g.least
                                : function == "avg" ? g.sum / n
                                                    : n});
        }
        return out;
    }
};

struct Binary : Node {
    std::string sign;
    Nodes left, right;
    std::optional<bool> on;  // else ignoring
    std::vector<std::string> labels;

    bool scalar() const override { return left->scalar() && right->scalar(); }

    Labels key(const Labels& all) const {
        Labels out;
        if (on && *on) {
            for (const std::string& label : labels)
                if (const auto it = all.find(label); it != all.end()) out.insert(*it);
            return out;
        }
        out = without_name(all);
        for (const std::string& label : labels) out.erase(label);
        return out;
    }
    static bool compares(const std::string& s) {
        return s == ">" || s == "<" || s == ">=" || s == "<=" || s == "==" || s == "!=";
    }
    static bool holds(const std::string& s, double a, double b) {
        return s == ">"    ? a > b
               : s == "<"  ? a < b
               : s == ">=" ? a >= b
               : s == "<=" ? a <= b
               : s == "==" ? a == b
                           : a != b;
    }
    double value(double a, double b) const {
        return sign == "+" ? a + b : sign == "-" ? a - b : sign == "*" ? a * b : a / b;
    }

    Vector at(const Database& data, std::int64_t ms) const override {
        Vector a = left->at(data, ms), b = right->at(data, ms);
        if (sign == "and" || sign == "unless" || sign == "or") return sets(std::move(a), std::move(b));
        Vector out;
        if (scalar())
            return {{{}, compares(sign) ? holds(sign, a[0].value, b[0].value) : value(a[0].value, b[0].value)}};
        if (left->scalar() || right->scalar()) {
            const bool number_left = left->scalar();
            const double number = number_left ? a[0].value : b[0].value;
            for (Entry& each : number_left ? b : a) {
                const double x = number_left ? number : each.value, y = number_left ? each.value : number;
                if (!compares(sign))
                    out.push_back({without_name(std::move(each.labels)), value(x, y)});
                else if (holds(sign, x, y))
                    out.push_back(std::move(each));
            }
            return out;
        }
        std::map<Labels, double> others;
        for (const Entry& each : b)
            if (!others.emplace(key(each.labels), each.value).second)
                throw Fault("on the right of " + sign + " several series match one");
        std::set<Labels> met;
        for (Entry& each : a) {
            const Labels k = key(each.labels);
            const auto it = others.find(k);
            if (it == others.end()) continue;
            if (!met.insert(k).second) throw Fault("on the left of " + sign + " several series match one");
            if (!compares(sign))
                out.push_back({k, value(each.value, it->second)});
            else if (holds(sign, each.value, it->second))
                out.push_back(std::move(each));
        }
        return out;
    }
    Vector sets(Vector a, Vector b) const {
        std::set<Labels> keys;
        for (const Entry& each : sign == "or" ? a : b) keys.insert(key(each.labels));
        Vector out;
        if (sign == "or") {
            out = std::move(a);
            for (Entry& each : b)
                if (!keys.count(key(each.labels))) out.push_back(std::move(each));
            return out;
        }
        for (Entry& each : a)
            if ((keys.count(key(each.labels)) > 0) == (sign == "and")) out.push_back(std::move(each));
        return out;
    }
};

// ---------------------------------------------------------------- reading

class Parser {
public:
    explicit Parser(std::string_view text) : tokens_(tokens_of(text)) {}
    Nodes whole() {
        Nodes out = expression(0);
        if (now().kind != Token::Kind::end) wrong("an operator or the end");
        return out;
    }

private:
    const Token& now() const { return tokens_[at_]; }
    bool is(std::string_view sign) const { return now().text == sign && now().kind != Token::Kind::text; }
    bool take(std::string_view sign) {
        if (!is(sign) || now().kind == Token::Kind::end) return false;
        ++at_;
        return true;
    }
    void need(std::string_view sign) {
        if (!take(sign)) wrong("'" + std::string(sign) + "'");
    }
    [[noreturn]] void wrong(const std::string& wanted) const {
        throw Fault("at " + std::to_string(now().at) + ": " + wanted + " is wanted, not '" + now().text + "'");
    }
    std::string name() {
        if (now().kind != Token::Kind::name) wrong("a name");
        return tokens_[at_++].text;
    }
    std::vector<std::string> names() {
        std::vector<std::string> out;
        need("(");
        while (!take(")")) {
            out.push_back(name());
            if (!is(")")) need(",");
        }
        return out;
    }

    static int strength(const std::string& sign) {
        if (sign == "or") return 1;
        if (sign == "and" || sign == "unless") return 2;
        if (Binary::compares(sign)) return 3;
        if (sign == "+" || sign == "-") return 4;
        return sign == "*" || sign == "/" ? 5 : 0;
    }

    Nodes expression(int least) {
        if (++depth_ > deepest) throw Fault("at " + std::to_string(now().at) + ": nested too deeply");
        Nodes out = operators(least);
        --depth_;
        return out;
    }

    Nodes operators(int least) {
        Nodes left = unary();
        for (;;) {
            const std::string sign = now().text;
            const int strong = now().kind == Token::Kind::sign || now().kind == Token::Kind::name ? strength(sign) : 0;
            if (strong == 0 || strong <= least) return left;
            ++at_;
            auto both = std::make_unique<Binary>();
            both->sign = sign;
            if (is("on") || is("ignoring")) {
                both->on = is("on");
                ++at_;
                both->labels = names();
            }
            both->left = std::move(left);
            both->right = expression(strong);
            left = std::move(both);
        }
    }

    Nodes unary() {
        if (take("-")) {
            if (++depth_ > deepest) wrong("less nesting");
            auto both = std::make_unique<Binary>();
            both->sign = "*";
            both->left = std::make_unique<Number>(-1);
            both->right = unary();
            return both;
        }
        if (take("(")) {
            Nodes inner = expression(0);
            need(")");
            return inner;
        }
        if (now().kind == Token::Kind::number) return std::make_unique<Number>(tokens_[at_++].number);
        const std::string word = name();
        static const std::set<std::string> aggregates = {"sum", "max", "min", "avg", "count"};
        static const std::set<std::string> over = {"rate",          "increase",      "max_over_time",   "min_over_time",
                                                   "avg_over_time", "sum_over_time", "count_over_time", "changes"};
        if (aggregates.count(word) && (is("(") || is("by") || is("without"))) return aggregate(word);
        if (over.count(word) && is("(")) return over_range(word);
        if (word == "histogram_quantile") return quantile();
        if (word == "absent" && take("(")) {
            auto node = std::make_unique<Absent>();
            node->inner = expression(0);
            need(")");
            return node;
        }
        return select(word);
    }

    Nodes aggregate(const std::string& function) {
        auto node = std::make_unique<Aggregate>();
        node->function = function;
        const auto grouping = [&] {
            if (!is("by") && !is("without")) return;
            node->by = is("by");
            ++at_;
            node->labels = names();
        };
        grouping();
        need("(");
        node->inner = expression(0);
        need(")");
        grouping();
        return node;
    }

    Nodes over_range(const std::string& function) {
        auto node = std::make_unique<OverRange>();
        node->function = function;
        need("(");
        node->range = select(name());
        if (node->range->range_ms == 0) wrong("a range such as [1m] before this");
        need(")");
        return node;
    }

    Nodes quantile() {
        auto node = std::make_unique<Quantile>();
        need("(");
        if (now().kind != Token::Kind::number) wrong("a number");
        node->quantile = tokens_[at_++].number;
        need(",");
        node->buckets = expression(0);
        need(")");
        return node;
    }

    std::unique_ptr<Select> select(const std::string& word) {
        auto node = std::make_unique<Select>();
        node->name = word;
        if (take("{"))
            while (!take("}")) {
                Matcher m;
                m.label = name();
                static const std::map<std::string, Matcher::How> signs = {{"=", Matcher::How::same},
                                                                          {"!=", Matcher::How::other},
                                                                          {"=~", Matcher::How::like},
                                                                          {"!~", Matcher::How::unlike}};
                const auto how = signs.find(now().text);
                if (how == signs.end()) wrong("=, !=, =~ or !~");
                m.how = how->second;
                ++at_;
                if (now().kind != Token::Kind::text) wrong("a text in quotes");
                m.value = tokens_[at_++].text;
                if (m.how == Matcher::How::like || m.how == Matcher::How::unlike) {
                    try {
                        m.pattern = std::regex(m.value);
                    } catch (const std::regex_error&) {
                        throw Fault("'" + m.value + "' is no pattern");
                    }
                }
                node->matchers.push_back(std::move(m));
                if (!is("}")) need(",");
            }
        if (take("[")) {
            if (now().kind != Token::Kind::span) wrong("a span");
            node->range_ms = static_cast<std::int64_t>(tokens_[at_++].number);
            need("]");
        }
        return node;
    }

    std::vector<Token> tokens_;
    std::size_t at_{};
    int depth_{};
};

}  // namespace

void Database::add(Series series) {
    if (series.points.empty()) return;
    first_ = std::min(first_, series.points.front().ms);
    last_ = std::max(last_, series.points.back().ms);
    const std::string name = series.labels["__name__"];
    by_name_[name].push_back(std::move(series));
}

const std::vector<Series>& Database::named(const std::string& name) const {
    static const std::vector<Series> none;
    const auto it = by_name_.find(name);
    return it == by_name_.end() ? none : it->second;
}

Query::Query(std::string_view text) : root_(Parser(text).whole()) {}
Query::~Query() = default;
Query::Query(Query&&) noexcept = default;

Vector Query::at(const Database& data, std::int64_t ms) const {
    return root_->at(data, ms);
}

// ---------------------------------------------------------------- rules

RuleFile read_rules(const std::string& text) {
    RuleFile file;
    try {
        const YAML::Node whole = YAML::Load(text);
        if (!whole["groups"] || !whole["groups"].IsSequence()) throw Fault("the rule file has no list of groups");
        for (const YAML::Node& group : whole["groups"]) {
            const auto group_name = group["name"].as<std::string>();
            if (group["interval"]) {
                const auto span = span_ms(group["interval"].as<std::string>());
                if (!span || *span < 1) throw Fault("group " + group_name + ": its interval is no span");
                file.interval_ms = static_cast<std::int64_t>(*span);
            }
            for (const YAML::Node& each : group["rules"]) {
                if (!each["alert"]) continue;  // recorded rules are none of ours
                Rule rule{group_name, each["alert"].as<std::string>(), each["expr"].as<std::string>(), 0, {}, {}};
                if (each["for"]) {
                    const auto span = span_ms(each["for"].as<std::string>());
                    if (!span) throw Fault(rule.name + ": its for is no span");
                    rule.hold_ms = static_cast<std::int64_t>(*span);
                }
                for (const auto& label : each["labels"])
                    rule.labels[label.first.as<std::string>()] = label.second.as<std::string>();
                for (const auto& note : each["annotations"])
                    rule.annotations[note.first.as<std::string>()] = note.second.as<std::string>();
                try {
                    Query{rule.expr};
                } catch (const Fault& fault) {
                    throw Fault(rule.name + ": " + fault.what());
                }
                file.rules.push_back(std::move(rule));
            }
        }
    } catch (const YAML::Exception& fault) {
        throw Fault(std::string("the rule file: ") + fault.what());
    }
    return file;
}

std::vector<Turn> play(const RuleFile& file, const Database& data) {
    struct Alert {
        std::int64_t since{};
        bool firing{};
    };
    std::vector<Turn> out;
    std::vector<Query> queries;
    for (const Rule& rule : file.rules) queries.emplace_back(rule.expr);
    std::vector<std::map<Labels, Alert>> alerts(file.rules.size());
    for (std::int64_t ms = data.first_ms(); ms <= data.last_ms(); ms += file.interval_ms)
        for (std::size_t i = 0; i < file.rules.size(); ++i) {
            const Rule& rule = file.rules[i];
            std::set<Labels> met;
            for (const Entry& each : queries[i].at(data, ms)) {
                const Labels labels = without_name(each.labels);
                met.insert(labels);
                auto [it, fresh] = alerts[i].try_emplace(labels, Alert{ms, false});
                if (fresh && rule.hold_ms > 0) out.push_back({ms, rule.name, labels, Turn::To::pending, each.value});
                if (!it->second.firing && ms - it->second.since >= rule.hold_ms) {
                    it->second.firing = true;
                    out.push_back({ms, rule.name, labels, Turn::To::firing, each.value});
                }
            }
            std::erase_if(alerts[i], [&](const auto& each) {
                if (met.count(each.first)) return false;
                if (each.second.firing) out.push_back({ms, rule.name, each.first, Turn::To::resolved, 0});
                return true;
            });
        }
    return out;
}

}  // namespace plumkeel::promql
