#include "cli/alerts.hpp"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <stdexcept>

#include "config/jsonnet_reader.hpp"
#include "emulator/promql/alert_rules.hpp"

namespace plumkeel::cli {
namespace {

namespace json = boost::json;

/// A rule or sample file can't be read or has invalid content; what() names the file.
struct FileError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

std::ifstream open_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw FileError(path + ": the file can't be read");
    return file;
}

// ---------------------------------------------------------------- reading alert rule files

void emit_yaml(YAML::Emitter& emitter, const json::value& value) {
    if (const auto* object = value.if_object()) {
        emitter << YAML::BeginMap;
        for (const auto& [key, member] : *object) {
            emitter << YAML::Key << std::string(key) << YAML::Value;
            emit_yaml(emitter, member);
        }
        emitter << YAML::EndMap;
    } else if (const auto* array = value.if_array()) {
        emitter << YAML::BeginSeq;
        for (const json::value& element : *array) emit_yaml(emitter, element);
        emitter << YAML::EndSeq;
    } else if (const auto* text = value.if_string()) {
        emitter << std::string(*text);
    } else {
        emitter << json::serialize(value);
    }
}

// Evaluates a Jsonnet template and returns its member `groups` as a YAML rule file; other members are left out.
std::string expand_template(const std::string& path) {
    const json::value value = evaluate_jsonnet(path);
    if (!value.is_object() || !value.as_object().contains("groups"))
        throw FileError(path + ": the template's value must be an object with the member 'groups'");
    YAML::Emitter emitter;
    emit_yaml(emitter, json::object{{"groups", value.at("groups")}});
    return std::string(emitter.c_str()) + "\n";
}

std::string read_rule_text(const std::string& path) {
    if (path.ends_with(".jsonnet")) return expand_template(path);
    std::ostringstream text;
    text << open_file(path).rdbuf();
    return text.str();
}

// ---------------------------------------------------------------- reading recorded samples

promql::Series read_series(const json::object& record, const std::string& location) {
    promql::Series series;
    for (const auto& [label, text] : record.at("labels").as_object())
        series.labels[std::string(label)] = std::string(text.as_string());
    const json::array& timestamps = record.at("ms").as_array();
    const json::array& values = record.at("values").as_array();
    if (timestamps.size() != values.size())
        throw FileError(location + ": the arrays 'ms' and 'values' must have the same length");
    for (std::size_t i = 0; i < timestamps.size(); ++i) {
        // A recorded null stands for a staleness marker, a NaN that JSON can't represent.
        const double value = values[i].is_null() ? promql::stale_marker() : values[i].to_number<double>();
        series.samples.push_back({timestamps[i].as_int64(), value});
    }
    return series;
}

// Reads a file recorded by `plumkeel-emulator receiver`: one JSON object per line. Objects without `labels` are
// skipped.
promql::Database read_samples(const std::string& path) {
    std::ifstream file = open_file(path);
    promql::Database database;
    int line_number = 0;
    for (std::string line; std::getline(file, line);) {
        const std::string location = fmt::format("{}:{}", path, ++line_number);
        boost::system::error_code error;
        const json::value record = json::parse(line, error);
        if (error || !record.is_object()) throw FileError(location + ": the line is not a JSON object");
        if (record.as_object().contains("labels")) database.add(read_series(record.as_object(), location));
    }
    if (database.last_ms() < database.first_ms()) throw FileError(path + ": the file contains no samples");
    return database;
}

// ---------------------------------------------------------------- the commands `alerts rules` and `alerts test`

void print_transition(const promql::AlertTransition& transition, std::int64_t start_ms) {
    std::string labels;
    for (const auto& [name, value] : transition.labels)
        labels += fmt::format("{}{}={}", labels.empty() ? " " : ",", name, value);
    fmt::print("{:8.1f} s  {:<9} {}{}", static_cast<double>(transition.ms - start_ms) / 1e3,
               promql::to_string(transition.state), transition.rule, labels);
    const bool has_value = transition.state != promql::AlertState::resolved;
    fmt::print("{}\n", has_value ? fmt::format("  ({:.3g})", transition.value) : "");
}

int test_rules(const std::string& rules_path, const std::vector<std::string>& sample_paths, bool quiet) {
    const promql::RuleFile rule_file = promql::read_rules(read_rule_text(rules_path));
    int fired_alerts = 0;
    for (const std::string& path : sample_paths) {
        const promql::Database database = read_samples(path);
        for (const promql::AlertTransition& transition : promql::evaluate_rules(rule_file, database)) {
            const bool firing = transition.state == promql::AlertState::firing;
            fired_alerts += firing;
            if (firing || !quiet) print_transition(transition, database.first_ms());
        }
    }
    fmt::print("{} rules, {} alerts fired\n", rule_file.rules.size(), fired_alerts);
    return 0;
}

int print_rules(const std::string& path) {
    const std::string text = read_rule_text(path);
    promql::read_rules(text);  // throws if the rules are invalid, before anything is printed
    std::cout << text;
    return 0;
}

}  // namespace

std::function<int()> add_alerts(CLI::App& app) {
    struct Options {
        std::string rules;
        std::vector<std::string> samples;
        bool quiet{};
    };
    const auto options = std::make_shared<Options>();
    CLI::App* alerts = app.add_subcommand("alerts", "print or test alert rules");
    alerts->require_subcommand(1);
    CLI::App* rules = alerts->add_subcommand("rules", "print a rule file, expanded if it is a template");
    CLI::App* test = alerts->add_subcommand(
        "test", "evaluate rules over recorded samples; print when alerts are pending, firing and resolved");
    for (CLI::App* command : {rules, test})
        command->add_option("rules", options->rules, "a rule file (YAML), or a Jsonnet template of one (*.jsonnet)")
            ->required();
    test->add_option("samples", options->samples, "files recorded by plumkeel-emulator receiver")->required();
    test->add_flag("--quiet", options->quiet, "print only alerts that fire");
    return [options, rules] {
        if (*rules) return print_rules(options->rules);
        return test_rules(options->rules, options->samples, options->quiet);
    };
}

}  // namespace plumkeel::cli
