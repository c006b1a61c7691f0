// The calls into the decision module as records: what it was told, and what it answered. A Watched controller
// writes them as they happen; Again feeds them to a fresh Controller and compares every answer.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include "scheduler/scheduler.hpp"
#include "trace/records.hpp"

namespace plumkeel::trace {

using RecordCallback = std::function<void(const Record&)>;

// A Controller with the same calls, each told to `recorded` with its answer. With none it costs one branch.
class RecordingScheduler {
public:
    // Use cases and tenants by their objects, numbered as in `start`. `reasons`: with the invokers weighed for each
    // job, else with the reason in a word.
    RecordingScheduler(Start start, std::vector<const RequestClass*> request_classes,
                       std::vector<const Tenant*> tenants, RecordCallback recorded, bool reasons = false);

    Actions submit(Time now, Request& request);
    Actions response_started(Time now, Attempt& attempt);
    Actions attempt_ended(Time now, Attempt& attempt, AttemptOutcome ending, LoadEvent note, int concurrent_requests,
                          const LoadReport& report);
    Actions client_disconnected(Time now, Request& request);
    Actions endpoints_changed(Time now, const std::vector<Invoker*>& changed, bool complete);
    // Recorded as the whole list without them, which means the same.
    Actions endpoints_removed(Time now, const std::vector<Invoker*>& gone,
                              const std::function<std::vector<Invoker*>()>& still_listed);
    Actions endpoint_stream_lost(Time now);
    Actions health_check_ended(Time now, Invoker& invoker, bool came, const LoadReport& report);
    Actions preload_ended(Time now, Function& function, Invoker& invoker, AttemptOutcome ending, int copies);
    Actions wake(Time now);
    std::size_t parked_count() const { return scheduler_.parked_count(); }

private:
    void record_list(Time now, const std::vector<Invoker*>& told, bool complete);
    std::uint64_t number_of(const Function& function, Time now);
    std::uint64_t number_of(const Invoker& invoker, Time now);
    template <class T>
    void record(Time now, RecordType kind, std::uint64_t request, const T& told);
    void record(Time now, RecordType kind, std::uint64_t request);
    Actions tell(Time now, std::uint64_t request, Actions results);

    Scheduler scheduler_;
    RecordCallback recorded_;
    std::unordered_map<const RequestClass*, std::uint64_t> use_cases_;
    std::unordered_map<const Tenant*, std::uint64_t> tenants_;
    std::unordered_map<const Function*, std::uint64_t> functions_;
    std::unordered_map<const Invoker*, std::uint64_t> invokers_;
    std::unordered_map<const InvokerType*, std::uint64_t> kinds_;  // told apart by their objects alone
    std::uint64_t functions_known_{}, invokers_known_{};
    // Used again for each record, so that recording allocates nothing.
    Record record_;
    ActionsRecord answer_;
    TransitionRecord turned_;
};

struct Difference {
    std::uint64_t call{};            // its number in the trace
    Record record;                   // the call
    std::string recorded, replayed;  // the answers, in words
};

struct Comparison {
    std::uint64_t calls{}, requests{};
    std::optional<Difference> first;
    std::uint64_t different_calls{}, different_requests{};  // jobs that went elsewhere or were answered otherwise
    // The first of these jobs with their ways then and now: hops and outcome.
    std::map<std::uint64_t, std::pair<std::string, std::string>> diverged;
};

// Decides a trace again. `change` may alter what the controller is given at its start. After the first
// difference the recorded ends of hops may no longer fit: what can't be told to the fresh controller any more is
// left out, and the jobs' ways are compared all the same.
class Replayer {
public:
    // `reasons` is told every job's change of state by the fresh controller, with all that was weighed.
    explicit Replayer(std::function<void(Start&)> change = {}, RecordCallback reasons = {});
    ~Replayer();
    // Throws Fault where the trace, or this part of it, can't be decided again.
    void feed(const Record& record);
    Comparison compare();

private:
    struct State;
    std::unique_ptr<State> state_;
};

// An answer in words, for a person.
std::string describe(const ActionsRecord& answer);

}  // namespace plumkeel::trace
