/// Reads the alert rules of a Prometheus rule file and evaluates them over recorded samples.
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
    std::int64_t for_ms{};  ///< how long an alert must be active before it fires
    Labels labels, annotations;
};

struct RuleFile {
    std::int64_t interval_ms = 1000;  ///< time between two evaluations of every rule
    std::vector<AlertRule> rules;
};

/// Parses a rule file in YAML and ignores its recording rules. Throws Error if the file or an expression is invalid.
RuleFile read_rules(const std::string& text);

enum class AlertState { pending, firing, resolved };

std::string_view to_string(AlertState state);

/// A change of the state of an alert. An alert is identified by its rule and its labels.
struct AlertTransition {
    std::int64_t ms{};
    std::string rule;
    Labels labels;
    AlertState state{};
    double value{};  ///< value of the rule's expression; 0 if the alert is resolved
};

/// Evaluates the rules every `interval_ms`, from the oldest sample in the database to the newest.
std::vector<AlertTransition> evaluate_rules(const RuleFile& file, const Database& database);

}  // namespace plumkeel::promql
