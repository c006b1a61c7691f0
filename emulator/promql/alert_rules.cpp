#include "emulator/promql/alert_rules.hpp"

#include <yaml-cpp/yaml.h>

#include <map>
#include <optional>
#include <set>
#include <utility>

#include "emulator/promql/lexer.hpp"
#include "emulator/promql/query.hpp"

namespace plumkeel::promql {
namespace {

std::int64_t read_duration_ms(const YAML::Node& node, const std::string& field, std::int64_t min_ms) {
    const std::optional<double> duration_ms = parse_duration_ms(node.as<std::string>());
    if (!duration_ms || *duration_ms < static_cast<double>(min_ms))
        throw Error(field + ": expected a duration of at least " + std::to_string(min_ms) + " ms such as 30s, found '" +
                    node.as<std::string>() + "'");
    return static_cast<std::int64_t>(*duration_ms);
}

Labels read_labels(const YAML::Node& node) {
    Labels labels;
    for (const auto& entry : node) labels[entry.first.as<std::string>()] = entry.second.as<std::string>();
    return labels;
}

AlertRule read_rule(const YAML::Node& node, const std::string& group) {
    AlertRule rule{group, node["alert"].as<std::string>(), node["expr"].as<std::string>(), 0, {}, {}};
    if (node["for"]) rule.for_ms = read_duration_ms(node["for"], rule.name + ": for", 0);
    rule.labels = read_labels(node["labels"]);
    rule.annotations = read_labels(node["annotations"]);
    try {
        Query{rule.expr};
    } catch (const Error& error) {
        throw Error(rule.name + ": " + error.what());
    }
    return rule;
}

void read_group(const YAML::Node& group, RuleFile& file) {
    const auto name = group["name"].as<std::string>();
    if (group["interval"]) file.interval_ms = read_duration_ms(group["interval"], "group " + name + ": interval", 1);
    for (const YAML::Node& rule : group["rules"])
        if (rule["alert"]) file.rules.push_back(read_rule(rule, name));
}

// Evaluates one alert rule and stores the state of its alerts.
class RuleEvaluator {
public:
    explicit RuleEvaluator(const AlertRule& rule) : rule_(rule), query_(rule.expr) {}

    void evaluate(const Database& database, std::int64_t time_ms, std::vector<AlertTransition>& transitions) {
        std::set<Labels> active_labels;
        for (const VectorElement& element : query_.evaluate(database, time_ms)) {
            const Labels labels = without_metric_name(element.labels);
            active_labels.insert(labels);
            update_alert(labels, element.value, time_ms, transitions);
        }
        std::erase_if(alerts_, [&](const auto& entry) {
            const auto& [labels, alert] = entry;
            if (active_labels.contains(labels)) return false;
            if (alert.firing) transitions.push_back({time_ms, rule_.name, labels, AlertState::resolved, 0});
            return true;
        });
    }

private:
    struct Alert {
        std::int64_t active_since_ms{};
        bool firing{};
    };

    void update_alert(const Labels& labels, double value, std::int64_t time_ms,
                      std::vector<AlertTransition>& transitions) {
        const auto [it, is_new] = alerts_.try_emplace(labels, Alert{time_ms, false});
        Alert& alert = it->second;
        if (is_new && rule_.for_ms > 0)
            transitions.push_back({time_ms, rule_.name, labels, AlertState::pending, value});
        if (alert.firing || time_ms - alert.active_since_ms < rule_.for_ms) return;
        alert.firing = true;
        transitions.push_back({time_ms, rule_.name, labels, AlertState::firing, value});
    }

    const AlertRule& rule_;
    Query query_;
    std::map<Labels, Alert> alerts_;
};

}  // namespace

RuleFile read_rules(const std::string& text) {
    RuleFile file;
    try {
        const YAML::Node root = YAML::Load(text);
        if (!root["groups"] || !root["groups"].IsSequence())
            throw Error("rule file: the key 'groups' is missing or is not a list");
        for (const YAML::Node& group : root["groups"]) read_group(group, file);
    } catch (const YAML::Exception& error) {
        throw Error(std::string("rule file: ") + error.what());
    }
    return file;
}

std::string_view to_string(AlertState state) {
    switch (state) {
        case AlertState::pending:
            return "pending";
        case AlertState::firing:
            return "firing";
        case AlertState::resolved:
            break;
    }
    return "resolved";
}

std::vector<AlertTransition> evaluate_rules(const RuleFile& file, const Database& database) {
    std::vector<AlertTransition> transitions;
    std::vector<RuleEvaluator> evaluators;
    evaluators.reserve(file.rules.size());
    for (const AlertRule& rule : file.rules) evaluators.emplace_back(rule);
    for (std::int64_t time_ms = database.first_ms(); time_ms <= database.last_ms(); time_ms += file.interval_ms)
        for (RuleEvaluator& evaluator : evaluators) evaluator.evaluate(database, time_ms, transitions);
    return transitions;
}

}  // namespace plumkeel::promql
