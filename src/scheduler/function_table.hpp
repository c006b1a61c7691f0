/// The functions that a controller holds, ordered by recency of use, with sets of functions that need periodic work and
/// a schedule of reviews. Plain data without decisions.
///
/// Recency is that of a segmented LRU: functions called once and functions called repeatedly are kept in separate
/// lists, so that many functions called only once do not evict the others.
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

/// The table's own data in each function.
struct FunctionTableEntry {
    /// Functions are numbered from 1 in the order in which they were added.
    std::uint64_t number{};
    std::list<Function*>::iterator recency;
    bool called_repeatedly{};
    std::chrono::microseconds review_at = std::chrono::microseconds::max();
};

class FunctionTable {
public:
    using TimePoint = std::chrono::microseconds;
    using Number = std::uint64_t;

    /// Adds a function that was called once.
    void add(Function& function);
    void remove(Function& function);
    std::size_t size() const { return called_once_.size() + called_repeatedly_.size(); }
    /// Moves the function to the most recently used position of those called repeatedly.
    void record_repeated_call(Function& function);
    /// The least recently used function that was called once, if more than `max_called_once_kept` of these are held;
    /// else the least recently used one that was called repeatedly. If there is none of these, one that was called
    /// once; null if the table is empty.
    Function* eviction_candidate(std::size_t max_called_once_kept) const;
    /// Makes the function the most recently used of its list, without counting a call.
    void touch(Function& function);

    /// Schedules a review of the function at the given time, unless an earlier one is scheduled.
    void schedule_review(Function& function, TimePoint at);
    /// Removes and returns the functions whose review is due, in the order in which they were added.
    std::vector<Function*> take_due_reviews(TimePoint now);

    /// A set of functions, ordered by when they were added to the table.
    class Set {
    public:
        void set(Function& function, bool is_member);
        std::vector<Function*> members(std::size_t max_count = std::numeric_limits<std::size_t>::max()) const;

    private:
        std::map<Number, Function*> members_;
    };
    Set with_parked_requests;
    Set loading;     ///< functions with a load in progress
    Set replicated;  ///< functions with cached copies at several invokers

private:
    std::list<Function*> called_once_, called_repeatedly_;
    std::map<std::pair<TimePoint, Number>, Function*> reviews_;
    Number last_number_{};
};

}  // namespace plumkeel
