#include "tale/listing.hpp"

namespace plumkeel::tale {

std::vector<Listing::News> Listing::feed(const trace::FleetChanged& told, const Names& names) {
    std::vector<News> news;
    std::map<std::string, trace::ListEntry> now;
    for (const trace::ListEntry& entry : told.changed) now[names.invoker(entry.invoker)] = entry;
    for (const auto& [who, entry] : now) {
        const auto it = facts_.find(who);
        if (it == facts_.end())
            news.push_back({Change::listed, who});
        else if (it->second.ready != entry.ready)
            news.push_back({entry.ready ? Change::ready : Change::drains, who});
        else if (it->second.started != entry.started)
            news.push_back({Change::started, who});
    }
    if (told.complete) {
        for (const auto& [who, entry] : facts_)
            if (!now.count(who)) news.push_back({Change::gone, who});
        facts_ = std::move(now);
    } else {
        for (auto& [who, entry] : now) facts_[who] = entry;
    }
    if (!begun_) news.clear();
    begun_ = begun_ || !facts_.empty();
    return news;
}

}  // namespace plumkeel::tale
