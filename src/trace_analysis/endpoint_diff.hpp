// What a list of invokers tells that the one before it did not. Pure.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "trace_analysis/name_table.hpp"

namespace plumkeel::trace_analysis {

enum class EndpointChangeType { listed, ready, drains, started, gone };

class EndpointDiff {
public:
    struct EndpointChange {
        EndpointChangeType change{};
        std::string who;
    };
    // Nothing for the first list that names anyone.
    std::vector<EndpointChange> feed(const trace::EndpointsChanged& told, const NameTable& names);
    bool begun() const { return begun_; }

private:
    std::map<std::string, trace::EndpointRecord> facts_;
    bool begun_{};
};

}  // namespace plumkeel::trace_analysis
