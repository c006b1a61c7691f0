#include "platform/platform_config.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <fstream>

#include "discovery/initial_events.hpp"
#include "platform_settings/settings.hpp"

namespace plumkeel::platform {
namespace {

using namespace std::chrono_literals;
using platform_settings::get_or;
using platform_settings::json;
using platform_settings::object_or_empty;
using platform_settings::PlatformSettings;
using platform_settings::require;
using platform_settings::SettingsError;

constexpr std::size_t min_descriptors = 64, min_memory_mb = 24;
// For the listener, the old and new connections to the discovery service, the event loop and the log.
constexpr std::size_t reserved_descriptors = 24;
constexpr std::size_t max_connections_per_invoker = 8;
// Request bodies may use a sixth of the process's memory.
constexpr std::size_t body_memory_divisor = 6;
constexpr std::size_t max_body_bytes = 16 * 1024;
constexpr std::size_t log_queue_size = 256;
constexpr Time head_timeout = 1500ms;       // the platform requires a response or a close within 3 s
constexpr Time client_idle_timeout = 6s;    // clients close idle connections after 4 s
constexpr Time client_unread_timeout = 2s;  // for a client that does not read its responses

std::uint64_t parse_seed(const json& root) {
    constexpr int hexadecimal = 16;
    const auto it = root.find("seed");
    if (it == root.end()) throw SettingsError("field 'seed' is missing");
    if (it->is_number_unsigned()) return it->get<std::uint64_t>();
    std::uint64_t seed = 0;
    const std::string text = it->is_string() ? it->get<std::string>() : "";
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, hexadecimal);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size())
        throw SettingsError("field 'seed': expected an unsigned integer or a string of up to 16 hexadecimal digits");
    return seed;
}

net::Address parse_address(const json& object, const char* key) {
    const auto text = require<std::string>(object, key);
    const auto address = net::Address::parse(text);
    if (!address)
        throw SettingsError(
            fmt::format("field '{}': found '{}', expected an address such as 10.0.0.4:7001", key, text));
    return *address;
}

void parse_initial_events(const json& known, PlatformConfig& out) {
    out.initial_events = discovery::parse_initial_events(known);
    for (const discovery::WatchEvent& event : out.initial_events)
        for (const gateway::Endpoint& endpoint : event.endpoints)
            if (!net::Address::parse(endpoint.address))
                throw SettingsError(
                    fmt::format("field 'endpoint' of 'known': found '{}', expected an address such as 10.0.0.4:7001",
                                endpoint.address));
    out.last_known_event = get_or<std::uint64_t>(known, "rev");
    if (!out.initial_events.empty())
        out.last_known_event = std::max(out.last_known_event, out.initial_events.back().number);
}

void apply_scheduler_settings(const PlatformSettings& settings, GatewayConfig& config) {
    config.safety_rules = settings.safety_rules;
    config.capabilities = settings.capabilities;
    config.reports_concurrency = settings.reports_concurrency;
    config.tenants = settings.tenants;
    for (const auto& [name, request_class] : settings.request_classes) {
        NamedRequestClass& named = config.request_classes[name];
        static_cast<RequestClass&>(named) = request_class;
        named.name = name;
    }
    if (config.request_classes.empty()) throw SettingsError("field 'classes' is missing: at least one is required");
    // The longest deadline limits what clients may request; with a limit of 0 every request would be rejected.
    if (settings.max_wait <= Time{}) throw SettingsError("field 'deadline' of 'classes' is missing");
}

void apply_connection_settings(const PlatformSettings& settings, GatewayConfig& config) {
    config.pool.connect_timeout = settings.connect_timeout;
    config.pool.health_check_timeout = settings.connect_timeout;
    config.pool.preload_timeout = settings.preload_timeout;
    // The gateway closes idle connections before the invoker does, so that no attempt is sent on one being closed.
    config.pool.idle_timeout = settings.idle_timeout / 2;
    config.pool.max_attempts_per_connection = settings.max_attempts_per_connection;
    config.admission.max_body_bytes = max_body_bytes;
    config.admission.max_remaining_time = settings.max_wait;
    config.admission.head_timeout = head_timeout;
    config.admission.idle_timeout = client_idle_timeout;
    config.admission.unread_timeout = client_unread_timeout;
    config.metrics.enabled = false;
}

// Divides the file descriptors: half of them for clients, a reserve for the process itself, and the others for
// invokers. Neither misbehaving clients nor a large fleet can use up the descriptors of discovery or the log.
void divide_descriptors(std::size_t descriptors, std::size_t invokers, GatewayConfig& config) {
    if (descriptors < min_descriptors)
        throw SettingsError(
            fmt::format("field 'sockets': found {}, at least {} are required", descriptors, min_descriptors));
    config.admission.max_connections = descriptors / 2;
    config.pool.max_total_connections = descriptors - config.admission.max_connections - reserved_descriptors;
    const std::size_t expected_invokers = std::max<std::size_t>(1, invokers + invokers / 2);
    config.pool.max_connections =
        std::clamp<std::size_t>(config.pool.max_total_connections / expected_invokers, 1, max_connections_per_invoker);
}

void divide_memory(std::size_t memory_mb, GatewayConfig& config) {
    if (memory_mb < min_memory_mb)
        throw SettingsError(
            fmt::format("field 'memory_mb': found {}, at least {} are required", memory_mb, min_memory_mb));
    config.admission.max_memory_bytes = memory_mb * 1024 * 1024 / body_memory_divisor;
    config.log.queue_size = log_queue_size;
}

// The number of endpoints in the largest event.
std::size_t max_endpoint_count(const std::vector<discovery::WatchEvent>& events) {
    std::size_t largest = 0;
    for (const discovery::WatchEvent& event : events) largest = std::max(largest, event.endpoints.size());
    return largest;
}

PlatformConfig decode(const json& root) {
    PlatformConfig out;
    out.gateway.name = require<std::string>(root, "name");
    out.gateway.listen = parse_address(root, "listen").to_string();
    out.seed = parse_seed(root);
    out.discovery = parse_address(root, "board");
    const json& limits = object_or_empty(root, "limits");
    out.descriptors = require<std::size_t>(limits, "sockets");
    out.memory_mb = require<std::size_t>(limits, "memory_mb");
    parse_initial_events(object_or_empty(root, "known"), out);

    if (!platform_settings::has(root, "settings")) throw SettingsError("field 'settings' is missing");
    const PlatformSettings settings = platform_settings::parse_settings(object_or_empty(root, "settings"));
    apply_scheduler_settings(settings, out.gateway);
    out.labels = {settings.zones, settings.invoker_types};
    out.response_options = {settings.report_fields, settings.reports_concurrency};
    apply_connection_settings(settings, out.gateway);
    divide_descriptors(out.descriptors, max_endpoint_count(out.initial_events), out.gateway);
    divide_memory(out.memory_mb, out.gateway);
    return out;
}

}  // namespace

PlatformConfig load_platform_config(const std::string& file) {
    std::ifstream in(file);
    if (!in) throw SettingsError(file + ": the file can't be read");
    const json root = json::parse(in, nullptr, false);
    if (root.is_discarded() || !root.is_object()) throw SettingsError(file + ": the file is not a JSON object");
    try {
        return decode(root);
    } catch (const SettingsError& error) {
        throw SettingsError(file + ": " + error.what());
    }
}

}  // namespace plumkeel::platform
