#include "scale/resource_needs.hpp"

#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

#include "config/jsonnet_reader.hpp"

namespace plumkeel::scale {
namespace {

// Upper estimates of memory and file descriptors: base values for the whole run, and values per item.
constexpr std::size_t bytes_per_invoker = 3000, bytes_per_instance = 32, bytes_per_function = 1500, bytes_per_rank = 8;
constexpr std::size_t base_bytes = 64 << 20;
constexpr std::size_t bytes_per_process = 64 << 20, bytes_per_process_and_invoker = 8000, bytes_per_watcher = 32 << 10;
constexpr std::size_t descriptors_per_process = 600, descriptors_per_watcher = 2, base_descriptors = 128;

std::size_t physical_memory() {
    return static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES)) * static_cast<std::size_t>(sysconf(_SC_PAGE_SIZE));
}

template <class Case>
std::size_t expected_requests(const Case& sized_case) {
    return static_cast<std::size_t>(sized_case.requests_per_s *
                                    std::chrono::duration<double>(sized_case.length).count());
}

}  // namespace

ResourceNeeds resource_needs(const DecisionCase& decision_case) {
    const FleetShape& fleet = decision_case.fleet;
    const std::size_t requests = expected_requests(decision_case);
    const std::size_t functions = decision_case.disturbance == Disturbance::new_functions
                                      ? requests
                                      : std::min(decision_case.functions, requests);
    const std::size_t invokers_bytes =
        fleet.invokers * (bytes_per_invoker + fleet.max_instances_per_invoker * bytes_per_instance);
    return {base_bytes + invokers_bytes + functions * bytes_per_function + decision_case.functions * bytes_per_rank, 1,
            base_descriptors};
}

ResourceNeeds resource_needs(const ManyControllersCase& controllers_case) {
    const FleetShape& fleet = controllers_case.fleet;
    const auto controllers = static_cast<std::size_t>(controllers_case.controllers);
    const std::size_t requests = expected_requests(controllers_case) / controllers;
    const std::size_t controller_bytes =
        fleet.invokers * bytes_per_invoker + std::min(controllers_case.functions, requests) * bytes_per_function;
    return {base_bytes + controllers * controller_bytes +
                fleet.invokers * fleet.max_instances_per_invoker * bytes_per_instance,
            1, base_descriptors};
}

ResourceNeeds resource_needs(const PlatformCase& platform_case) {
    const std::size_t process_bytes = bytes_per_process + platform_case.invokers * bytes_per_process_and_invoker;
    return {base_bytes + platform_case.processes * process_bytes + platform_case.watchers * bytes_per_watcher,
            platform_case.processes + 1,
            base_descriptors + platform_case.processes * descriptors_per_process +
                platform_case.watchers * descriptors_per_watcher};
}

void require_resources(const std::string& description, const ResourceNeeds& needs) {
    const std::size_t allowed_memory_bytes = physical_memory() / 2;
    rlimit descriptor_limits{};
    getrlimit(RLIMIT_NOFILE, &descriptor_limits);
    const auto mebibytes = [](std::size_t bytes) { return bytes >> 20; };
    if (needs.memory_bytes > allowed_memory_bytes)
        throw ConfigError(
            fmt::format("{}: would need {} MiB of memory; allowed are {} MiB, half of this machine's memory",
                        description, mebibytes(needs.memory_bytes), mebibytes(allowed_memory_bytes)));
    if (needs.processes > max_processes + 1)
        throw ConfigError(fmt::format("{}: would need {} processes; at most {} are allowed", description,
                                      needs.processes, max_processes + 1));
    if (needs.descriptors > descriptor_limits.rlim_max)
        throw ConfigError(fmt::format("{}: would need {} file descriptors; the hard limit is {}", description,
                                      needs.descriptors, descriptor_limits.rlim_max));
}

}  // namespace plumkeel::scale
