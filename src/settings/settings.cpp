#include "settings/settings.hpp"

namespace plumkeel::settings {
namespace {

Repeat repeat_of(const std::string& word) {
    if (word == "retryable") return Repeat::replayable;
    return word == "dedup" ? Repeat::referenced : Repeat::single_use;
}

Reach reach_of(const std::string& word) {
    if (word == "all") return Reach::everywhere;
    return word == "zone" ? Reach::zone : Reach::cell;
}

}  // namespace

Settings read(const json& setup) {
    const json& rules = part(setup, "rules");
    const json& family = part(setup, "family_info");
    const json& limits = part(setup, "limits");
    Settings out;

    Rulebook& book = out.rulebook;
    book.cold_for = span(rules, "cold");
    book.cold_share = get<double>(rules, "cold_share");
    book.push_multiple = get<double>(rules, "fall_multiple");
    book.push_span = span(rules, "overload_for");
    book.load_span = span(family, "load_span");
    book.free_loads = get<double>(family, "free_loads");
    book.loads_per_job = get<double>(family, "loads_per_request");

    Allowances& may = out.allowances;
    may.call_off = get<bool>(limits, "may_cancel");
    may.probe = get<bool>(limits, "probes");
    may.second_copies = get<bool>(limits, "second_copies");
    may.retry_after = get<bool>(limits, "retry_after");
    may.hops = get<int>(limits, "send_cap");
    may.longest_retry_after = span(limits, "max_retry_after");
    may.order_copies = get<bool>(family, "may_order");
    may.loads_on_demand = get<std::string>(family, "if_cold") != "miss";
    may.keep_alive = span(family, "linger_idle");
    may.memory_price = get<double>(family, "memory_price");
    may.probe_price = get<double>(part(setup, "charges"), "probe");
    may.ask_for_list = get<std::string>(setup, "discovery") == "subscribe";
    may.steady_units = get<std::string>(setup, "weight_source") != "live";
    may.controllers = get<int>(setup, "fleet_size");
    may.tick = span(setup, "quantum");

    out.says_company = get<bool>(family, "says_company");
    for (const json& entry : get<json>(setup, "classes", json::array())) {
        UseCase& use = out.use_cases[need<std::string>(entry, "name")];
        use.promised = span(entry, "aim");
        use.repeat = repeat_of(get<std::string>(entry, "semantics"));
        use.reach = reach_of(get<std::string>(entry, "group"));
        use.remembered = span(entry, "repeat_window");
        out.longest_wait = std::max(out.longest_wait, span(entry, "deadline"));
    }
    for (const json& entry : get<json>(setup, "realms", json::array()))
        out.tenants[need<std::string>(entry, "name")].share_per_s = get<double>(entry, "quota_per_s");
    for (const json& name : get<json>(part(setup, "report"), "fields", json::array()))
        out.report_fields.push_back(name.is_string() ? name.get<std::string>() : std::string());

    out.zones = get<std::vector<std::string>>(setup, "areas");
    out.kinds = get<std::vector<std::string>>(setup, "kinds");
    using std::chrono::milliseconds;
    out.connect_within = span(limits, "connect_timeout", milliseconds(250));
    out.idle_for = span(limits, "conn_idle", milliseconds(30'000));
    out.order_within = span(family, "answer_within", milliseconds(10'000));
    out.hops_a_connection = static_cast<std::size_t>(std::max(1, get<int>(limits, "streams_per_conn", 1)));
    return out;
}

void put_figure(Report& report, const std::string& field, double value) {
    if (field == "active") report.held = value;
    if (field == "waiting") report.queued = value;
}

}  // namespace plumkeel::settings
