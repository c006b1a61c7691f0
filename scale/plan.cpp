#include "scale/plan.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "config/jsonnet_reader.hpp"
#include "scale/resource_needs.hpp"

namespace plumkeel::scale {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_invokers = 100'000, max_functions = 2'000'000, max_controllers = 20'000;
constexpr std::size_t max_watchers = 20'000, max_platform_invokers = 20'000, max_changes = 10'000;
constexpr std::size_t max_instances = 10'000, max_zones = 1000;
constexpr int max_runs = 20;
constexpr Time max_duration = 20min;
constexpr double max_requests_per_s = 1e6, max_exponent = 5, max_cores = 1024;

const std::map<std::string, Disturbance> disturbances = {{"none", Disturbance::none},
                                                         {"restarts", Disturbance::restarts},
                                                         {"zone_outage", Disturbance::zone_outage},
                                                         {"whole_list", Disturbance::full_list},
                                                         {"new_names", Disturbance::new_functions},
                                                         {"parked_functions", Disturbance::parked_functions},
                                                         {"units_change", Disturbance::capacity_changes}};

void read_count(JsonnetReader& reader, const char* key, std::size_t& into, std::size_t min, std::size_t max) {
    reader.read(key, into, min);
    if (into > max) reader.fail(key, fmt::format("expected at most {}", max));
}

void read_positive(JsonnetReader& reader, const char* key, double& into, double max) {
    reader.read(key, into);
    if (!(into > 0) || into > max) reader.fail(key, fmt::format("expected more than 0 and at most {}", max));
}

void read_duration(JsonnetReader& reader, const char* key, Time& into) {
    reader.read(key, into);
    if (into <= Time{} || into > max_duration) reader.fail(key, "expected more than 0s and at most 20min");
}

std::vector<std::size_t> read_sizes(JsonnetReader& reader, std::size_t max) {
    const boost::json::value* const sizes = reader.raw("sizes");
    if (!sizes || !sizes->is_array() || sizes->as_array().empty())
        reader.fail("sizes", "expected a non-empty array of numbers");
    std::vector<std::size_t> out;
    for (const auto& element : sizes->as_array()) {
        if (!element.is_number()) reader.fail("sizes", "expected each element to be a number");
        const double size = element.to_number<double>();
        if (!(size >= 1) || size > static_cast<double>(max))
            reader.fail("sizes", fmt::format("expected each element to be from 1 to {}", max));
        out.push_back(static_cast<std::size_t>(size));
    }
    return out;
}

template <class Case>
Series<Case> read_series(JsonnetReader& reader, const std::vector<std::string>& size_names, std::size_t max_size) {
    Series<Case> series;
    reader.require("name", series.name);
    series.size_name = size_names.front();
    reader.read("over", series.size_name);
    if (std::find(size_names.begin(), size_names.end(), series.size_name) == size_names.end())
        reader.fail("over", fmt::format("expected one of: {}", fmt::join(size_names, ", ")));
    reader.read("runs", series.runs, 1);
    if (series.runs > max_runs) reader.fail("runs", fmt::format("expected at most {}", max_runs));
    series.sizes = read_sizes(reader, max_size);
    return series;
}

void read_fleet(JsonnetReader& reader, FleetShape& into) {
    read_count(reader, "invokers", into.invokers, 1, max_invokers);
    read_count(reader, "instances", into.max_instances_per_invoker, 1, max_instances);
    read_count(reader, "zones", into.zones, 1, max_zones);
    read_positive(reader, "cores", into.cores_per_invoker, max_cores);
    read_duration(reader, "run", into.run_duration);
    read_duration(reader, "load", into.load_duration);
}

template <class Case>
void read_traffic(JsonnetReader& reader, Case& into) {
    read_count(reader, "functions", into.functions, 1, max_functions);
    read_positive(reader, "exponent", into.popularity_exponent, max_exponent);
    read_positive(reader, "calls_per_s", into.requests_per_s, max_requests_per_s);
}

Series<DecisionCase> read_decisions(JsonnetReader& reader) {
    auto series = read_series<DecisionCase>(reader, {"invokers", "functions"}, max_functions);
    read_fleet(reader, series.base_case.fleet);
    read_traffic(reader, series.base_case);
    read_duration(reader, "length", series.base_case.length);
    reader.read("controllers", series.base_case.host_settings.controllers, 1);
    reader.read_enum("disturbance", disturbances, series.base_case.disturbance);
    reader.reject_unknown_fields();
    return series;
}

Series<ManyControllersCase> read_controllers(JsonnetReader& reader) {
    auto series = read_series<ManyControllersCase>(reader, {"controllers", "invokers"}, max_controllers);
    read_fleet(reader, series.base_case.fleet);
    read_traffic(reader, series.base_case);
    read_duration(reader, "length", series.base_case.length);
    reader.read("controllers", series.base_case.controllers, 1);
    reader.reject_unknown_fields();
    return series;
}

Series<PlatformCase> read_platform(JsonnetReader& reader) {
    auto series = read_series<PlatformCase>(reader, {"invokers", "watchers"}, max_invokers);
    read_traffic(reader, series.base_case);
    read_count(reader, "processes", series.base_case.processes, 1, max_processes);
    read_count(reader, "invokers", series.base_case.invokers, 1, max_platform_invokers);
    read_count(reader, "watchers", series.base_case.watchers, 0, max_watchers);
    read_count(reader, "changes", series.base_case.changes, 1, max_changes);
    read_duration(reader, "idle", series.base_case.idle_duration);
    read_duration(reader, "busy", series.base_case.busy_duration);
    reader.reject_unknown_fields();
    return series;
}

}  // namespace

Plan read_plan(const std::string& file) {
    const auto value = evaluate_jsonnet(file);
    JsonnetReader reader(value, file);
    Plan plan;
    reader.read_array("decisions", [&](JsonnetReader& element) { plan.decisions.push_back(read_decisions(element)); });
    reader.read_array("controllers",
                      [&](JsonnetReader& element) { plan.controllers.push_back(read_controllers(element)); });
    reader.read_array("platform", [&](JsonnetReader& element) { plan.platform.push_back(read_platform(element)); });
    reader.reject_unknown_fields();
    if (plan.decisions.empty() && plan.controllers.empty() && plan.platform.empty())
        throw ConfigError(file + ": the plan has no measurements: decisions, controllers and platform are empty");
    return plan;
}

DecisionCase case_at(const Series<DecisionCase>& series, std::size_t size) {
    DecisionCase sized_case = series.base_case;
    (series.size_name == "functions" ? sized_case.functions : sized_case.fleet.invokers) = size;
    return sized_case;
}

ManyControllersCase case_at(const Series<ManyControllersCase>& series, std::size_t size) {
    ManyControllersCase sized_case = series.base_case;
    if (series.size_name == "controllers")
        sized_case.controllers = static_cast<int>(size);
    else
        sized_case.fleet.invokers = size;
    return sized_case;
}

PlatformCase case_at(const Series<PlatformCase>& series, std::size_t size) {
    PlatformCase sized_case = series.base_case;
    (series.size_name == "watchers" ? sized_case.watchers : sized_case.invokers) = size;
    return sized_case;
}

}  // namespace plumkeel::scale
