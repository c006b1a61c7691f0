// The settings object of the platform, as the simulator's first message and a controller's configuration both
// hold it: the one decoder of its names and units. Free of I/O.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/types.hpp"
#include "settings/fields.hpp"

namespace plumkeel::settings {

struct Settings {
    Rulebook rulebook;
    Allowances allowances;
    std::map<std::string, UseCase> use_cases;
    std::map<std::string, Tenant> tenants;
    bool says_company{};
    std::vector<std::string> report_fields;  // in the order in which reports hold them
    // Sockets alone ask for these.
    std::vector<std::string> zones, kinds;
    Time connect_within{}, idle_for{}, order_within{}, longest_wait{};
    std::size_t hops_a_connection{};
};

// Throws Fault, naming the field.
Settings read(const json& setup);

// Puts one figure of a load report, by the name that the settings give it, where the module looks for it.
void put_figure(Report& report, const std::string& field, double value);

}  // namespace plumkeel::settings
