#include "trace_analysis/endpoint_diff.hpp"

namespace plumkeel::trace_analysis {

std::vector<EndpointDiff::EndpointChange> EndpointDiff::feed(const trace::EndpointsChanged& told,
                                                             const NameTable& names) {
    std::vector<EndpointChange> news;
    std::map<std::string, trace::EndpointRecord> now;
    for (const trace::EndpointRecord& entry : told.changed) now[names.invoker(entry.invoker)] = entry;
    for (const auto& [who, entry] : now) {
        const auto it = facts_.find(who);
        if (it == facts_.end())
            news.push_back({EndpointChangeType::listed, who});
        else if (it->second.ready != entry.ready)
            news.push_back({entry.ready ? EndpointChangeType::ready : EndpointChangeType::drains, who});
        else if (it->second.started_at != entry.started_at)
            news.push_back({EndpointChangeType::started, who});
    }
    if (told.complete) {
        for (const auto& [who, entry] : facts_)
            if (!now.count(who)) news.push_back({EndpointChangeType::gone, who});
        facts_ = std::move(now);
    } else {
        for (auto& [who, entry] : now) facts_[who] = entry;
    }
    if (!begun_) news.clear();
    begun_ = begun_ || !facts_.empty();
    return news;
}

}  // namespace plumkeel::trace_analysis
