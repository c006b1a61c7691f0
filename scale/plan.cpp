#include "scale/plan.hpp"

#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <filesystem>

#include "config/jsonnet_reader.hpp"

namespace plumkeel::scale {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t most_invokers = 100'000, most_functions = 2'000'000, most_controllers = 20'000,
                      most_watchers = 20'000;
constexpr std::size_t most_processes = 200;
constexpr int most_runs = 20;
constexpr Time longest_run = 20min;
constexpr double most_calls_per_s = 1e6;

// Measured of the module and this package's hosts, rounded up.
constexpr std::size_t bytes_an_invoker = 3000, bytes_an_instance = 32, bytes_a_function = 1500, bytes_a_rank = 8,
                      bytes_at_all = 64 << 20;
constexpr std::size_t bytes_a_process = 64 << 20, bytes_an_invoker_of_a_process = 8000, bytes_a_watcher = 32 << 10;
constexpr std::size_t descriptors_a_process = 600, descriptors_at_all = 128;

const std::map<std::string, Disturbance> disturbances = {{"none", Disturbance::none},
                                                         {"restarts", Disturbance::restarts},
                                                         {"zone_outage", Disturbance::zone_outage},
                                                         {"whole_list", Disturbance::whole_list},
                                                         {"new_names", Disturbance::new_names},
                                                         {"parked_functions", Disturbance::parked_functions},
                                                         {"units_change", Disturbance::units_change}};

void read_count(JsonnetReader& in, const char* key, std::size_t& into, std::size_t least, std::size_t most) {
    in.read(key, into, least);
    if (into > most) in.fail(key, fmt::format("is over {}", most));
}

void read_positive(JsonnetReader& in, const char* key, double& into, double most) {
    in.read(key, into);
    if (!(into > 0) || into > most) in.fail(key, fmt::format("is not between 0 and {}", most));
}

void read_span(JsonnetReader& in, const char* key, Time& into) {
    in.read(key, into);
    if (into <= Time{} || into > longest_run) in.fail(key, "is not between 0 and 20min");
}

template <class Case>
Series<Case> read_series(JsonnetReader& in, const std::vector<std::string>& size_names, std::size_t most) {
    Series<Case> out;
    in.require("name", out.name);
    out.size_name = size_names.front();
    in.read("over", out.size_name);
    if (std::find(size_names.begin(), size_names.end(), out.size_name) == size_names.end())
        in.fail("over", fmt::format("is none of: {}", fmt::join(size_names, ", ")));
    in.read("runs", out.runs, 1);
    if (out.runs > most_runs) in.fail("runs", fmt::format("is over {}", most_runs));
    const boost::json::value* const sizes = in.raw("sizes");
    if (!sizes || !sizes->is_array() || sizes->as_array().empty()) in.fail("sizes", "is no list of numbers");
    for (const auto& each : sizes->as_array()) {
        if (!each.is_number()) in.fail("sizes", "is no list of numbers");
        const double size = each.to_number<double>();
        if (!(size >= 1) || size > static_cast<double>(most))
            in.fail("sizes", fmt::format("holds one not between 1 and {}", most));
        out.sizes.push_back(static_cast<std::size_t>(size));
    }
    return out;
}

void read_fleet(JsonnetReader& in, FleetShape& into) {
    read_count(in, "invokers", into.invokers, 1, most_invokers);
    read_count(in, "instances", into.instances, 1, 10'000);
    read_count(in, "zones", into.zones, 1, 1000);
    read_positive(in, "cores", into.cores, 1024);
    read_span(in, "run", into.run);
    read_span(in, "load", into.load);
}

template <class Case>
void read_calls(JsonnetReader& in, Case& into) {
    read_count(in, "functions", into.functions, 1, most_functions);
    read_positive(in, "exponent", into.exponent, 5);
    read_positive(in, "calls_per_s", into.calls_per_s, most_calls_per_s);
}

Series<DecisionCase> read_decisions(JsonnetReader& in) {
    auto out = read_series<DecisionCase>(in, {"invokers", "functions"}, most_functions);
    read_fleet(in, out.plain.fleet);
    read_calls(in, out.plain);
    read_span(in, "length", out.plain.length);
    in.read("controllers", out.plain.host.controllers, 1);
    in.read_enum("disturbance", disturbances, out.plain.disturbance);
    in.reject_unknown_fields();
    return out;
}

Series<ManyControllersCase> read_controllers(JsonnetReader& in) {
    auto out = read_series<ManyControllersCase>(in, {"controllers", "invokers"}, most_controllers);
    read_fleet(in, out.plain.fleet);
    read_calls(in, out.plain);
    read_span(in, "length", out.plain.length);
    in.read("controllers", out.plain.controllers, 1);
    in.reject_unknown_fields();
    return out;
}

Series<PlatformCase> read_platform(JsonnetReader& in) {
    auto out = read_series<PlatformCase>(in, {"invokers", "watchers"}, most_invokers);
    read_calls(in, out.plain);
    read_count(in, "processes", out.plain.processes, 1, most_processes);
    read_count(in, "invokers", out.plain.invokers, 1, 20'000);
    read_count(in, "watchers", out.plain.watchers, 0, most_watchers);
    read_count(in, "changes", out.plain.changes, 1, 10'000);
    read_span(in, "idle", out.plain.idle);
    read_span(in, "busy", out.plain.busy);
    in.reject_unknown_fields();
    return out;
}

std::size_t physical_memory() {
    return static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES)) * static_cast<std::size_t>(sysconf(_SC_PAGE_SIZE));
}

}  // namespace

Plan read_plan(const std::string& file) {
    const auto value = evaluate_jsonnet(file);
    JsonnetReader in(value, file);
    Plan out;
    in.read_array("decisions", [&](JsonnetReader& each) { out.decisions.push_back(read_decisions(each)); });
    in.read_array("controllers", [&](JsonnetReader& each) { out.controllers.push_back(read_controllers(each)); });
    in.read_array("platform", [&](JsonnetReader& each) { out.platform.push_back(read_platform(each)); });
    in.reject_unknown_fields();
    if (out.decisions.empty() && out.controllers.empty() && out.platform.empty())
        throw ConfigError(file + ": names nothing to measure: decisions, controllers and platform are empty");
    return out;
}

DecisionCase sized(const Series<DecisionCase>& series, std::size_t size) {
    DecisionCase out = series.plain;
    (series.size_name == "functions" ? out.functions : out.fleet.invokers) = size;
    return out;
}

ManyControllersCase sized(const Series<ManyControllersCase>& series, std::size_t size) {
    ManyControllersCase out = series.plain;
    if (series.size_name == "controllers")
        out.controllers = static_cast<int>(size);
    else
        out.fleet.invokers = size;
    return out;
}

PlatformCase sized(const Series<PlatformCase>& series, std::size_t size) {
    PlatformCase out = series.plain;
    (series.size_name == "watchers" ? out.watchers : out.invokers) = size;
    return out;
}

Need need_of(const DecisionCase& of) {
    const std::size_t invoker = bytes_an_invoker + of.fleet.instances * bytes_an_instance;
    const auto met = static_cast<std::size_t>(of.calls_per_s * std::chrono::duration<double>(of.length).count());
    const std::size_t functions = of.disturbance == Disturbance::new_names ? met : std::min(of.functions, met);
    return {bytes_at_all + of.fleet.invokers * invoker + functions * bytes_a_function + of.functions * bytes_a_rank, 1,
            descriptors_at_all};
}

Need need_of(const ManyControllersCase& of) {
    const auto controllers = static_cast<std::size_t>(of.controllers);
    const auto met =
        static_cast<std::size_t>(of.calls_per_s * std::chrono::duration<double>(of.length).count()) / controllers;
    const std::size_t one = of.fleet.invokers * bytes_an_invoker + std::min(of.functions, met) * bytes_a_function;
    return {bytes_at_all + controllers * one + of.fleet.invokers * of.fleet.instances * bytes_an_instance, 1,
            descriptors_at_all};
}

Need need_of(const PlatformCase& of) {
    const std::size_t process = bytes_a_process + of.invokers * bytes_an_invoker_of_a_process;
    return {bytes_at_all + of.processes * process + of.watchers * bytes_a_watcher, of.processes + 1,
            descriptors_at_all + of.processes * descriptors_a_process + of.watchers * 2};
}

void refuse_what_does_not_fit(const std::string& what, const Need& need) {
    const std::size_t memory = physical_memory() / 2;
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    const auto mebibytes = [](std::size_t bytes) { return bytes >> 20; };
    if (need.memory_bytes > memory)
        throw ConfigError(fmt::format("{}: would need {} MiB of memory; half of this machine's is {} MiB", what,
                                      mebibytes(need.memory_bytes), mebibytes(memory)));
    if (need.processes > most_processes + 1)
        throw ConfigError(
            fmt::format("{}: would need {} processes; {} may run", what, need.processes, most_processes + 1));
    if (need.descriptors > files.rlim_max)
        throw ConfigError(
            fmt::format("{}: would need {} descriptors; the limit is {}", what, need.descriptors, files.rlim_max));
}

}  // namespace plumkeel::scale
