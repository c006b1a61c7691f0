#include "emulator/simulation_import.hpp"

#include "emulator/scenario_reader.hpp"
#include "emulator/simulation_faults.hpp"

namespace plumkeel::emulator {
namespace {

namespace json = boost::json;

constexpr int controllers = 3, invokers = 12, cores = 4;
constexpr double highest_load = 0.7;  // of the fleet's capacity
constexpr int load_time_ms = 600, concurrency = 2, memory_mb = 400, functions = 60, queue_limit = 24;
constexpr double zipf_exponent = 1.1, tenant_quota_per_s = 1000, cold_share = 0.2;
constexpr int rate_multiple = 2;

double number(const json::value& value) {
    return value.to_number<double>();
}

/// Settings of the request classes on both sides.
struct RequestClasses {
    json::object controller, clients;
    double mean_run_time_ms{};
};

std::string milliseconds(const json::object& request_class, const char* key) {
    return std::to_string(static_cast<std::int64_t>(number(request_class.at(key)) / 1000)) + "ms";
}

RequestClasses import_classes(const json::array& classes) {
    static const std::map<std::string, std::string> idempotency_words = {
        {"safe", "replayable"}, {"keyed", "referenced"}, {"unsafe", "single_use"}};
    static const std::map<std::string, std::string> scope_words = {
        {"all", "everywhere"}, {"zone", "zone"}, {"cell", "cell"}};
    RequestClasses out;
    for (const auto& element : classes) {
        const json::object& request_class = element.as_object();
        const std::string name(request_class.at("name").as_string());
        const std::string idempotency = idempotency_words.at(std::string(request_class.at("effect").as_string()));
        const double run_time_ms = number(request_class.at("work")) / 1000;
        out.controller[name] = {{"promised", milliseconds(request_class, "aim")},
                                {"repeat", idempotency},
                                {"reach", scope_words.at(std::string(request_class.at("group").as_string()))},
                                {"remembered", milliseconds(request_class, "window")}};
        out.clients[name] = {{"repeat", idempotency},
                             {"share", request_class.at("share")},
                             {"work_ms", run_time_ms},
                             {"load_ms", load_time_ms},
                             {"expiry", milliseconds(request_class, "deadline")},
                             {"promised", milliseconds(request_class, "aim")},
                             {"lanes", concurrency},
                             {"memory", memory_mb}};
        out.mean_run_time_ms += run_time_ms * number(request_class.at("share"));
    }
    return out;
}

json::object client_settings(const json::object& simulation, const RequestClasses& classes) {
    json::object tenants;
    for (const auto& tenant : simulation.at("tenants").as_array())
        tenants[std::string(tenant.at("name").as_string())] = {{"share", tenant.at("traffic")}};
    // The simulation's share of its capacity in use, of the small fleet's.
    const double load = std::min(highest_load, number(simulation.at("traffic").at("load")));
    const json::object& clients = simulation.at("clients").as_object();
    return {{"rate", load * invokers * cores * 1000 / classes.mean_run_time_ms},
            {"functions", functions},
            {"zipf", zipf_exponent},
            {"use_cases", classes.clients},
            {"tenants", tenants},
            {"retries", static_cast<int>(number(clients.at("retries")))},
            {"try_share", number(clients.at("try_share"))},
            {"impatient", number(clients.at("impatient"))}};
}

json::object controller_settings(const json::object& simulation, const RequestClasses& classes) {
    json::object tenants;
    for (const auto& tenant : simulation.at("tenants").as_array())
        tenants[std::string(tenant.at("name").as_string())] = {{"share_per_s", tenant_quota_per_s}};
    const json::object& allowed = simulation.at("allow").as_object();
    return {{"use_cases", classes.controller},
            {"tenants", tenants},
            {"rulebook",
             {{"cold_for", "5s"}, {"cold_share", cold_share}, {"push_multiple", rate_multiple}, {"push_span", "2s"}}},
            {"allowances",
             {{"second_copies", allowed.at("second_copies")},
              {"hops", static_cast<int>(number(allowed.at("max_attempts")))},
              {"keep_alive", "6s"}}}};
}

json::object invoker_settings(const RequestClasses& classes) {
    return {{"cold_share", cold_share}, {"cold_for", "5s"},   {"push_multiple", rate_multiple},
            {"push_span", "2s"},        {"keep_alive", "6s"}, {"mean_work_ms", classes.mean_run_time_ms},
            {"queue", queue_limit}};
}

}  // namespace

Scenario import_simulation(const std::string& file, Time length) {
    const json::value value = evaluate_jsonnet(file);
    const json::object& simulation = value.as_object();
    Scenario scenario;
    scenario.length = length;
    scenario.controllers = controllers;
    for (int i = 1; i <= invokers; ++i) {
        ScenarioInvoker& invoker = scenario.invokers.emplace_back();
        invoker.name = "i" + std::to_string(i);
        invoker.cores = cores;
    }
    const RequestClasses classes = import_classes(simulation.at("classes").as_array());
    scenario.client_settings = client_settings(simulation, classes);
    scenario.controller_settings = controller_settings(simulation, classes);
    scenario.invoker_settings = invoker_settings(classes);
    scenario.rules.drain_grace_us = static_cast<std::int64_t>(number(simulation.at("drain_grace")));
    import_faults(simulation, file, scenario);
    derive_rules(scenario);
    return scenario;
}

}  // namespace plumkeel::emulator
