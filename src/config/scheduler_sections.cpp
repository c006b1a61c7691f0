#include "config/sections.hpp"

namespace plumkeel::config_sections {

using namespace std::chrono_literals;

void read_safety_rules(JsonnetReader& in, SafetyRules& rules) {
    rules.slow_start_duration = 10s;
    rules.slow_start_initial_share = 0.2;
    rules.slow_start_rate_multiple = 2;
    rules.slow_start_window = 2s;
    in.read("cold_for", rules.slow_start_duration);
    in.read("cold_share", rules.slow_start_initial_share);
    in.read("push_multiple", rules.slow_start_rate_multiple);
    in.read("push_span", rules.slow_start_window);
    in.read("load_span", rules.load_budget_window);
    in.read("free_loads", rules.load_budget_base);
    in.read("loads_per_job", rules.load_budget_per_request);
    if (rules.slow_start_initial_share <= 0 || rules.slow_start_initial_share > 1)
        in.fail("cold_share", "must be above 0 and at most 1");
    if (rules.slow_start_window <= Time{}) in.fail("push_span", "must be above 0");
    if (rules.slow_start_duration <= Time{}) in.fail("cold_for", "must be above 0");
}

void read_capabilities(JsonnetReader& in, Capabilities& capabilities) {
    capabilities = {.cancellation = true,
                    .health_checks = true,
                    .hedging = true,
                    .retry_after = true,
                    .preload = false,
                    .subscribes_endpoints = false,
                    .on_demand_loading = true,
                    .stable_capacity = true,
                    .max_attempts = 5,
                    .controller_count = 1,
                    .max_retry_after = 2s,
                    .keep_alive = 10s,
                    .clock_resolution = 5ms,
                    .memory_price = 0,
                    .health_check_price = 0};
    in.read("call_off", capabilities.cancellation);
    in.read("probe", capabilities.health_checks);
    in.read("second_copies", capabilities.hedging);
    in.read("retry_after", capabilities.retry_after);
    in.read("order_copies", capabilities.preload);
    in.read("loads_on_demand", capabilities.on_demand_loading);
    in.read("steady_units", capabilities.stable_capacity);
    in.read("hops", capabilities.max_attempts, 1);
    in.read("controllers", capabilities.controller_count, 1);
    in.read("longest_retry_after", capabilities.max_retry_after);
    in.read("keep_alive", capabilities.keep_alive);
    in.read("tick", capabilities.clock_resolution);
    in.read("memory_price", capabilities.memory_price);
    in.read("probe_price", capabilities.health_check_price);
    if (capabilities.clock_resolution < 1ms || capabilities.clock_resolution > 100ms)
        in.fail("tick", "must be from 1ms to 100ms");
    if (!capabilities.preload && !capabilities.on_demand_loading)
        in.fail("loads_on_demand",
                "\"loads_on_demand\" and \"order_copies\" are both false: no function could ever be loaded");
}

void read_request_class(const std::string& name, JsonnetReader& in, NamedRequestClass& request_class) {
    request_class.name = name;
    in.require("promised", request_class.latency_target);
    in.read_enum<Idempotency>("repeat",
                              {{"replayable", Idempotency::idempotent},
                               {"referenced", Idempotency::deduplicated},
                               {"single_use", Idempotency::at_most_once}},
                              request_class.idempotency);
    in.read_enum<DeduplicationScope>("reach",
                                     {{"everywhere", DeduplicationScope::global},
                                      {"zone", DeduplicationScope::zone},
                                      {"cell", DeduplicationScope::cell}},
                                     request_class.deduplication_scope);
    in.read("remembered", request_class.deduplication_window);
    if (request_class.latency_target <= Time{}) in.fail("promised", "must be above 0");
    if (request_class.idempotency == Idempotency::deduplicated && request_class.deduplication_window <= Time{})
        in.fail("remembered", "is missing: \"referenced\" needs how long invokers remember an idempotency key");
    if (!in.has("repeat")) in.fail("repeat", "is missing, expected one of: referenced, replayable, single_use");
}

}  // namespace plumkeel::config_sections
