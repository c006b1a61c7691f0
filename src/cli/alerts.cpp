#include "cli/alerts.hpp"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <bit>
#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "config/jsonnet_reader.hpp"
#include "emulator/promql.hpp"

namespace plumkeel::cli {
namespace {

namespace json = boost::json;

void emit(YAML::Emitter& out, const json::value& value) {
    if (const auto* object = value.if_object()) {
        out << YAML::BeginMap;
        for (const auto& [key, each] : *object) {
            out << YAML::Key << std::string(key) << YAML::Value;
            emit(out, each);
        }
        out << YAML::EndMap;
    } else if (const auto* array = value.if_array()) {
        out << YAML::BeginSeq;
        for (const json::value& each : *array) emit(out, each);
        out << YAML::EndSeq;
    } else if (const auto* text = value.if_string()) {
        out << std::string(*text);
    } else {
        out << json::serialize(value);
    }
}

// A template's figures are for itself; only its groups make the rule file.
std::string rules_text(const std::string& file) {
    if (!file.ends_with(".jsonnet")) {
        std::ifstream in(file);
        if (!in) throw promql::Fault(file + ": can't be read");
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }
    const json::value value = evaluate_jsonnet(file);
    if (!value.is_object() || !value.as_object().contains("groups")) throw promql::Fault(file + ": has no groups");
    YAML::Emitter out;
    emit(out, json::object{{"groups", value.at("groups")}});
    return std::string(out.c_str()) + "\n";
}

// What a strict receiver wrote: a line a series.
promql::Database samples_of(const std::string& file) {
    std::ifstream in(file);
    if (!in) throw promql::Fault(file + ": can't be read");
    promql::Database data;
    int number = 0;
    for (std::string line; std::getline(in, line);) {
        ++number;
        boost::system::error_code error;
        const auto value = json::parse(line, error);
        if (error || !value.is_object()) throw promql::Fault(fmt::format("{}:{}: is no JSON object", file, number));
        const auto& object = value.as_object();
        if (!object.contains("labels")) continue;
        promql::Series series;
        for (const auto& [label, text] : object.at("labels").as_object())
            series.labels[std::string(label)] = std::string(text.as_string());
        const auto& moments = object.at("ms").as_array();
        const auto& values = object.at("values").as_array();
        if (moments.size() != values.size())
            throw promql::Fault(fmt::format("{}:{}: moments and values differ in number", file, number));
        for (std::size_t i = 0; i < moments.size(); ++i)
            series.points.push_back(
                {moments[i].as_int64(), values[i].is_null() ? std::bit_cast<double>(std::uint64_t{0x7ff0000000000002})
                                                            : values[i].to_number<double>()});
        data.add(std::move(series));
    }
    return data;
}

int test(const std::string& rules, const std::vector<std::string>& samples, bool quiet) {
    const promql::RuleFile file = promql::read_rules(rules_text(rules));
    int fired = 0;
    for (const std::string& each : samples) {
        const promql::Database data = samples_of(each);
        if (data.last_ms() < data.first_ms()) throw promql::Fault(each + ": holds no samples");
        static constexpr const char* words[] = {"pending", "firing", "resolved"};
        for (const promql::Turn& turn : promql::play(file, data)) {
            fired += turn.to == promql::Turn::To::firing;
            if (quiet && turn.to != promql::Turn::To::firing) continue;
            std::string labels;
            for (const auto& [name, value] : turn.labels)
                labels += fmt::format("{}{}={}", labels.empty() ? " " : ",", name, value);
            fmt::print("{:8.1f} s  {:<9} {}{}", static_cast<double>(turn.ms - data.first_ms()) / 1e3,
                       words[static_cast<int>(turn.to)], turn.rule, labels);
            fmt::print("{}\n", turn.to == promql::Turn::To::resolved ? "" : fmt::format("  ({:.3g})", turn.value));
        }
    }
    fmt::print("{} rules, {} alerts fired\n", file.rules.size(), fired);
    return 0;
}

}  // namespace

std::function<int()> add_alerts(CLI::App& app) {
    struct Given {
        std::string rules;
        std::vector<std::string> samples;
        bool quiet{};
    };
    const auto given = std::make_shared<Given>();
    CLI::App* alerts = app.add_subcommand("alerts", "alert rules");
    alerts->require_subcommand(1);
    CLI::App* write = alerts->add_subcommand("rules", "write the rule file that a template makes");
    CLI::App* try_out =
        alerts->add_subcommand("test", "play samples against rules: when would each be pending, fire, be resolved");
    for (CLI::App* command : {write, try_out})
        command->add_option("rules", given->rules, "a rule file, or a template of one")->required();
    try_out->add_option("samples", given->samples, "as plumkeel-emulator receiver records them")->required();
    try_out->add_flag("--quiet", given->quiet, "only what fires");
    return [given, write] {
        if (!*write) return test(given->rules, given->samples, given->quiet);
        const std::string text = rules_text(given->rules);
        promql::read_rules(text);  // what would not be understood is not written
        std::cout << text;
        return 0;
    };
}

}  // namespace plumkeel::cli
