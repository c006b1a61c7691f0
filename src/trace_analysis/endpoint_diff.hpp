/// \file
/// What changed from one list of endpoints to the next.
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
    /// Returns the changes that the next list brings; none for the first list that names an endpoint.
    std::vector<EndpointChange> feed(const trace::EndpointsChanged& list, const NameTable& names);
    /// Whether a list has named an endpoint.
    bool has_endpoints() const { return has_endpoints_; }

private:
    std::map<std::string, trace::EndpointRecord> endpoints_;
    bool has_endpoints_{};
};

}  // namespace plumkeel::trace_analysis
