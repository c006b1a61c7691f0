// The settings object of the platform, as the simulator's first message and a controller's configuration both
// hold it: the one decoder of its names and units. Free of I/O.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "platform_settings/fields.hpp"
#include "scheduler/types.hpp"

namespace plumkeel::platform_settings {

struct PlatformSettings {
    SafetyRules safety_rules;
    Capabilities capabilities;
    std::map<std::string, RequestClass> request_classes;
    std::map<std::string, Tenant> tenants;
    bool reports_concurrency{};
    std::vector<std::string> report_fields;  // in the order in which reports hold them
    // Sockets alone ask for these.
    std::vector<std::string> zones, invoker_types;
    Time connect_timeout{}, idle_timeout{}, preload_timeout{}, max_wait{};
    std::size_t max_attempts_per_connection{};
};

// Throws Fault, naming the field.
PlatformSettings read(const json& setup);

// Puts one figure of a load report, by the name that the settings give it, where the module looks for it.
void put_figure(LoadReport& report, const std::string& field, double value);

}  // namespace plumkeel::platform_settings
