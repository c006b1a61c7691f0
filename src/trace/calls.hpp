// The calls into the decision module as records: what it was told, and what it answered. A Watched controller
// writes them as they happen; Again feeds them to a fresh Controller and compares every answer.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include "dispatch/controller.hpp"
#include "trace/told.hpp"

namespace plumkeel::trace {

using Recorded = std::function<void(const Record&)>;

// A Controller with the same calls, each told to `recorded` with its answer. With none it costs one branch.
class Watched {
public:
    // Use cases and tenants by their objects, numbered as in `start`. `reasons`: with the invokers weighed for each
    // job, else with the reason in a word.
    Watched(Start start, std::vector<const UseCase*> use_cases, std::vector<const Tenant*> tenants, Recorded recorded,
            bool reasons = false);

    Results take(Time now, Job& job);
    Results hop_accepted(Time now, Hop& hop);
    Results hop_ended(Time now, Hop& hop, Ending ending, Note note, int company, const Report& report);
    Results client_left(Time now, Job& job);
    Results fleet_changed(Time now, const std::vector<Invoker*>& changed, bool complete);
    // Recorded as the whole list without them, which means the same.
    Results fleet_left(Time now, const std::vector<Invoker*>& gone, const std::function<std::vector<Invoker*>()>& still_listed);
    Results list_broke(Time now);
    Results probe_answered(Time now, Invoker& invoker, bool came, const Report& report);
    Results load_answered(Time now, Function& function, Invoker& invoker, Ending ending, int copies);
    Results wake(Time now);
    std::size_t parked() const { return controller_.parked(); }

private:
    void record_list(Time now, const std::vector<Invoker*>& told, bool complete);
    std::uint64_t number_of(const Function& function, Time now);
    std::uint64_t number_of(const Invoker& invoker, Time now);
    template <class T>
    void record(Time now, Told kind, std::uint64_t job, const T& told);
    void record(Time now, Told kind, std::uint64_t job);
    Results tell(Time now, std::uint64_t job, Results results);

    Controller controller_;
    Recorded recorded_;
    std::unordered_map<const UseCase*, std::uint64_t> use_cases_;
    std::unordered_map<const Tenant*, std::uint64_t> tenants_;
    std::unordered_map<const Function*, std::uint64_t> functions_;
    std::unordered_map<const Invoker*, std::uint64_t> invokers_;
    std::unordered_map<const Kind*, std::uint64_t> kinds_;  // told apart by their objects alone
    std::uint64_t functions_known_{}, invokers_known_{};
    // Used again for each record, so that recording allocates nothing.
    Record record_;
    Answer answer_;
    TurnedTo turned_;
};

struct Difference {
    std::uint64_t call{};  // its number in the trace
    Record told;           // the call
    std::string then, now; // the answers, in words
};

struct Comparison {
    std::uint64_t calls{}, jobs{};
    std::optional<Difference> first;
    std::uint64_t different_calls{}, different_jobs{};  // jobs that went elsewhere or were answered otherwise
    // The first of these jobs with their ways then and now: hops and outcome.
    std::map<std::uint64_t, std::pair<std::string, std::string>> elsewhere;
};

// Decides a trace again. `change` may alter what the controller is given at its start. After the first
// difference the recorded ends of hops may no longer fit: what can't be told to the fresh controller any more is
// left out, and the jobs' ways are compared all the same.
class Again {
public:
    // `reasons` is told every job's change of state by the fresh controller, with all that was weighed.
    explicit Again(std::function<void(Start&)> change = {}, Recorded reasons = {});
    ~Again();
    // Throws Fault where the trace, or this part of it, can't be decided again.
    void feed(const Record& record);
    Comparison compare();

private:
    struct State;
    std::unique_ptr<State> state_;
};

// An answer in words, for a person.
std::string words_of(const Answer& answer);

}  // namespace plumkeel::trace
