/// Decodes the settings object of the platform, which is part of the simulator's first message and of a controller's
/// configuration. Does no I/O.
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
    /// Whether invokers report how many requests a copy ran concurrently.
    bool reports_concurrency{};
    /// Names of the values in a load report, in the order in which reports contain them.
    std::vector<std::string> report_fields;

    // The following fields are used only with real connections, not with the simulator.
    std::vector<std::string> zones, invoker_types;  ///< Names to which discovery frames refer by index.
    Time connect_timeout{}, idle_timeout{}, preload_timeout{};
    Time max_wait{};  ///< The longest deadline of any request class.
    std::size_t max_attempts_per_connection{};
};

/// Throws `SettingsError`, naming the field.
PlatformSettings parse_settings(const json& root);

/// Stores one value of a load report. `field` is its name in the settings; unknown names are ignored.
void set_report_field(LoadReport& report, const std::string& field, double value);

}  // namespace plumkeel::platform_settings
