#include "trace_analysis/endpoint_diff.hpp"

namespace plumkeel::trace_analysis {

std::vector<EndpointChange> EndpointDiff::feed(const trace::EndpointsChanged& list, const NameTable& names) {
    std::vector<EndpointChange> changes;
    std::map<std::string, trace::EndpointRecord> received;
    for (const trace::EndpointRecord& endpoint : list.changed) received[names.invoker(endpoint.invoker)] = endpoint;
    for (const auto& [invoker, endpoint] : received) {
        const auto it = endpoints_.find(invoker);
        if (it == endpoints_.end())
            changes.push_back({EndpointChangeType::listed, invoker});
        else if (it->second.ready != endpoint.ready)
            changes.push_back({endpoint.ready ? EndpointChangeType::ready : EndpointChangeType::draining, invoker});
        else if (it->second.started_at != endpoint.started_at)
            changes.push_back({EndpointChangeType::restarted, invoker});
    }
    if (list.complete) {
        for (const auto& [invoker, endpoint] : endpoints_)
            if (!received.count(invoker)) changes.push_back({EndpointChangeType::removed, invoker});
        endpoints_ = std::move(received);
    } else {
        for (auto& [invoker, endpoint] : received) endpoints_[invoker] = endpoint;
    }
    if (!has_endpoints_) changes.clear();
    has_endpoints_ = has_endpoints_ || !endpoints_.empty();
    return changes;
}

}  // namespace plumkeel::trace_analysis
