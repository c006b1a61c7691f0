// What a job met, put together from its records: when it was taken, its hops, its changes of state and why, how
// it ended. Pure.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

#include "trace_analysis/name_table.hpp"

namespace plumkeel::trace_analysis {

struct AttemptHistory {
    std::uint64_t number{};
    std::string invoker;
    Time sent_at{};
    std::optional<Time> ended_at;
    AttemptOutcome outcome{};
    LoadEvent load_event{};
    bool starts_load{}, warm{};
};

struct StateTransition {
    Time at{};
    trace::TransitionRecord transition;
};

struct RequestHistory {
    std::uint64_t request{};
    bool begun{};  // false: taken before the trace began, or in a gap; then the next fields are not known
    Time received_at{};
    std::string request_class, tenant, function;
    Time latency_target{}, deadline{};  // spans from `taken`; promised is 0 where the use case is not known
    bool is_client_retry{};
    std::vector<AttemptHistory> attempts;
    std::vector<StateTransition> transitions;
    std::optional<RequestState> outcome;
    Time ended_at{};  // its outcome's, else that of the last that is known

    bool is_late() const { return latency_target > Time{} && ended_at - received_at > latency_target; }
    bool ended_badly() const { return outcome != RequestState::succeeded || is_late(); }
    Time duration() const { return ended_at - received_at; }
    Time parked_time() const;          // for how long, in all
    std::string outcome_name() const;  // "honoured", "late" and so on; "unfinished" where the trace ends before it
};

// Feed it all records of one trace in order; tells each tale when its job is closed.
class HistoryBuilder {
public:
    using Each = std::function<void(const RequestHistory&)>;
    // At most `most_open` jobs at once; past them the oldest is told as it is then.
    // `all_names`: as Names has it.
    explicit HistoryBuilder(Each each, bool all_names = false, std::size_t most_open = 1'000'000);

    void feed(const Record& record);
    void finish();  // tells those that are still open
    const NameTable& names() const { return names_; }
    // The longest that any client so far meant to wait.
    Time max_remaining() const { return max_remaining_; }

private:
    struct Open {
        RequestHistory history;
        std::uint64_t order{};
        int out{};
    };
    Open& open(const Record& record);
    void emit(std::uint64_t request);
    void turned(Open& open, const Record& record);

    Each each_;
    const std::size_t most_open_;
    NameTable names_;
    std::unordered_map<std::uint64_t, Open> open_;
    std::map<std::uint64_t, std::uint64_t> by_age_;
    std::uint64_t known_{};
    Time max_remaining_{};
};

// Which jobs are meant; what is not set does not matter.
struct HistoryFilter {
    std::optional<Time> from, to;                          // taken at or after, and before
    std::string request_class, tenant, function, invoker;  // invoker: any of its hops went there
    std::string outcome;  // as outcome_word(), or "badly" for all but those honoured in time

    bool matches(const RequestHistory& history) const;
    // Throws Fault where the outcome is no such word.
    void check() const;
};

}  // namespace plumkeel::trace_analysis
