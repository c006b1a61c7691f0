/// What a case needs of the machine, estimated from above before it is run.
#pragma once

#include <string>

#include "scale/many_controllers.hpp"
#include "scale/platform_run.hpp"

namespace plumkeel::scale {

constexpr std::size_t max_processes = 200;  // of a platform run, beside this one

struct ResourceNeeds {
    std::size_t memory_bytes{};
    std::size_t processes{};
    std::size_t descriptors{};  // of this process
};
ResourceNeeds resource_needs(const DecisionCase& decision_case);
ResourceNeeds resource_needs(const ManyControllersCase& controllers_case);
ResourceNeeds resource_needs(const PlatformCase& platform_case);

/// Throws ConfigError where it needs more than half of the memory, or than the processes or descriptors that a run may
/// have. `description` names the case.
void require_resources(const std::string& description, const ResourceNeeds& needs);

}  // namespace plumkeel::scale
