#include "scale/resource_needs.hpp"

#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

#include "config/jsonnet_reader.hpp"

namespace plumkeel::scale {
namespace {

// Measured of the scheduler and this package's hosts, rounded up.
constexpr std::size_t invoker_bytes = 3000, instance_bytes = 32, function_bytes = 1500, rank_bytes = 8;
constexpr std::size_t base_bytes = 64 << 20;
constexpr std::size_t process_bytes = 64 << 20, process_invoker_bytes = 8000, watcher_bytes = 32 << 10;
constexpr std::size_t process_descriptors = 600, watcher_descriptors = 2, base_descriptors = 128;

std::size_t physical_memory() {
    return static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES)) * static_cast<std::size_t>(sysconf(_SC_PAGE_SIZE));
}

template <class Case>
std::size_t expected_requests(const Case& sized) {
    return static_cast<std::size_t>(sized.requests_per_s * std::chrono::duration<double>(sized.length).count());
}

}  // namespace

ResourceNeeds resource_needs(const DecisionCase& decision_case) {
    const FleetShape& fleet = decision_case.fleet;
    const std::size_t requests = expected_requests(decision_case);
    const std::size_t functions = decision_case.disturbance == Disturbance::new_functions
                                      ? requests
                                      : std::min(decision_case.functions, requests);
    const std::size_t invokers = fleet.invokers * (invoker_bytes + fleet.instances * instance_bytes);
    return {base_bytes + invokers + functions * function_bytes + decision_case.functions * rank_bytes, 1,
            base_descriptors};
}

ResourceNeeds resource_needs(const ManyControllersCase& controllers_case) {
    const FleetShape& fleet = controllers_case.fleet;
    const auto controllers = static_cast<std::size_t>(controllers_case.controllers);
    const std::size_t requests = expected_requests(controllers_case) / controllers;
    const std::size_t controller =
        fleet.invokers * invoker_bytes + std::min(controllers_case.functions, requests) * function_bytes;
    return {base_bytes + controllers * controller + fleet.invokers * fleet.instances * instance_bytes, 1,
            base_descriptors};
}

ResourceNeeds resource_needs(const PlatformCase& platform_case) {
    const std::size_t process = process_bytes + platform_case.invokers * process_invoker_bytes;
    return {base_bytes + platform_case.processes * process + platform_case.watchers * watcher_bytes,
            platform_case.processes + 1,
            base_descriptors + platform_case.processes * process_descriptors +
                platform_case.watchers * watcher_descriptors};
}

void require_resources(const std::string& description, const ResourceNeeds& needs) {
    const std::size_t memory = physical_memory() / 2;
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    const auto mebibytes = [](std::size_t bytes) { return bytes >> 20; };
    if (needs.memory_bytes > memory)
        throw ConfigError(fmt::format("{}: would need {} MiB of memory; half of this machine's is {} MiB", description,
                                      mebibytes(needs.memory_bytes), mebibytes(memory)));
    if (needs.processes > max_processes + 1)
        throw ConfigError(
            fmt::format("{}: would need {} processes; {} may run", description, needs.processes, max_processes + 1));
    if (needs.descriptors > files.rlim_max)
        throw ConfigError(fmt::format("{}: would need {} descriptors; the limit is {}", description, needs.descriptors,
                                      files.rlim_max));
}

}  // namespace plumkeel::scale
