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

/// A file of rules or samples that can't be used; what() names it.
struct FileError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

std::ifstream open_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw FileError(path + ": can't be read");
    return file;
}

// ---------------------------------------------------------------- rule files

void emit_yaml(YAML::Emitter& out, const json::value& value) {
    if (const auto* object = value.if_object()) {
        out << YAML::BeginMap;
        for (const auto& [key, member] : *object) {
            out << YAML::Key << std::string(key) << YAML::Value;
            emit_yaml(out, member);
        }
        out << YAML::EndMap;
    } else if (const auto* array = value.if_array()) {
        out << YAML::BeginSeq;
        for (const json::value& element : *array) emit_yaml(out, element);
        out << YAML::EndSeq;
    } else if (const auto* text = value.if_string()) {
        out << std::string(*text);
    } else {
        out << json::serialize(value);
    }
}

// A template may have other members, for its own use; only its groups make the rule file.
std::string expand_template(const std::string& path) {
    const json::value value = evaluate_jsonnet(path);
    if (!value.is_object() || !value.as_object().contains("groups"))
        throw FileError(path + ": must be an object with the member 'groups'");
    YAML::Emitter out;
    emit_yaml(out, json::object{{"groups", value.at("groups")}});
    return std::string(out.c_str()) + "\n";
}

std::string read_rule_text(const std::string& path) {
    if (path.ends_with(".jsonnet")) return expand_template(path);
    std::ostringstream text;
    text << open_file(path).rdbuf();
    return text.str();
}

// ---------------------------------------------------------------- recorded samples

promql::Series read_series(const json::object& record, const std::string& position) {
    promql::Series series;
    for (const auto& [label, text] : record.at("labels").as_object())
        series.labels[std::string(label)] = std::string(text.as_string());
    const json::array& timestamps = record.at("ms").as_array();
    const json::array& values = record.at("values").as_array();
    if (timestamps.size() != values.size()) throw FileError(position + ": 'ms' and 'values' differ in length");
    for (std::size_t i = 0; i < timestamps.size(); ++i) {
        // JSON has no NaN: null is a staleness marker.
        const double value = values[i].is_null() ? promql::stale_marker() : values[i].to_number<double>();
        series.samples.push_back({timestamps[i].as_int64(), value});
    }
    return series;
}

// The file of a remote write receiver of the emulator: one JSON object a line, those with labels are series.
promql::Database read_samples(const std::string& path) {
    std::ifstream file = open_file(path);
    promql::Database data;
    int line_number = 0;
    for (std::string line; std::getline(file, line);) {
        const std::string position = fmt::format("{}:{}", path, ++line_number);
        boost::system::error_code error;
        const json::value record = json::parse(line, error);
        if (error || !record.is_object()) throw FileError(position + ": is not a JSON object");
        if (record.as_object().contains("labels")) data.add(read_series(record.as_object(), position));
    }
    if (data.last_ms() < data.first_ms()) throw FileError(path + ": has no samples");
    return data;
}

// ---------------------------------------------------------------- commands

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
    const promql::RuleFile file = promql::read_rules(read_rule_text(rules_path));
    int fired = 0;
    for (const std::string& path : sample_paths) {
        const promql::Database data = read_samples(path);
        for (const promql::AlertTransition& transition : promql::evaluate_rules(file, data)) {
            const bool firing = transition.state == promql::AlertState::firing;
            fired += firing;
            if (firing || !quiet) print_transition(transition, data.first_ms());
        }
    }
    fmt::print("{} rules, {} alerts fired\n", file.rules.size(), fired);
    return 0;
}

int write_rules(const std::string& path) {
    const std::string text = read_rule_text(path);
    promql::read_rules(text);  // throws where the rules are not valid: then nothing is written
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
    CLI::App* alerts = app.add_subcommand("alerts", "alert rules");
    alerts->require_subcommand(1);
    CLI::App* rules = alerts->add_subcommand("rules", "write the rule file that a template makes");
    CLI::App* test =
        alerts->add_subcommand("test", "evaluate rules over samples: when each alert is pending, firing and resolved");
    for (CLI::App* command : {rules, test})
        command->add_option("rules", options->rules, "a rule file, or a template of one")->required();
    test->add_option("samples", options->samples, "as plumkeel-emulator receiver records them")->required();
    test->add_flag("--quiet", options->quiet, "only alerts that fire");
    return [options, rules] {
        if (*rules) return write_rules(options->rules);
        return test_rules(options->rules, options->samples, options->quiet);
    };
}

}  // namespace plumkeel::cli
