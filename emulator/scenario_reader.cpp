#include "emulator/scenario_reader.hpp"

#include <set>

namespace plumkeel::emulator {
namespace {

using namespace std::chrono_literals;
namespace json = boost::json;

const std::map<std::string, ScenarioEvent::Kind> event_kinds = {
    {"command", ScenarioEvent::Kind::command}, {"crash", ScenarioEvent::Kind::crash},
    {"vanish", ScenarioEvent::Kind::vanish},   {"replace", ScenarioEvent::Kind::replace},
    {"freeze", ScenarioEvent::Kind::freeze},   {"kill_controller", ScenarioEvent::Kind::kill_controller}};

const std::map<std::string, Idempotency> idempotency_by_setting = {{"replayable", Idempotency::idempotent},
                                                                   {"referenced", Idempotency::deduplicated},
                                                                   {"single_use", Idempotency::at_most_once}};

const std::map<std::string, DeduplicationScope> scope_by_setting = {
    {"everywhere", DeduplicationScope::global}, {"zone", DeduplicationScope::zone}, {"cell", DeduplicationScope::cell}};

std::vector<std::string> read_names(JsonnetReader& reader, std::string_view key) {
    std::vector<std::string> names;
    const json::value* value = reader.raw(key);
    if (!value) return names;
    if (value->is_string()) return {std::string(value->as_string())};
    if (!value->is_array()) reader.fail(key, "expected a name or a list of names");
    for (const auto& name : value->as_array()) {
        if (!name.is_string()) reader.fail(key, "expected a name or a list of names");
        names.emplace_back(name.as_string());
    }
    return names;
}

json::object read_object(JsonnetReader& reader, std::string_view key) {
    const json::value* value = reader.raw(key);
    if (!value) return {};
    if (!value->is_object()) reader.fail(key, "expected an object");
    return value->as_object();
}

void read_time_us(JsonnetReader& reader, std::string_view key, std::int64_t& into) {
    Time time(into);
    reader.read(key, time);
    into = time.count();
}

ScenarioInvoker read_invoker(JsonnetReader& reader) {
    ScenarioInvoker invoker;
    reader.require("name", invoker.name);
    reader.read("zone", invoker.zone);
    reader.read("kind", invoker.invoker_type);
    reader.read("cell", invoker.cell);
    reader.read("cores", invoker.cores);
    reader.read("speed", invoker.speed);
    reader.read("memory", invoker.memory_mb);
    return invoker;
}

ScenarioEvent read_event(JsonnetReader& reader, const std::set<std::string>& processes) {
    ScenarioEvent event;
    std::string kind;
    reader.require("at", event.at);
    reader.require("kind", kind);
    reader.read("lasts", event.duration);
    reader.read("notice", event.removal_delay);
    reader.read("drain", event.drain);
    reader.read("each", event.interval);
    reader.read("say", event.command);
    reader.read("then", event.undo_command);
    event.targets = read_names(reader, "who");
    const auto event_kind = event_kinds.find(kind);
    if (event_kind == event_kinds.end())
        reader.fail("kind",
                    "found '" + kind + "', expected command, crash, vanish, replace, freeze or kill_controller");
    event.kind = event_kind->second;
    if (event.targets.empty()) reader.fail("who", "is missing");
    for (const std::string& target : event.targets)
        if (!processes.count(target))
            reader.fail("who",
                        "found '" + target +
                            "', expected an invoker or controller of this scenario, store, list, clients or receiver");
    if (event.kind == ScenarioEvent::Kind::command && event.command.empty()) reader.fail("say", "is missing");
    return event;
}

const json::value* setting(const json::object& settings, const char* section, const char* key) {
    const json::value* object = settings.if_contains(section);
    return object && object->is_object() ? object->as_object().if_contains(key) : nullptr;
}

std::int64_t duration_us(const json::value& value) {
    return parse_duration(std::string_view(value.as_string())).count();
}

DeploymentRules::RequestClass class_rules(const json::object& settings) {
    DeploymentRules::RequestClass rules;
    if (const auto* setting_value = settings.if_contains("repeat"))
        rules.idempotency = idempotency_by_setting.at(std::string(setting_value->as_string()));
    if (const auto* setting_value = settings.if_contains("reach"))
        rules.scope = scope_by_setting.at(std::string(setting_value->as_string()));
    if (const auto* window = settings.if_contains("remembered")) rules.deduplication_window_us = duration_us(*window);
    return rules;
}

}  // namespace

void derive_rules(Scenario& scenario) {
    const json::object& settings = scenario.controller_settings;
    DeploymentRules& rules = scenario.rules;
    if (const auto* attempts = setting(settings, "allowances", "hops")) rules.max_attempts = attempts->to_number<int>();
    if (const auto* hedging = setting(settings, "allowances", "second_copies")) rules.hedging = hedging->as_bool();
    if (const auto* window = setting(settings, "rulebook", "load_span")) rules.load_window_us = duration_us(*window);
    if (const auto* loads = setting(settings, "rulebook", "free_loads")) rules.free_loads = loads->to_number<double>();
    if (const auto* loads = setting(settings, "rulebook", "loads_per_job"))
        rules.loads_per_request = loads->to_number<double>();
    if (const auto* classes = settings.if_contains("use_cases"); classes && classes->is_object())
        for (const auto& [name, request_class] : classes->as_object())
            rules.request_classes[std::string(name)] = class_rules(request_class.as_object());
    for (const ScenarioInvoker& invoker : scenario.invokers)
        rules.locations[invoker.name] = {invoker.zone, invoker.cell};
}

Scenario read_scenario(const std::string& file) {
    const auto value = evaluate_jsonnet(file);
    JsonnetReader reader(value, file);
    Scenario scenario;
    reader.read("length", scenario.length);
    reader.read("controllers", scenario.controllers, 1);
    reader.read("fresh", scenario.cold_start);
    scenario.controller_settings = read_object(reader, "controller");
    scenario.client_settings = read_object(reader, "clients");
    scenario.store_settings = read_object(reader, "store");
    scenario.invoker_settings = read_object(reader, "invoker");
    read_time_us(reader, "drain_grace", scenario.rules.drain_grace_us);
    read_time_us(reader, "slack", scenario.rules.slack_us);
    std::set<std::string> processes = {"store", "list", "clients", "receiver"};
    reader.read_array("invokers", [&](JsonnetReader& element) {
        const ScenarioInvoker& invoker = scenario.invokers.emplace_back(read_invoker(element));
        if (!processes.insert(invoker.name).second)
            element.fail("name", "'" + invoker.name + "' is already the name of another process");
    });
    for (int i = 1; i <= scenario.controllers; ++i) processes.insert("c" + std::to_string(i));
    reader.read_array("happenings",
                      [&](JsonnetReader& element) { scenario.events.push_back(read_event(element, processes)); });
    reader.reject_unknown_fields();
    if (scenario.invokers.empty()) reader.fail("invokers", "is missing");
    derive_rules(scenario);
    return scenario;
}

}  // namespace plumkeel::emulator
