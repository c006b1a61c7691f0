#include "consul/health_response.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <chrono>
#include <set>
#include <string>

namespace plumkeel::consul {
namespace {

namespace json = boost::json;

constexpr double max_capacity = 1e9;
constexpr std::int64_t max_started_at_ms = 1LL << 50;  // a later start time counts as unknown
constexpr std::int64_t max_port = 65535;

const json::value* find_field(const json::value* value, std::string_view key) {
    if (!value || !value->is_object()) return nullptr;
    return value->as_object().if_contains({key.data(), key.size()});
}

std::string text_or_empty(const json::value* value) {
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

template <class Number>
std::optional<Number> parse_number(const std::string& text) {
    Number number{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size()) return {};
    return number;
}

// An endpoint with a critical check is drained. Consul's maintenance mode of a node or service is a critical check.
bool has_no_critical_check(const json::value* checks) {
    if (!checks || !checks->is_array()) return true;
    for (const auto& check : checks->as_array())
        if (text_or_empty(find_field(&check, "Status")) == "critical") return false;
    return true;
}

// Returns `HOST:PORT`, with an IPv6 host in brackets. A service without an address has the address of its node.
std::optional<std::string> parse_address(const json::value* service, const json::value* node) {
    std::string host = text_or_empty(find_field(service, "Address"));
    if (host.empty()) host = text_or_empty(find_field(node, "Address"));
    const json::value* port = find_field(service, "Port");
    if (host.empty() || !port || !port->is_int64()) return {};
    const std::int64_t number = port->as_int64();
    if (number < 1 || number > max_port) return {};
    const bool is_ipv6 = host.find(':') != std::string::npos;
    return (is_ipv6 ? "[" + host + "]" : host) + ":" + std::to_string(number);
}

std::optional<Endpoint> parse_endpoint(const json::value& entry) {
    const json::value* service = find_field(&entry, "Service");
    const json::value* node = find_field(&entry, "Node");
    const auto address = parse_address(service, node);
    Endpoint endpoint;
    endpoint.name = text_or_empty(find_field(service, "ID"));
    if (endpoint.name.empty() || !address) return {};
    endpoint.address = *address;
    // Metadata of the service takes precedence over metadata of its node.
    const auto metadata = [&](const char* key) {
        const std::string service_value = text_or_empty(find_field(find_field(service, "Meta"), key));
        return service_value.empty() ? text_or_empty(find_field(find_field(node, "Meta"), key)) : service_value;
    };
    endpoint.ready = has_no_critical_check(find_field(&entry, "Checks"));
    endpoint.zone = metadata("zone");
    endpoint.type = metadata("kind");
    if (const auto capacity = parse_number<double>(metadata("units"));
        capacity && *capacity > 0 && *capacity < max_capacity)
        endpoint.capacity = *capacity;
    if (const auto cell = parse_number<int>(metadata("cell"))) endpoint.cell = *cell;
    if (const auto started_at_ms = parse_number<std::int64_t>(metadata("start"));
        started_at_ms && *started_at_ms > 0 && *started_at_ms < max_started_at_ms)
        endpoint.started_at = std::chrono::milliseconds(*started_at_ms);
    return endpoint;
}

}  // namespace

std::optional<std::vector<Endpoint>> parse_health_response(std::string_view body, std::size_t& skipped_entries) {
    boost::system::error_code error;
    const json::value value = json::parse({body.data(), body.size()}, error);
    if (error || !value.is_array()) return {};
    std::vector<Endpoint> endpoints;
    std::set<std::string> names;
    for (const auto& entry : value.as_array()) {
        auto endpoint = parse_endpoint(entry);
        if (endpoint && names.insert(endpoint->name).second)
            endpoints.push_back(std::move(*endpoint));
        else
            ++skipped_entries;
    }
    std::sort(endpoints.begin(), endpoints.end(), [](const Endpoint& a, const Endpoint& b) { return a.name < b.name; });
    return endpoints;
}

}  // namespace plumkeel::consul
