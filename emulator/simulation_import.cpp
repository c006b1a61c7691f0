#include "emulator/simulation_import.hpp"

#include "emulator/scenario_reader.hpp"
#include "emulator/simulation_faults.hpp"

namespace plumkeel::emulator {
namespace {

namespace json = boost::json;

constexpr int controller_count = 3, invoker_count = 12, cores_per_invoker = 4;
constexpr double max_load = 0.7;  // share of the fleet's capacity
constexpr int load_time_ms = 600, concurrency = 2, memory_mb = 400, function_count = 60, queue_limit = 24;
constexpr double zipf_exponent = 1.1, tenant_quota_per_s = 1000, cold_share = 0.2;
constexpr int rate_multiple = 2;

double number(const json::value& value) {
    return value.to_number<double>();
}

/// Settings of the request classes for the controllers and for the clients.
struct RequestClasses {
    json::object controller, clients;
    double mean_run_time_ms{};
};

std::string milliseconds(const json::object& request_class, const char* key) {
    return std::to_string(static_cast<std::int64_t>(number(request_class.at(key)) / 1000)) + "ms";
}

RequestClasses import_classes(const json::array& classes) {
    static const std::map<std::string, std::string> idempotency_settings = {
        {"safe", "replayable"}, {"keyed", "referenced"}, {"unsafe", "single_use"}};
    static const std::map<std::string, std::string> scope_settings = {
        {"all", "everywhere"}, {"zone", "zone"}, {"cell", "cell"}};
    RequestClasses settings;
    for (const auto& element : classes) {
        const json::object& request_class = element.as_object();
        const std::string name(request_class.at("name").as_string());
        const std::string idempotency = idempotency_settings.at(std::string(request_class.at("effect").as_string()));
        const double run_time_ms = number(request_class.at("work")) / 1000;
        settings.controller[name] = {{"promised", milliseconds(request_class, "aim")},
                                     {"repeat", idempotency},
                                     {"reach", scope_settings.at(std::string(request_class.at("group").as_string()))},
                                     {"remembered", milliseconds(request_class, "window")}};
        settings.clients[name] = {{"repeat", idempotency},
                                  {"share", request_class.at("share")},
                                  {"work_ms", run_time_ms},
                                  {"load_ms", load_time_ms},
                                  {"expiry", milliseconds(request_class, "deadline")},
                                  {"promised", milliseconds(request_class, "aim")},
                                  {"lanes", concurrency},
                                  {"memory", memory_mb}};
        settings.mean_run_time_ms += run_time_ms * number(request_class.at("share"));
    }
    return settings;
}

json::object client_settings(const json::object& simulation, const RequestClasses& classes) {
    json::object tenants;
    for (const auto& tenant : simulation.at("tenants").as_array())
        tenants[std::string(tenant.at("name").as_string())] = {{"share", tenant.at("traffic")}};
    // Uses the same share of the capacity as the simulation, up to a limit.
    const double load = std::min(max_load, number(simulation.at("traffic").at("load")));
    const json::object& clients = simulation.at("clients").as_object();
    return {{"rate", load * invoker_count * cores_per_invoker * 1000 / classes.mean_run_time_ms},
            {"functions", function_count},
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
    const json::object& limits = simulation.at("allow").as_object();
    return {{"use_cases", classes.controller},
            {"tenants", tenants},
            {"rulebook",
             {{"cold_for", "5s"}, {"cold_share", cold_share}, {"push_multiple", rate_multiple}, {"push_span", "2s"}}},
            {"allowances",
             {{"second_copies", limits.at("second_copies")},
              {"hops", static_cast<int>(number(limits.at("max_attempts")))},
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
    scenario.controllers = controller_count;
    for (int i = 1; i <= invoker_count; ++i) {
        ScenarioInvoker& invoker = scenario.invokers.emplace_back();
        invoker.name = "i" + std::to_string(i);
        invoker.cores = cores_per_invoker;
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
