#include "platform_settings/settings.hpp"

#include <algorithm>

namespace plumkeel::platform_settings {
namespace {

using std::chrono::milliseconds;

constexpr Time default_connect_timeout = milliseconds(250);
constexpr Time default_idle_timeout = milliseconds(30'000);
constexpr Time default_preload_timeout = milliseconds(10'000);

Idempotency parse_idempotency(const std::string& text) {
    if (text == "retryable") return Idempotency::idempotent;
    return text == "dedup" ? Idempotency::deduplicated : Idempotency::at_most_once;
}

DeduplicationScope parse_deduplication_scope(const std::string& text) {
    if (text == "all") return DeduplicationScope::global;
    return text == "zone" ? DeduplicationScope::zone : DeduplicationScope::cell;
}

SafetyRules parse_safety_rules(const json& rules, const json& family) {
    SafetyRules out;
    out.slow_start_duration = duration_or(rules, "cold");
    out.slow_start_initial_share = get_or<double>(rules, "cold_share");
    out.slow_start_rate_multiple = get_or<double>(rules, "fall_multiple");
    out.slow_start_window = duration_or(rules, "overload_for");
    out.load_budget_window = duration_or(family, "load_span");
    out.load_budget_base = get_or<double>(family, "free_loads");
    out.load_budget_per_request = get_or<double>(family, "loads_per_request");
    return out;
}

Capabilities parse_capabilities(const json& root, const json& family, const json& limits) {
    Capabilities out;
    out.cancellation = get_or<bool>(limits, "may_cancel");
    out.health_checks = get_or<bool>(limits, "probes");
    out.hedging = get_or<bool>(limits, "second_copies");
    out.retry_after = get_or<bool>(limits, "retry_after");
    out.max_attempts = get_or<int>(limits, "send_cap");
    out.max_retry_after = duration_or(limits, "max_retry_after");
    out.preload = get_or<bool>(family, "may_order");
    out.on_demand_loading = get_or<std::string>(family, "if_cold") != "miss";
    out.keep_alive = duration_or(family, "linger_idle");
    out.memory_price = get_or<double>(family, "memory_price");
    out.health_check_price = get_or<double>(object_or_empty(root, "charges"), "probe");
    out.subscribes_endpoints = get_or<std::string>(root, "discovery") == "subscribe";
    out.stable_capacity = get_or<std::string>(root, "weight_source") != "live";
    out.controller_count = get_or<int>(root, "fleet_size");
    out.clock_resolution = duration_or(root, "quantum");
    return out;
}

void parse_request_class(const json& entry, PlatformSettings& out) {
    RequestClass& request_class = out.request_classes[require<std::string>(entry, "name")];
    request_class.latency_target = duration_or(entry, "aim");
    request_class.idempotency = parse_idempotency(get_or<std::string>(entry, "semantics"));
    request_class.deduplication_scope = parse_deduplication_scope(get_or<std::string>(entry, "group"));
    request_class.deduplication_window = duration_or(entry, "repeat_window");
    out.max_wait = std::max(out.max_wait, duration_or(entry, "deadline"));
}

void parse_connection_settings(const json& root, const json& family, const json& limits, PlatformSettings& out) {
    out.zones = get_or<std::vector<std::string>>(root, "areas");
    out.invoker_types = get_or<std::vector<std::string>>(root, "kinds");
    out.connect_timeout = duration_or(limits, "connect_timeout", default_connect_timeout);
    out.idle_timeout = duration_or(limits, "conn_idle", default_idle_timeout);
    out.preload_timeout = duration_or(family, "answer_within", default_preload_timeout);
    out.max_attempts_per_connection = static_cast<std::size_t>(std::max(1, get_or<int>(limits, "streams_per_conn", 1)));
}

}  // namespace

PlatformSettings parse_settings(const json& root) {
    const json& rules = object_or_empty(root, "rules");
    const json& family = object_or_empty(root, "family_info");
    const json& limits = object_or_empty(root, "limits");
    PlatformSettings out;
    out.safety_rules = parse_safety_rules(rules, family);
    out.capabilities = parse_capabilities(root, family, limits);
    out.reports_concurrency = get_or<bool>(family, "says_company");
    for (const json& entry : get_or<json>(root, "classes", json::array())) parse_request_class(entry, out);
    for (const json& entry : get_or<json>(root, "realms", json::array()))
        out.tenants[require<std::string>(entry, "name")].quota_per_s = get_or<double>(entry, "quota_per_s");
    for (const json& name : get_or<json>(object_or_empty(root, "report"), "fields", json::array()))
        out.report_fields.push_back(name.is_string() ? name.get<std::string>() : std::string());
    parse_connection_settings(root, family, limits, out);
    return out;
}

void set_report_field(LoadReport& report, const std::string& field, double value) {
    if (field == "active") report.in_flight = value;
    if (field == "waiting") report.queued = value;
}

}  // namespace plumkeel::platform_settings
