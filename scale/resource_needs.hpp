/// Estimates upper bounds of the resources that a case needs, so that a case too large for the machine is not started.
#pragma once

#include <string>

#include "scale/many_controllers.hpp"
#include "scale/platform_run.hpp"

namespace plumkeel::scale {

constexpr std::size_t max_processes = 200;  // limit of controller processes in one platform run

struct ResourceNeeds {
    std::size_t memory_bytes{};
    std::size_t processes{};
    std::size_t descriptors{};  // file descriptors of this process
};
ResourceNeeds resource_needs(const DecisionCase& decision_case);
ResourceNeeds resource_needs(const ManyControllersCase& controllers_case);
ResourceNeeds resource_needs(const PlatformCase& platform_case);

/// Throws ConfigError if `needs` exceed half of the machine's memory, max_processes, or the hard limit of file
/// descriptors. `description` identifies the case in the message.
void require_resources(const std::string& description, const ResourceNeeds& needs);

}  // namespace plumkeel::scale
