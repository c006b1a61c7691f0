// What to measure, read from a Jsonnet plan and checked: every fault names file and field.
#pragma once

#include <string>
#include <vector>

#include "scale/many_controllers.hpp"
#include "scale/platform_run.hpp"

namespace plumkeel::scale {

// One case over a growing size, each size played `runs` times with other seeds.
template <class Case>
struct Series {
    std::string name;
    std::string size_name;
    std::vector<std::size_t> sizes;
    int runs = 1;
    Case plain;  // the size aside
};

struct Plan {
    std::vector<Series<DecisionCase>> decisions;           // over "invokers" or "functions"
    std::vector<Series<ManyControllersCase>> controllers;  // over "controllers" or "invokers"
    std::vector<Series<PlatformCase>> platform;            // over "invokers" or "watchers"
};

// Throws CharterFault, naming file and field.
Plan read_plan(const std::string& file);

// The case at one of its sizes.
DecisionCase sized(const Series<DecisionCase>& series, std::size_t size);
ManyControllersCase sized(const Series<ManyControllersCase>& series, std::size_t size);
PlatformCase sized(const Series<PlatformCase>& series, std::size_t size);

// What a case would need at the most.
struct Need {
    std::size_t memory_bytes{};
    std::size_t processes{};
    std::size_t descriptors{};  // of this process
};
Need need_of(const DecisionCase& of);
Need need_of(const ManyControllersCase& of);
Need need_of(const PlatformCase& of);

// Throws CharterFault where a need passes half of the memory, the processes or the descriptors that a run may have.
void refuse_what_does_not_fit(const std::string& what, const Need& need);

}  // namespace plumkeel::scale
