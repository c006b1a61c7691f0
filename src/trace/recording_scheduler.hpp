/// \file
/// A Scheduler whose calls and results are passed on as trace records.
#pragma once

#include <functional>
#include <unordered_map>

#include "scheduler/scheduler.hpp"
#include "trace/records.hpp"

namespace plumkeel::trace {

using RecordCallback = std::function<void(const Record&)>;

/// Wraps a Scheduler. Each call is passed to the callback as a record, followed by records of its results. Without a
/// callback, calls are only forwarded.
class RecordingScheduler {
public:
    /// `request_classes` and `tenants` are the objects that requests point to, in the order of `scheduler_settings`.
    /// With `record_candidates`, transition records also contain the invokers that the scheduler considered.
    RecordingScheduler(SchedulerSettings scheduler_settings, std::vector<const RequestClass*> request_classes,
                       std::vector<const Tenant*> tenants, RecordCallback callback, bool record_candidates = false);

    Actions submit(Time now, Request& request);
    Actions response_started(Time now, Attempt& attempt);
    Actions attempt_ended(Time now, Attempt& attempt, AttemptOutcome outcome, LoadEvent load_event,
                          int concurrent_requests, const LoadReport& report);
    Actions client_disconnected(Time now, Request& request);
    Actions endpoints_changed(Time now, const std::vector<Invoker*>& changed, bool complete);
    /// Recorded as a complete list of the remaining endpoints, which has the same effect. `remaining` returns them; it
    /// is called only if there is a callback.
    Actions endpoints_removed(Time now, const std::vector<Invoker*>& removed,
                              const std::function<std::vector<Invoker*>()>& remaining);
    Actions endpoint_stream_lost(Time now);
    Actions health_check_ended(Time now, Invoker& invoker, bool answered, const LoadReport& report);
    Actions preload_ended(Time now, Function& function, Invoker& invoker, AttemptOutcome outcome, int copies);
    Actions wake(Time now);
    std::size_t parked_count() const { return scheduler_.parked_count(); }

private:
    void record_endpoints(Time now, const std::vector<Invoker*>& endpoints, bool complete);
    /// Returns the number of a function; a new function gets a number and a function_defined record.
    std::uint64_t number_of(const Function& function, Time now);
    /// Returns the number of an invoker; a new invoker gets a number and an invoker_defined record.
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
    // Reused for all records, to avoid memory allocations.
    Record record_;
    ActionsRecord actions_record_;
    TransitionRecord transition_record_;
};

}  // namespace plumkeel::trace
