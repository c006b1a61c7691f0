#include "discovery/initial_events.hpp"

#include <fmt/format.h>

namespace plumkeel::discovery {
namespace {

using platform_settings::get_or;
using platform_settings::json;
using platform_settings::require;

void add_target(const json& target, WatchEvent& event) {
    gateway::Endpoint endpoint;
    endpoint.name = require<std::string>(target, "uid");
    endpoint.address = require<std::string>(target, "endpoint");
    const auto state = require<std::string>(target, "state");
    endpoint.ready = state == "up";
    endpoint.zone = get_or<std::string>(target, "az");
    endpoint.type = get_or<std::string>(target, "model");
    endpoint.cell = get_or<int>(target, "pod_group");
    endpoint.capacity = get_or<double>(target, "capacity_hint", 1.0);
    if (const auto started_at_ms = get_or<double>(target, "boot_ms"); started_at_ms > 0)
        endpoint.started_at = platform_settings::from_ms(started_at_ms);
    event.add(std::move(endpoint), state == "removed");
}

}  // namespace

std::vector<WatchEvent> parse_initial_events(const platform_settings::json& known) {
    std::vector<WatchEvent> events;
    for (const json& notice : get_or<json>(known, "notices", json::array())) {
        WatchEvent& event = events.emplace_back();
        const json& pool = platform_settings::object_or_empty(notice, "pool");
        event.number = require<std::uint64_t>(notice, "rev");
        event.has_changes = true;
        event.is_complete = get_or<bool>(pool, "all");
        const json targets = get_or<json>(pool, "targets", json::array());
        if (targets.size() > max_records)
            throw platform_settings::SettingsError(fmt::format(
                "field 'targets' of 'known': {} invokers listed, at most {} allowed", targets.size(), max_records));
        for (const json& target : targets) add_target(target, event);
    }
    return events;
}

}  // namespace plumkeel::discovery
