/// \file
/// Finds the changes between successive endpoint lists.
#pragma once

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "trace_analysis/name_table.hpp"

namespace plumkeel::trace_analysis {

enum class EndpointChangeType { listed, ready, draining, restarted, removed };

struct EndpointChange {
    EndpointChangeType type{};
    std::string invoker;

    auto operator<=>(const EndpointChange&) const = default;
};

class EndpointDiff {
public:
    /// Processes the next list and returns its changes. Returns none for the first list that contains an endpoint.
    std::vector<EndpointChange> feed(const trace::EndpointsChanged& list, const NameTable& names);
    /// Whether any list so far contained an endpoint.
    bool has_endpoints() const { return has_endpoints_; }

private:
    std::map<std::string, trace::EndpointRecord> endpoints_;
    bool has_endpoints_{};
};

}  // namespace plumkeel::trace_analysis
