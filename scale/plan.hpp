/// What to measure, read from a Jsonnet plan and checked.
#pragma once

#include <string>
#include <vector>

#include "scale/many_controllers.hpp"
#include "scale/platform_run.hpp"

namespace plumkeel::scale {

/// One case over a growing size, each size run `runs` times with other seeds.
template <class Case>
struct Series {
    std::string name;
    std::string size_name;
    std::vector<std::size_t> sizes;
    int runs = 1;
    Case base;  // without the size
};

struct Plan {
    std::vector<Series<DecisionCase>> decisions;           // over "invokers" or "functions"
    std::vector<Series<ManyControllersCase>> controllers;  // over "controllers" or "invokers"
    std::vector<Series<PlatformCase>> platform;            // over "invokers" or "watchers"
};

/// Throws ConfigError, naming file and field.
Plan read_plan(const std::string& file);

/// The case at one of its sizes.
DecisionCase case_at(const Series<DecisionCase>& series, std::size_t size);
ManyControllersCase case_at(const Series<ManyControllersCase>& series, std::size_t size);
PlatformCase case_at(const Series<PlatformCase>& series, std::size_t size);

}  // namespace plumkeel::scale
