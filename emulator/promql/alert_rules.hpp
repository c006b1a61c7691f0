/// Alert rules of a Prometheus rule file, and their evaluation over samples.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "emulator/promql/database.hpp"
#include "emulator/promql/error.hpp"

namespace plumkeel::promql {

struct AlertRule {
    std::string group, name, expr;
    std::int64_t for_ms{};  ///< how long the expression must hold before the alert fires
    Labels labels, annotations;
};

struct RuleFile {
    std::int64_t interval_ms = 1000;  ///< between two evaluations
    std::vector<AlertRule> rules;
};

/// Reads the text of a rule file (YAML); recording rules are ignored. Throws Error that names the rule.
RuleFile read_rules(const std::string& text);

enum class AlertState { pending, firing, resolved };

std::string_view to_string(AlertState state);

/// A change of state of one alert, which is identified by its rule and its labels.
struct AlertTransition {
    std::int64_t ms{};
    std::string rule;
    Labels labels;
    AlertState state{};
    double value{};  ///< of the expression; 0 once resolved
};

/// Evaluates the rules at the file's interval, from the oldest sample to the newest.
std::vector<AlertTransition> evaluate_rules(const RuleFile& file, const Database& data);

}  // namespace plumkeel::promql
