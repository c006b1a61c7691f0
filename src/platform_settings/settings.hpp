/// The settings object of the platform, which the simulator's first message and a controller's configuration both
/// contain: the only decoder of its names and units. Free of I/O.
#pragma once

#include <map>
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
    /// Invokers report how many requests ran beside each one.
    bool reports_concurrency{};
    /// Names of the figures of a load report, in the order in which reports contain them.
    std::vector<std::string> report_fields;

    // What only a controller on real connections uses.
    std::vector<std::string> zones, invoker_types;  ///< The tables that discovery frames index.
    Time connect_timeout{}, idle_timeout{}, preload_timeout{};
    Time max_wait{};  ///< The longest deadline of any request class.
    std::size_t max_attempts_per_connection{};
};

/// Throws `SettingsError`, naming the field.
PlatformSettings parse_settings(const json& root);

/// Stores one figure of a load report under the name that the settings give it; unknown names are ignored.
void set_report_field(LoadReport& report, const std::string& field, double value);

}  // namespace plumkeel::platform_settings
