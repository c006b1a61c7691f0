/// Reads a Jsonnet plan, which lists the measurements of a scale run, and checks it.
#pragma once

#include <string>
#include <vector>

#include "scale/many_controllers.hpp"
#include "scale/platform_run.hpp"

namespace plumkeel::scale {

/// A case that is run at several sizes, and `runs` times with different seeds at each size.
template <class Case>
struct Series {
    std::string name;
    std::string size_name;  // the field that varies, such as "invokers"
    std::vector<std::size_t> sizes;
    int runs = 1;
    Case base_case;  // the field named by `size_name` is set to each of `sizes`
};

struct Plan {
    std::vector<Series<DecisionCase>> decisions;           // size_name: "invokers" or "functions"
    std::vector<Series<ManyControllersCase>> controllers;  // size_name: "controllers" or "invokers"
    std::vector<Series<PlatformCase>> platform;            // size_name: "invokers" or "watchers"
};

/// Throws ConfigError, whose message names the file and the field.
Plan read_plan(const std::string& file);

/// Returns the base case with the field that varies set to `size`.
DecisionCase case_at(const Series<DecisionCase>& series, std::size_t size);
ManyControllersCase case_at(const Series<ManyControllersCase>& series, std::size_t size);
PlatformCase case_at(const Series<PlatformCase>& series, std::size_t size);

}  // namespace plumkeel::scale
