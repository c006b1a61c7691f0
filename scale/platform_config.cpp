#include "scale/platform_config.hpp"

#include <fmt/format.h>

#include <boost/json.hpp>

namespace plumkeel::scale {
namespace {

namespace json = boost::json;

constexpr int zone_count = 27, fleet_size = 7100;
constexpr std::size_t max_descriptors = 600, max_memory_mb = 2048;
constexpr double invoker_capacity = 5;

json::object timing_rules() {
    return {{"cold", 20000.0},
            {"cold_share", 0.25},
            {"fall_multiple", 2.0},
            {"overload_for", 1000.0},
            {"stop_sending_within", 2000.0}};
}

json::object capability_settings() {
    return {{"may_cancel", true},       {"probes", true},       {"second_copies", true},
            {"retry_after", true},      {"send_cap", 5},        {"max_retry_after", 2000.0},
            {"connect_timeout", 250.0}, {"conn_idle", 30000.0}, {"streams_per_conn", 32}};
}

json::object platform_settings() {
    json::array areas;
    for (int zone = 0; zone < zone_count; ++zone) areas.push_back(json::string(fmt::format("z{}", zone)));
    return {{"areas", areas},
            {"kinds", {"k"}},
            {"fleet_size", fleet_size},
            {"discovery", "automatic"},
            {"weight_source", "nominal"},
            {"quantum", 1.0},
            {"classes",
             {{{"name", "preview"},
               {"aim", 1800.0},
               {"deadline", 5000.0},
               {"semantics", "retryable"},
               {"group", "all"},
               {"repeat_window", 5000.0}}}},
            {"realms", {{{"name", "acme"}, {"quota_per_s", 1e6}}}},
            {"report", {{"fields", {"active", "waiting"}}, {"how", "pull"}}},
            {"rules", timing_rules()},
            {"family_info",
             {{"if_cold", "load"},
              {"linger_idle", 60000.0},
              {"may_order", false},
              {"says_company", true},
              {"answer_within", 4000.0}}},
            {"limits", capability_settings()},
            {"charges", {{"probe", 0.0}}}};
}

json::object known_endpoints(std::size_t invokers) {
    json::array targets;
    for (std::size_t i = 0; i < invokers; ++i)
        targets.push_back({{"uid", fmt::format("s-{:08x}", i)},
                           {"endpoint", fmt::format("{}:{}", invoker_host(i), invoker_port)},
                           {"az", fmt::format("z{}", i % zone_count)},
                           {"model", "k"},
                           {"pod_group", i},
                           {"state", "up"},
                           {"capacity_hint", invoker_capacity},
                           {"boot_ms", 0}});
    return {{"rev", 1}, {"notices", {{{"rev", 1}, {"pool", {{"rev", 1}, {"all", true}, {"targets", targets}}}}}}};
}

}  // namespace

std::string invoker_host(std::size_t invoker) {
    const std::size_t host = invoker + 1;
    return fmt::format("127.{}.{}.{}", 1 + host / 65536, host / 256 % 256, host % 256);
}

std::string controller_config(const PlatformCase& platform_case, std::size_t process_number) {
    return json::serialize(
        json::object{{"name", fmt::format("n{}", process_number)},
                     {"listen", fmt::format("127.0.0.1:{}", first_controller_port + process_number)},
                     {"seed", fmt::format("{:016x}", platform_case.seed * 1000 + process_number)},
                     {"board", fmt::format("127.0.0.1:{}", discovery_port)},
                     {"limits", {{"cores", 1.0}, {"memory_mb", max_memory_mb}, {"sockets", max_descriptors}}},
                     {"known", known_endpoints(platform_case.invokers)},
                     {"settings", platform_settings()}});
}

}  // namespace plumkeel::scale
