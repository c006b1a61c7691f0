// The functions that a controller holds: how recently each was called, and those few that wait, load, stand at several
// invokers or are due to be looked at. Plain data; nothing is decided here.
//
// Recency is that of a segmented LRU: functions called once stand apart from those called again, so that a flood of
// names that are called but once does not wash out the others.
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

// Kept by the table in each function.
struct FunctionTableEntry {
    std::uint64_t number{};  // in the order in which functions were met, from 1
    std::list<Function*>::iterator recency;
    bool called_again{};
    std::chrono::microseconds review_at = std::chrono::microseconds::max();
};

class FunctionTable {
public:
    using Moment = std::chrono::microseconds;
    using Number = std::uint64_t;

    // It counts as called once.
    void add(Function& function);
    void remove(Function& function);
    std::size_t size() const { return once_.size() + again_.size(); }
    void called_again(Function& function);
    // The least recently called of those called once, where these are over the stated number, else of the others; null
    // where there is none.
    Function* eviction_candidate(std::size_t once_at_most) const;
    // As if it had just been called: it is in use.
    void touch(Function& function);

    // Has its beliefs and disuse looked at no later than then.
    void schedule_review(Function& function, Moment at);
    // Takes those due from the list of checks; in the order in which they were met.
    std::vector<Function*> take_due_reviews(Moment now);

    // Small sets, in the order in which functions were met.
    class Set {
    public:
        void set(Function& function, bool is_member);
        std::vector<Function*> members(std::size_t at_most = std::numeric_limits<std::size_t>::max()) const;

    private:
        std::map<Number, Function*> members_;
    };
    Set with_parked;  // their clock for parked requests runs
    Set loading;      // their one load is out
    Set replicated;   // with beliefs of several invokers

private:
    std::list<Function*> once_, again_;
    std::map<std::pair<Moment, Number>, Function*> reviews_;
    Number numbers_{};
};

}  // namespace plumkeel
