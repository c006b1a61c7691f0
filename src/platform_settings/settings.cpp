#include "platform_settings/settings.hpp"

namespace plumkeel::platform_settings {
namespace {

Idempotency repeat_of(const std::string& word) {
    if (word == "retryable") return Idempotency::idempotent;
    return word == "dedup" ? Idempotency::deduplicated : Idempotency::at_most_once;
}

DeduplicationScope reach_of(const std::string& word) {
    if (word == "all") return DeduplicationScope::global;
    return word == "zone" ? DeduplicationScope::zone : DeduplicationScope::cell;
}

}  // namespace

PlatformSettings read(const json& setup) {
    const json& rules = part(setup, "rules");
    const json& family = part(setup, "family_info");
    const json& limits = part(setup, "limits");
    PlatformSettings out;

    SafetyRules& book = out.safety_rules;
    book.slow_start_duration = span(rules, "cold");
    book.slow_start_initial_share = get<double>(rules, "cold_share");
    book.slow_start_rate_multiple = get<double>(rules, "fall_multiple");
    book.slow_start_window = span(rules, "overload_for");
    book.load_budget_window = span(family, "load_span");
    book.load_budget_base = get<double>(family, "free_loads");
    book.load_budget_per_request = get<double>(family, "loads_per_request");

    Capabilities& may = out.capabilities;
    may.cancellation = get<bool>(limits, "may_cancel");
    may.health_checks = get<bool>(limits, "probes");
    may.hedging = get<bool>(limits, "second_copies");
    may.retry_after = get<bool>(limits, "retry_after");
    may.max_attempts = get<int>(limits, "send_cap");
    may.max_retry_after = span(limits, "max_retry_after");
    may.preload = get<bool>(family, "may_order");
    may.on_demand_loading = get<std::string>(family, "if_cold") != "miss";
    may.keep_alive = span(family, "linger_idle");
    may.memory_price = get<double>(family, "memory_price");
    may.health_check_price = get<double>(part(setup, "charges"), "probe");
    may.subscribes_endpoints = get<std::string>(setup, "discovery") == "subscribe";
    may.stable_capacity = get<std::string>(setup, "weight_source") != "live";
    may.controller_count = get<int>(setup, "fleet_size");
    may.clock_resolution = span(setup, "quantum");

    out.reports_concurrency = get<bool>(family, "says_company");
    for (const json& entry : get<json>(setup, "classes", json::array())) {
        RequestClass& use = out.request_classes[need<std::string>(entry, "name")];
        use.latency_target = span(entry, "aim");
        use.idempotency = repeat_of(get<std::string>(entry, "semantics"));
        use.deduplication_scope = reach_of(get<std::string>(entry, "group"));
        use.deduplication_window = span(entry, "repeat_window");
        out.max_wait = std::max(out.max_wait, span(entry, "deadline"));
    }
    for (const json& entry : get<json>(setup, "realms", json::array()))
        out.tenants[need<std::string>(entry, "name")].quota_per_s = get<double>(entry, "quota_per_s");
    for (const json& name : get<json>(part(setup, "report"), "fields", json::array()))
        out.report_fields.push_back(name.is_string() ? name.get<std::string>() : std::string());

    out.zones = get<std::vector<std::string>>(setup, "areas");
    out.invoker_types = get<std::vector<std::string>>(setup, "kinds");
    using std::chrono::milliseconds;
    out.connect_timeout = span(limits, "connect_timeout", milliseconds(250));
    out.idle_timeout = span(limits, "conn_idle", milliseconds(30'000));
    out.preload_timeout = span(family, "answer_within", milliseconds(10'000));
    out.max_attempts_per_connection = static_cast<std::size_t>(std::max(1, get<int>(limits, "streams_per_conn", 1)));
    return out;
}

void put_figure(LoadReport& report, const std::string& field, double value) {
    if (field == "active") report.in_flight = value;
    if (field == "waiting") report.queued = value;
}

}  // namespace plumkeel::platform_settings
