#include "platform/platform_config.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>

#include "platform_settings/settings.hpp"

namespace plumkeel::platform {
namespace {

using namespace std::chrono_literals;
using platform_settings::json;
using platform_settings::need;
using platform_settings::part;
using platform_settings::SettingsError;

std::uint64_t seed_of(const json& config) {
    const auto it = config.find("seed");
    if (it == config.end()) throw SettingsError("field 'seed' is missing");
    if (it->is_number_unsigned()) return it->get<std::uint64_t>();
    std::uint64_t seed = 0;
    const std::string text = it->is_string() ? it->get<std::string>() : "";
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size())
        throw SettingsError("field 'seed' is no hexadecimal number");
    return seed;
}

net::Address address_of(const json& config, const char* key) {
    const auto text = need<std::string>(config, key);
    const auto address = net::Address::parse(text);
    if (!address)
        throw SettingsError(std::string("field '") + key + "': '" + text + "' is no address such as 10.0.0.4:7001");
    return *address;
}

// Who may hold how many descriptors. Clients hold a third at the most; half of the rest of what is left goes to
// invokers, so that neither bad clients nor a large fleet cost the board or the log theirs.
void share_descriptors(std::size_t descriptors, std::size_t invokers, GatewayConfig& config) {
    const std::size_t own = 24;  // the listener, the board's old and new connection, the loop's, the log
    if (descriptors < 64) throw SettingsError("field 'sockets' is under 64: no room for clients and invokers");
    config.admission.max_connections = descriptors / 2;
    config.pool.max_total_connections = descriptors - config.admission.max_connections - own;
    config.pool.max_connections = std::clamp<std::size_t>(
        config.pool.max_total_connections / std::max<std::size_t>(1, invokers + invokers / 2), 1, 8);
}

// What the process holds beside bodies is 14 to 19 MB resident by its own state lines.
void share_memory(std::size_t memory_mb, GatewayConfig& config) {
    const std::size_t bytes = memory_mb * 1024 * 1024;
    if (memory_mb < 24)
        throw SettingsError("field 'memory_mb' is under 24: the program alone takes more than half of it");
    config.admission.max_memory_bytes = bytes / 6;
    config.log.queue_size = 256;
}

PlatformConfig decode(const json& root) {
    PlatformConfig out;
    GatewayConfig& config = out.gateway;
    config.name = need<std::string>(root, "name");
    config.listen = address_of(root, "listen").to_string();
    out.seed = seed_of(root);
    out.discovery = address_of(root, "board");
    const json& limits = part(root, "limits");
    out.descriptors = need<std::size_t>(limits, "sockets");
    out.memory_mb = need<std::size_t>(limits, "memory_mb");

    const json& known = part(root, "known");
    out.initial_events = discovery::parse_initial_events(known);
    for (const discovery::WatchEvent& event : out.initial_events)
        for (const gateway::Endpoint& entry : event.endpoints)
            if (!net::Address::parse(entry.address))
                throw SettingsError("field 'endpoint' of 'known': '" + entry.address + "' is no address");
    out.last_known_event = platform_settings::get<std::uint64_t>(known, "rev");
    if (!out.initial_events.empty())
        out.last_known_event = std::max(out.last_known_event, out.initial_events.back().number);

    if (!platform_settings::has(root, "settings")) throw SettingsError("field 'settings' is missing");
    const platform_settings::PlatformSettings told = platform_settings::read(part(root, "settings"));
    config.safety_rules = told.safety_rules;
    config.capabilities = told.capabilities;
    config.reports_concurrency = told.reports_concurrency;
    config.tenants = told.tenants;
    for (const auto& [name, use] : told.request_classes) {
        NamedRequestClass& stated = config.request_classes[name];
        static_cast<RequestClass&>(stated) = use;
        stated.name = name;
    }
    if (config.request_classes.empty()) throw SettingsError("field 'classes' is missing: at least one is needed");
    // It bounds what a client may ask for: with none, every job would be turned back.
    if (told.max_wait <= Time{}) throw SettingsError("field 'deadline' of 'classes' is missing");
    out.labels = {told.zones, told.invoker_types};
    out.response_options = {told.report_fields, told.reports_concurrency};

    config.pool.connect_timeout = told.connect_timeout;
    config.pool.health_check_timeout = told.connect_timeout;
    config.pool.preload_timeout = told.preload_timeout;
    // Ours close before the invoker's do, so that no hop crosses a close.
    config.pool.idle_timeout = told.idle_timeout / 2;
    config.pool.max_attempts_per_connection = told.max_attempts_per_connection;
    config.admission.max_body_bytes = 16 * 1024;
    config.admission.max_remaining = told.max_wait;
    config.admission.head_timeout = 1500ms;  // bad clients are owed a word or a close within 3 s
    config.admission.idle_timeout = 6s;      // clients close theirs after 4
    config.admission.unread_timeout = 2s;
    config.metrics.enabled = false;
    std::size_t invokers = 0;
    for (const discovery::WatchEvent& event : out.initial_events) invokers = std::max(invokers, event.endpoints.size());
    share_descriptors(out.descriptors, invokers, config);
    share_memory(out.memory_mb, config);
    return out;
}

}  // namespace

PlatformConfig load_platform_config(const std::string& file) {
    std::ifstream in(file);
    if (!in) throw SettingsError(file + ": can't be read");
    const json config = json::parse(in, nullptr, false);
    if (config.is_discarded() || !config.is_object()) throw SettingsError(file + ": is no JSON object");
    try {
        return decode(config);
    } catch (const SettingsError& fault) {
        throw SettingsError(file + ": " + fault.what());
    }
}

}  // namespace plumkeel::platform
