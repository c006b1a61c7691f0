/// Weighted rendezvous hashing (highest random weight) over the listed invokers. For a key, it finds the first invokers
/// in an order that all controllers compute alike, without sorting the whole fleet for each key. Plain data without
/// decisions.
///
/// The owner of a key keeps its Homes: the invokers up to some rank. find() updates them from a log of changes of the
/// index. It searches all hashes again only if more invokers are needed or if the log no longer contains all changes
/// since the last update.
#pragma once

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <deque>
#include <vector>

namespace plumkeel {

struct Invoker;

/// The rank of an invoker for a key; lower ranks come first. Ranks are exponential variates with rate `weight`, so the
/// share of keys for which an invoker comes first is proportional to its weight.
double placement_rank(std::uint64_t key, std::uint64_t invoker_hash, double weight);

class PlacementIndex {
public:
    struct RankedInvoker {
        double rank{};
        Invoker* invoker{};
    };
    /// What the owner of a key keeps: all listed invokers with a rank of at most `max_rank`, in order of rank.
    struct Homes {
        std::vector<RankedInvoker> ranked;
        double max_rank = -1;
        std::uint64_t version{};  ///< version of the index when `ranked` was last updated; 0 before the first find()
    };

    /// Adds an invoker or changes its weight, which must be greater than 0.
    void put(Invoker& invoker, std::uint64_t hash, double weight);
    void remove(Invoker& invoker);
    std::size_t size() const { return entries_.size(); }

    /// Updates `homes` and returns its ranked invokers: at least `count` of them, or all that are listed.
    const std::vector<RankedInvoker>& find(std::uint64_t key, Homes& homes, std::size_t count);

    /// Number of ranks computed over the index's life.
    std::uint64_t ranks_computed() const { return ranks_computed_; }

private:
    struct Entry {
        std::uint64_t hash{};
        double weight{};
    };
    struct Change {
        Invoker* invoker{};
        Entry entry;
        bool is_listed{};  ///< whether the change added `entry`; else it removed `entry`
    };
    void append_change(const Change& change);
    bool apply_missed_changes(std::uint64_t key, Homes& homes);
    void search(std::uint64_t key, Homes& homes, std::size_t count);
    void collect_up_to_max_rank(std::uint64_t key, Homes& homes);
    std::size_t next_candidate_position(std::uint64_t key, std::size_t start, double max_rank) const;
    static void shorten(Homes& homes, std::size_t count);

    std::vector<Entry> entries_;
    std::vector<Invoker*> invokers_;  ///< the invoker of each entry in `entries_`
    boost::unordered_flat_map<const Invoker*, std::uint32_t> positions_;
    double total_weight_{};  ///< sum of the weights of all entries
    std::deque<Change> changes_;
    std::uint64_t version_ = 1;  ///< increases by 1 with each change of the index
    std::uint64_t ranks_computed_{};
};

}  // namespace plumkeel
