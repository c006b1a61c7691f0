// The subset of PromQL that the shipped alert rules use, by its published semantics: selectors, ranges, rate and
// increase with counter resets and extrapolation, *_over_time, histogram_quantile, aggregation, arithmetic,
// comparison and set operators, staleness. Pure; it answers from samples in memory.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace plumkeel::promql {

using Labels = std::map<std::string, std::string>;  // with __name__ where there is a name

struct Point {
    std::int64_t ms{};
    double value{};  // a staleness mark ends the series
};

struct Series {
    Labels labels;
    std::vector<Point> points;  // by time
};

struct Entry {
    Labels labels;
    double value{};
};
using Vector = std::vector<Entry>;

struct Fault : std::runtime_error {  // tells the place in the text
    using std::runtime_error::runtime_error;
};

class Database {
public:
    void add(Series series);
    const std::vector<Series>& named(const std::string& name) const;
    std::int64_t first_ms() const { return first_; }
    std::int64_t last_ms() const { return last_; }

private:
    std::map<std::string, std::vector<Series>> by_name_;
    std::int64_t first_ = INT64_MAX, last_ = INT64_MIN;
};

struct Node;

class Query {
public:
    explicit Query(std::string_view text);  // throws Fault
    ~Query();
    Query(Query&&) noexcept;
    // An instant vector; a scalar is one entry without labels.
    Vector at(const Database& data, std::int64_t ms) const;

private:
    std::unique_ptr<Node> root_;
};

// ---------------------------------------------------------------- alert rules

struct Rule {
    std::string group, name, expr;
    std::int64_t hold_ms{};  // `for`
    Labels labels, annotations;
};

struct RuleFile {
    std::int64_t interval_ms = 1000;
    std::vector<Rule> rules;
};

// The text of a rule file (YAML). Throws Fault that names the rule.
RuleFile read_rules(const std::string& text);

struct Turn {  // of one alert, told apart by its labels
    std::int64_t ms{};
    std::string rule;
    Labels labels;
    enum class To { pending, firing, resolved } to{};
    double value{};
};

// Plays the rules over the samples, evaluated every `interval_ms` of the file.
std::vector<Turn> play(const RuleFile& file, const Database& data);

}  // namespace plumkeel::promql
