/// The functions that a controller holds: how recently each was called, and the few that have parked requests, load,
/// are warm at several invokers or are due for a review. Plain data; nothing is decided here.
///
/// Recency is that of a segmented LRU: functions called once are kept apart from those called again, so that a flood of
/// names that are called but once does not evict the others.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <list>
#include <map>
#include <utility>
#include <vector>

namespace plumkeel {

struct Function;

/// Kept by the table in each function.
struct FunctionTableEntry {
    std::uint64_t number{};  ///< in the order in which functions were added, from 1
    std::list<Function*>::iterator recency;
    bool called_again{};
    std::chrono::microseconds review_at = std::chrono::microseconds::max();
};

class FunctionTable {
public:
    using Moment = std::chrono::microseconds;
    using Number = std::uint64_t;

    /// It counts as called once.
    void add(Function& function);
    void remove(Function& function);
    std::size_t size() const { return once_.size() + again_.size(); }
    void called_again(Function& function);
    /// The least recently called of those called once, where these are over the stated number, else of the others; null
    /// where there is none.
    Function* eviction_candidate(std::size_t once_at_most) const;
    /// Makes it the most recently used, without counting a call.
    void touch(Function& function);

    /// Has it reviewed no later than then.
    void schedule_review(Function& function, Moment at);
    /// Removes those due from the schedule; in the order in which they were added.
    std::vector<Function*> take_due_reviews(Moment now);

    /// A small set, in the order in which functions were added.
    class Set {
    public:
        void set(Function& function, bool is_member);
        std::vector<Function*> members(std::size_t at_most = std::numeric_limits<std::size_t>::max()) const;

    private:
        std::map<Number, Function*> members_;
    };
    Set with_parked;  ///< the backoff of their parked requests runs
    Set loading;      ///< their one load is in progress
    Set replicated;   ///< with cached copies at several invokers

private:
    std::list<Function*> once_, again_;
    std::map<std::pair<Moment, Number>, Function*> reviews_;
    Number numbers_{};
};

}  // namespace plumkeel
