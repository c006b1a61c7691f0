/// \file
/// A Scheduler whose calls and results are recorded.
#pragma once

#include <functional>
#include <unordered_map>

#include "scheduler/scheduler.hpp"
#include "trace/records.hpp"

namespace plumkeel::trace {

using RecordCallback = std::function<void(const Record&)>;

/// A Scheduler with the same calls. Each call is passed to the callback as a record, followed by records of what came
/// of it. Without a callback it costs one branch a call.
class RecordingScheduler {
public:
    /// Request classes and tenants are identified by their objects, in the order of `start`. With `record_candidates`
    /// the transitions hold the invokers that were considered, else only the reason.
    RecordingScheduler(SchedulerSettings start, std::vector<const RequestClass*> request_classes,
                       std::vector<const Tenant*> tenants, RecordCallback callback, bool record_candidates = false);

    Actions submit(Time now, Request& request);
    Actions response_started(Time now, Attempt& attempt);
    Actions attempt_ended(Time now, Attempt& attempt, AttemptOutcome outcome, LoadEvent load_event,
                          int concurrent_requests, const LoadReport& report);
    Actions client_disconnected(Time now, Request& request);
    Actions endpoints_changed(Time now, const std::vector<Invoker*>& changed, bool complete);
    /// Recorded as a complete list without the removed endpoints, which means the same. `remaining` is called only if
    /// there is a callback.
    Actions endpoints_removed(Time now, const std::vector<Invoker*>& removed,
                              const std::function<std::vector<Invoker*>()>& remaining);
    Actions endpoint_stream_lost(Time now);
    Actions health_check_ended(Time now, Invoker& invoker, bool answered, const LoadReport& report);
    Actions preload_ended(Time now, Function& function, Invoker& invoker, AttemptOutcome outcome, int copies);
    Actions wake(Time now);
    std::size_t parked_count() const { return scheduler_.parked_count(); }

private:
    void record_endpoints(Time now, const std::vector<Invoker*>& endpoints, bool complete);
    /// Introduces the function or invoker with a record if it has no number yet.
    std::uint64_t number_of(const Function& function, Time now);
    std::uint64_t number_of(const Invoker& invoker, Time now);
    template <class T>
    void record(Time now, RecordType type, std::uint64_t request, const T& contents);
    void record(Time now, RecordType type, std::uint64_t request);
    Actions record_results(Time now, std::uint64_t request, Actions actions);

    Scheduler scheduler_;
    RecordCallback callback_;
    std::unordered_map<const RequestClass*, std::uint64_t> request_class_numbers_;
    std::unordered_map<const Tenant*, std::uint64_t> tenant_numbers_;
    std::unordered_map<const Function*, std::uint64_t> function_numbers_;
    std::unordered_map<const Invoker*, std::uint64_t> invoker_numbers_;
    std::unordered_map<const InvokerType*, std::uint64_t> invoker_type_numbers_;
    std::uint64_t next_function_number_{}, next_invoker_number_{};
    // Reused for each record, so that recording does not allocate.
    Record record_;
    ActionsRecord actions_record_;
    TransitionRecord transition_record_;
};

}  // namespace plumkeel::trace
