/// Arguments for the construction of a hosted scheduler.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "scheduler/types.hpp"

namespace plumkeel::simulator_adapter {

/// The referenced maps must outlive the scheduler.
struct SchedulerSetup {
    const std::string& controller;
    Time started_at;  ///< simulated time
    std::uint64_t seed;
    const SafetyRules& safety_rules;
    const Capabilities& capabilities;
    const std::map<std::string, RequestClass>& request_classes;
    const std::map<std::string, Tenant>& tenants;
};

}  // namespace plumkeel::simulator_adapter
