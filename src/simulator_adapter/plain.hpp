// The module as the adapter hosts it in service to the simulator: bare.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "scheduler/scheduler.hpp"

namespace plumkeel {

using Hosted = Scheduler;

inline std::unique_ptr<Hosted> host(const std::string&, Time, std::uint64_t seed, const SafetyRules& rules,
                                    const Capabilities& may, const std::map<std::string, RequestClass>&,
                                    const std::map<std::string, Tenant>&) {
    return std::make_unique<Scheduler>(seed, rules, may);
}

}  // namespace plumkeel
