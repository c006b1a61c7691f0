#include "scheduler/placement_index.hpp"

#include <algorithm>
#include <boost/sort/spreadsort/float_sort.hpp>
#include <cmath>
#include <limits>
#include <optional>

#include "scheduler/hash.hpp"

namespace plumkeel {
namespace {

constexpr std::size_t min_change_log_size = 64;
/// If applying the missed changes may move more places than this number times the fleet size, a new search costs less.
constexpr std::size_t max_update_moves_per_invoker = 4;
/// A search collects 1/4 more invokers than needed, since the number needed for a popular function varies.
constexpr std::size_t search_headroom_divisor = 4;
/// Homes are shortened when they hold more invokers than the number needed times the multiple plus the surplus.
constexpr std::size_t trim_threshold_multiple = 8, trim_threshold_surplus = 128;

std::uint64_t upper_bits(std::uint64_t key, std::uint64_t invoker_hash) {
    return mix(key ^ invoker_hash) >> 11;
}

// A uniform variate in (0, 1) from the upper 53 bits of the hash. As a signed integer these convert to floating point
// faster.
double uniform_variate(std::uint64_t key, std::uint64_t invoker_hash) {
    return (static_cast<double>(static_cast<std::int64_t>(upper_bits(key, invoker_hash))) + 0.5) * 0x1p-53;
}

// The lowest upper bits with which a hash can have a rank of at most `max_rank`, since -log(u) >= 1 - u. The result is
// lowered by a margin for rounding errors.
std::uint64_t min_upper_bits(double max_rank, double weight) {
    constexpr double rounding_margin = 16;
    const double bits = (1 - max_rank * weight) * 0x1p53 - rounding_margin;
    return bits > 0 ? static_cast<std::uint64_t>(bits) : 0;
}

// A rank that slightly more than `count` invokers are expected not to exceed. If weights differ, too few may be found,
// and the search is repeated with a higher rank.
double estimated_max_rank(std::size_t count, std::size_t listed_count, double total_weight) {
    const auto wanted = static_cast<double>(count);
    const auto listed = static_cast<double>(listed_count);
    const double wanted_share = (wanted + 4 * std::sqrt(wanted) + 4) / listed;
    return wanted_share < 1 ? -std::log1p(-wanted_share) * listed / total_weight
                            : std::numeric_limits<double>::infinity();
}

// The rank, or nothing if it is above `max_rank`. Since -log(u) >= 1 - u, most invokers are excluded without computing
// a logarithm.
std::optional<double> rank_within(std::uint64_t key, std::uint64_t invoker_hash, double weight, double max_rank) {
    const double u = uniform_variate(key, invoker_hash);
    if (1 - u > max_rank * weight) return std::nullopt;
    const double rank = -std::log(u) / weight;
    return rank <= max_rank ? std::optional(rank) : std::nullopt;
}

bool has_lower_rank(const PlacementIndex::RankedInvoker& a, const PlacementIndex::RankedInvoker& b) {
    return a.rank < b.rank;
}

// Gives the radix sort the bits of a rank. Ranks are never negative.
struct RankBits {
    std::int64_t operator()(const PlacementIndex::RankedInvoker& home, unsigned offset) const {
        return boost::sort::spreadsort::float_mem_cast<double, std::int64_t>(home.rank) >> offset;
    }
};

void insert(std::vector<PlacementIndex::RankedInvoker>& sorted, const PlacementIndex::RankedInvoker& added) {
    sorted.insert(std::ranges::upper_bound(sorted, added, has_lower_rank), added);
}

}  // namespace

double placement_rank(std::uint64_t key, std::uint64_t invoker_hash, double weight) {
    return -std::log(uniform_variate(key, invoker_hash)) / weight;
}

void PlacementIndex::put(Invoker& invoker, std::uint64_t hash, double weight) {
    const auto [found, is_new] = positions_.try_emplace(&invoker, static_cast<std::uint32_t>(entries_.size()));
    const Entry entry{hash, weight};
    if (is_new) {
        entries_.push_back(entry);
        invokers_.push_back(&invoker);
    } else {
        Entry& old_entry = entries_[found->second];
        if (old_entry.weight == weight) return;
        total_weight_ -= old_entry.weight;
        append_change({&invoker, std::exchange(old_entry, entry), false});
    }
    total_weight_ += weight;
    append_change({&invoker, entry, true});
}

void PlacementIndex::remove(Invoker& invoker) {
    const auto found = positions_.find(&invoker);
    if (found == positions_.end()) return;
    const std::size_t position = found->second;
    append_change({&invoker, entries_[position], false});
    total_weight_ -= entries_[position].weight;
    entries_[position] = entries_.back();
    invokers_[position] = invokers_.back();
    positions_[invokers_[position]] = static_cast<std::uint32_t>(position);
    entries_.pop_back();
    invokers_.pop_back();
    positions_.erase(&invoker);
}

// Keeps about as many changes as there are invokers. For an owner that missed more, a new search costs less.
void PlacementIndex::append_change(const Change& change) {
    ++version_;
    changes_.push_back(change);
    while (changes_.size() > std::max(min_change_log_size, entries_.size())) changes_.pop_front();
}

const std::vector<PlacementIndex::RankedInvoker>& PlacementIndex::find(std::uint64_t key, Homes& homes,
                                                                       std::size_t count) {
    const std::size_t needed_count = std::min(count, entries_.size());
    const bool is_current = apply_missed_changes(key, homes);
    if (!is_current || homes.ranked.size() < needed_count) search(key, homes, needed_count);
    if (homes.ranked.size() > trim_threshold_multiple * needed_count + trim_threshold_surplus)
        shorten(homes, needed_count);
    return homes.ranked;
}

// Returns false if the log does not contain all changes that `homes` missed, or if a new search costs less: each change
// may move as many places as `homes` holds.
bool PlacementIndex::apply_missed_changes(std::uint64_t key, Homes& homes) {
    const std::uint64_t missed_changes = version_ - homes.version;
    if (homes.version == 0 || missed_changes > changes_.size()) return false;
    if (missed_changes * homes.ranked.size() > max_update_moves_per_invoker * entries_.size()) return false;
    for (std::size_t i = changes_.size() - missed_changes; i < changes_.size(); ++i) {
        const Change& change = changes_[i];
        const auto rank = rank_within(key, change.entry.hash, change.entry.weight, homes.max_rank);
        if (!rank) continue;
        if (change.is_listed)
            insert(homes.ranked, {*rank, change.invoker});
        else
            std::erase_if(homes.ranked, [&](const RankedInvoker& home) { return home.invoker == change.invoker; });
    }
    ranks_computed_ += missed_changes;
    homes.version = version_;
    return true;
}

void PlacementIndex::search(std::uint64_t key, Homes& homes, std::size_t count) {
    homes.version = version_;
    homes.max_rank = estimated_max_rank(std::max<std::size_t>(count + count / search_headroom_divisor, 1),
                                        entries_.size(), total_weight_);
    collect_up_to_max_rank(key, homes);
    while (homes.ranked.size() < count) {
        homes.max_rank = count < entries_.size() ? homes.max_rank * 2 : std::numeric_limits<double>::infinity();
        collect_up_to_max_rank(key, homes);
    }
    boost::sort::spreadsort::float_sort(homes.ranked.begin(), homes.ranked.end(), RankBits{}, has_lower_rank);
}

// Collects all invokers with a rank of at most `max_rank`. Nearly all others are excluded by one integer comparison, in
// a loop over consecutive entries of equal weight.
void PlacementIndex::collect_up_to_max_rank(std::uint64_t key, Homes& homes) {
    homes.ranked.clear();
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        i = next_candidate_position(key, i, homes.max_rank);
        if (i == entries_.size()) break;
        const auto rank = rank_within(key, entries_[i].hash, entries_[i].weight, homes.max_rank);
        if (rank) homes.ranked.push_back({*rank, invokers_[i]});
    }
    ranks_computed_ += entries_.size();
}

// Returns the position of the first entry from `start` on that may have a rank of at most `max_rank`, or the number of
// entries.
std::size_t PlacementIndex::next_candidate_position(std::uint64_t key, std::size_t start, double max_rank) const {
    const Entry* const entries = entries_.data();
    const std::size_t count = entries_.size();
    for (std::size_t i = start; i < count;) {
        const double weight = entries[i].weight;
        const std::uint64_t min_bits = min_upper_bits(max_rank, weight);
        for (; i < count && entries[i].weight == weight; ++i)
            if (upper_bits(key, entries[i].hash) >= min_bits) return i;
    }
    return count;
}

void PlacementIndex::shorten(Homes& homes, std::size_t count) {
    homes.ranked.resize(2 * count + trim_threshold_surplus / 4);
    homes.ranked.shrink_to_fit();
    homes.max_rank = homes.ranked.back().rank;
}

}  // namespace plumkeel
