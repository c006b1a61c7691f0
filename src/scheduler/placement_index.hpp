/// Weighted rendezvous hashing (highest random weight) over the listed invokers: for a key, the first of them in the
/// order that all controllers share, found without an order of the whole fleet for each key. Plain data; nothing is
/// decided here.
///
/// A key's owner keeps its Homes: the invokers up to a rank. They are brought up to date from a log of changes, at a
/// cost in step with the changes, and found anew by one pass over the hashes (16 bytes an invoker) only where more of
/// them are needed or the log no longer reaches back.
#pragma once

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <deque>
#include <vector>

namespace plumkeel {

struct Invoker;

/// A place in a key's order; less is earlier. An exponential variate of rate `weight`, so that the share of keys of
/// which an invoker is the first goes with its weight.
double placement_rank(std::uint64_t key, std::uint64_t invoker_hash, double weight);

class PlacementIndex {
public:
    struct Place {
        double rank{};
        Invoker* invoker{};
    };
    /// What the owner of a key keeps. `first` holds every listed invoker of at most rank `reach`, in order.
    struct Homes {
        std::vector<Place> first;
        double reach = -1;
        std::uint64_t version{};  ///< of the index that `first` agrees with; 0: none
    };

    /// Lists an invoker, or gives it another weight. `weight` has to be over 0.
    void put(Invoker& invoker, std::uint64_t hash, double weight);
    void remove(Invoker& invoker);
    std::size_t size() const { return entries_.size(); }

    /// Brings `homes` up to date. It holds at least `count` places then, or all that are listed.
    const std::vector<Place>& find(std::uint64_t key, Homes& homes, std::size_t count);

    std::uint64_t hashed() const { return hashed_; }  ///< invokers whose rank was computed, over the index's life

private:
    struct Entry {
        std::uint64_t hash{};
        double weight{};
    };
    struct Change {
        Invoker* invoker{};
        Entry entry;
        bool listed{};  // else it was removed, with that entry
    };
    void log(const Change& change);
    bool catch_up(std::uint64_t key, Homes& homes);
    void search(std::uint64_t key, Homes& homes, std::size_t count);
    void collect(std::uint64_t key, Homes& homes);
    std::size_t skip(std::uint64_t key, std::size_t from, double reach) const;
    static void trim(Homes& homes, std::size_t count);

    std::vector<Entry> entries_;
    std::vector<Invoker*> invokers_;  // beside entries_
    boost::unordered_flat_map<const Invoker*, std::uint32_t> positions_;
    double weights_{};  // the sum over all entries
    std::deque<Change> changes_;
    std::uint64_t version_ = 1;  // one more with each change; that of the last in changes_
    std::uint64_t hashed_{};
};

}  // namespace plumkeel
