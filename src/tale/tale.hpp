// What a job met, put together from its records: when it was taken, its hops, its changes of state and why, how
// it ended. Pure.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

#include "tale/names.hpp"

namespace plumkeel::tale {

struct HopTale {
    std::uint64_t number{};
    std::string invoker;
    Time sent{};
    std::optional<Time> ended;
    Ending ending{};
    Note note{};
    bool loads{}, warm{};
};

struct TurnTale {
    Time at{};
    trace::TurnedTo told;
};

struct Tale {
    std::uint64_t job{};
    bool begun{};  // false: taken before the trace began, or in a gap; then the next fields are not known
    Time taken{};
    std::string use_case, tenant, function;
    Time promised{}, expires{};  // spans from `taken`; promised is 0 where the use case is not known
    bool again{};
    std::vector<HopTale> hops;
    std::vector<TurnTale> turns;
    std::optional<JobState> outcome;
    Time ended{};  // its outcome's, else that of the last that is known

    bool late() const { return promised > Time{} && ended - taken > promised; }
    bool badly() const { return outcome != JobState::honoured || late(); }
    Time took() const { return ended - taken; }
    Time parked() const;  // for how long, in all
    std::string outcome_word() const;  // "honoured", "late" and so on; "unfinished" where the trace ends before it
};

// Feed it all records of one trace in order; tells each tale when its job is closed.
class Tales {
public:
    using Each = std::function<void(const Tale&)>;
    // At most `most_open` jobs at once; past them the oldest is told as it is then.
    // `all_names`: as Names has it.
    explicit Tales(Each each, bool all_names = false, std::size_t most_open = 1'000'000);

    void feed(const Record& record);
    void finish();  // tells those that are still open
    const Names& names() const { return names_; }
    // The longest that any client so far meant to wait.
    Time longest() const { return longest_; }

private:
    struct Open {
        Tale tale;
        std::uint64_t order{};
        int out{};
    };
    Open& open(const Record& record);
    void tell(std::uint64_t job);
    void turned(Open& open, const Record& record);

    Each each_;
    const std::size_t most_open_;
    Names names_;
    std::unordered_map<std::uint64_t, Open> open_;
    std::map<std::uint64_t, std::uint64_t> by_age_;
    std::uint64_t known_{};
    Time longest_{};
};

// Which jobs are meant; what is not set does not matter.
struct Filter {
    std::optional<Time> from, to;  // taken at or after, and before
    std::string use_case, tenant, function, invoker;  // invoker: any of its hops went there
    std::string outcome;  // as outcome_word(), or "badly" for all but those honoured in time

    bool fits(const Tale& tale) const;
    // Throws Fault where the outcome is no such word.
    void check() const;
};

}  // namespace plumkeel::tale
