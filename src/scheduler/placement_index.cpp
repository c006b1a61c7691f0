#include "scheduler/placement_index.hpp"

#include <algorithm>
#include <boost/sort/spreadsort/float_sort.hpp>
#include <cmath>
#include <limits>
#include <optional>

#include "scheduler/hash.hpp"

namespace plumkeel {
namespace {

constexpr std::size_t min_log_size = 64;          // changes kept however small the fleet is
constexpr std::size_t max_moves_per_invoker = 4;  // beyond so many moved places for each invoker a search is cheaper
constexpr std::size_t headroom_divisor =
    4;  // a search finds a quarter more than needed: a popular function's need varies
constexpr std::size_t max_excess_factor = 8,
                      max_excess = 128;  // homes longer than so many times the need, and this, are cut

std::uint64_t upper_bits(std::uint64_t key, std::uint64_t invoker_hash) {
    return mix(key ^ invoker_hash) >> 11;
}

// Uniform over (0, 1), from the hash's upper 53 bits. They fit a signed number, which converts faster.
double uniform(std::uint64_t key, std::uint64_t invoker_hash) {
    return (static_cast<double>(static_cast<std::int64_t>(upper_bits(key, invoker_hash))) + 0.5) * 0x1p-53;
}

// No hash with fewer upper bits has a rank of at most `reach`: -log(u) >= 1 - u. A little less, for what is rounded.
std::uint64_t least_bits(double reach, double weight) {
    constexpr double rounded = 16;
    const double bits = (1 - reach * weight) * 0x1p53 - rounded;
    return bits > 0 ? static_cast<std::uint64_t>(bits) : 0;
}

// The rank that about so many of the listed, or a few more, are expected not to pass. Exact for equal weights; where
// they differ too few may be found, and the search is repeated.
double reach_for(std::size_t count, std::size_t listed, double weights) {
    const auto wanted = static_cast<double>(count);
    const auto all = static_cast<double>(listed);
    const double part = (wanted + 4 * std::sqrt(wanted) + 4) / all;
    return part < 1 ? -std::log1p(-part) * all / weights : std::numeric_limits<double>::infinity();
}

// Absent where it is over `reach`. Since -log(u) >= 1 - u, most are ruled out without a logarithm.
std::optional<double> rank_within(std::uint64_t key, std::uint64_t invoker_hash, double weight, double reach) {
    const double u = uniform(key, invoker_hash);
    if (1 - u > reach * weight) return std::nullopt;
    const double rank = -std::log(u) / weight;
    return rank <= reach ? std::optional(rank) : std::nullopt;
}

bool earlier(const PlacementIndex::Place& a, const PlacementIndex::Place& b) {
    return a.rank < b.rank;
}

// The part of a rank that a radix sort looks at; ranks are never negative.
struct RankBits {
    std::int64_t operator()(const PlacementIndex::Place& place, unsigned offset) const {
        return boost::sort::spreadsort::float_mem_cast<double, std::int64_t>(place.rank) >> offset;
    }
};

void insert(std::vector<PlacementIndex::Place>& places, const PlacementIndex::Place& place) {
    places.insert(std::ranges::upper_bound(places, place, earlier), place);
}

}  // namespace

double placement_rank(std::uint64_t key, std::uint64_t invoker_hash, double weight) {
    return -std::log(uniform(key, invoker_hash)) / weight;
}

void PlacementIndex::put(Invoker& invoker, std::uint64_t hash, double weight) {
    const auto [found, fresh] = positions_.try_emplace(&invoker, static_cast<std::uint32_t>(entries_.size()));
    const Entry entry{hash, weight};
    if (fresh) {
        entries_.push_back(entry);
        invokers_.push_back(&invoker);
    } else {
        Entry& old = entries_[found->second];
        if (old.weight == weight) return;
        weights_ -= old.weight;
        log({&invoker, std::exchange(old, entry), false});
    }
    weights_ += weight;
    log({&invoker, entry, true});
}

void PlacementIndex::remove(Invoker& invoker) {
    const auto found = positions_.find(&invoker);
    if (found == positions_.end()) return;
    const std::size_t position = found->second;
    log({&invoker, entries_[position], false});
    weights_ -= entries_[position].weight;
    entries_[position] = entries_.back();
    invokers_[position] = invokers_.back();
    positions_[invokers_[position]] = static_cast<std::uint32_t>(position);
    entries_.pop_back();
    invokers_.pop_back();
    positions_.erase(&invoker);
}

// Beyond as many changes as there are invokers a new search is the cheaper way.
void PlacementIndex::log(const Change& change) {
    ++version_;
    changes_.push_back(change);
    while (changes_.size() > std::max(min_log_size, entries_.size())) changes_.pop_front();
}

const std::vector<PlacementIndex::Place>& PlacementIndex::find(std::uint64_t key, Homes& homes, std::size_t count) {
    const std::size_t needed = std::min(count, entries_.size());
    const bool current = catch_up(key, homes);
    if (!current || homes.first.size() < needed) search(key, homes, needed);
    if (homes.first.size() > max_excess_factor * needed + max_excess) trim(homes, needed);
    return homes.first;
}

// False where the log does not reach back to what these homes agree with, or a new search is the cheaper way: each
// change may move as many places as are held.
bool PlacementIndex::catch_up(std::uint64_t key, Homes& homes) {
    const std::uint64_t behind = version_ - homes.version;
    if (homes.version == 0 || behind > changes_.size()) return false;
    if (behind * homes.first.size() > max_moves_per_invoker * entries_.size()) return false;
    for (std::size_t i = changes_.size() - behind; i < changes_.size(); ++i) {
        const Change& change = changes_[i];
        const auto rank = rank_within(key, change.entry.hash, change.entry.weight, homes.reach);
        if (!rank) continue;
        if (change.listed)
            insert(homes.first, {*rank, change.invoker});
        else
            std::erase_if(homes.first, [&](const Place& place) { return place.invoker == change.invoker; });
    }
    hashed_ += behind;
    homes.version = version_;
    return true;
}

void PlacementIndex::search(std::uint64_t key, Homes& homes, std::size_t count) {
    homes.version = version_;
    homes.reach = reach_for(std::max<std::size_t>(count + count / headroom_divisor, 1), entries_.size(), weights_);
    collect(key, homes);
    while (homes.first.size() < count) {
        homes.reach = count < entries_.size() ? homes.reach * 2 : std::numeric_limits<double>::infinity();
        collect(key, homes);
    }
    boost::sort::spreadsort::float_sort(homes.first.begin(), homes.first.end(), RankBits{}, earlier);
}

// All of at most rank `reach`. Nearly all are ruled out by one comparison of whole numbers: runs of equal weights,
// which are long, are looked through in a loop of nothing else.
void PlacementIndex::collect(std::uint64_t key, Homes& homes) {
    homes.first.clear();
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        i = skip(key, i, homes.reach);
        if (i == entries_.size()) break;
        const auto rank = rank_within(key, entries_[i].hash, entries_[i].weight, homes.reach);
        if (rank) homes.first.push_back({*rank, invokers_[i]});
    }
    hashed_ += entries_.size();
}

// The first entry from `from` on that may have a rank of at most `reach`, or the number of entries.
std::size_t PlacementIndex::skip(std::uint64_t key, std::size_t from, double reach) const {
    const Entry* const entries = entries_.data();
    const std::size_t count = entries_.size();
    for (std::size_t i = from; i < count;) {
        const double weight = entries[i].weight;
        const std::uint64_t least = least_bits(reach, weight);
        for (; i < count && entries[i].weight == weight; ++i)
            if (upper_bits(key, entries[i].hash) >= least) return i;
    }
    return count;
}

void PlacementIndex::trim(Homes& homes, std::size_t count) {
    homes.first.resize(2 * count + max_excess / 4);
    homes.first.shrink_to_fit();
    homes.reach = homes.first.back().rank;
}

}  // namespace plumkeel
