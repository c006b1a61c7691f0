#include "trace/recording_scheduler.hpp"

#include "trace/action_records.hpp"

namespace plumkeel::trace {

RecordingScheduler::RecordingScheduler(SchedulerSettings scheduler_settings,
                                       std::vector<const RequestClass*> request_classes,
                                       std::vector<const Tenant*> tenants, RecordCallback callback,
                                       bool record_candidates)
    : scheduler_(scheduler_settings.seed, scheduler_settings.rules, scheduler_settings.capabilities),
      callback_(std::move(callback)) {
    for (const RequestClass* each : request_classes)
        request_class_numbers_.emplace(each, request_class_numbers_.size());
    for (const Tenant* each : tenants) tenant_numbers_.emplace(each, tenant_numbers_.size());
    if (!callback_) return;
    scheduler_.set_trace_detail(record_candidates ? TraceDetail::candidates : TraceDetail::transitions);
    record(Time{}, RecordType::settings, 0, scheduler_settings);
}

template <class T>
void RecordingScheduler::record(Time now, RecordType type, std::uint64_t request, const T& contents) {
    pack_into(record_.body, contents);
    record_.at = now;
    record_.type = type;
    record_.request = request;
    callback_(record_);
}

void RecordingScheduler::record(Time now, RecordType type, std::uint64_t request) {
    record_ = {now, type, request, ""};
    callback_(record_);
}

std::uint64_t RecordingScheduler::number_of(const Function& function, Time now) {
    const auto [it, is_new] = function_numbers_.try_emplace(&function, next_function_number_);
    if (is_new) record(now, RecordType::function_defined, 0, NameRecord{next_function_number_++, function.name});
    return it->second;
}

std::uint64_t RecordingScheduler::number_of(const Invoker& invoker, Time now) {
    const auto [it, is_new] = invoker_numbers_.try_emplace(&invoker, next_invoker_number_);
    if (is_new) record(now, RecordType::invoker_defined, 0, NameRecord{next_invoker_number_++, invoker.name});
    return it->second;
}

Actions RecordingScheduler::record_results(Time now, std::uint64_t request, Actions actions) {
    if (!callback_) return actions;
    const auto function_number = [&](const Function& function) { return number_of(function, now); };
    const auto invoker_number = [&](const Invoker& invoker) { return number_of(invoker, now); };
    assign(actions_record_, actions, function_number, invoker_number);
    record(now, RecordType::actions, request, actions_record_);
    for (const StateTransition& each : actions.transitions) {
        assign(transition_record_, each, invoker_number);
        record(now, RecordType::transition, each.request->id, transition_record_);
    }
    for (const Function* each : actions.released_functions) {
        const auto it = function_numbers_.find(each);
        record(now, RecordType::function_released, 0, FunctionReleased{it->second});
        function_numbers_.erase(it);
    }
    for (const Invoker* each : actions.released_invokers) invoker_numbers_.erase(each);
    return actions;
}

Actions RecordingScheduler::submit(Time now, Request& request) {
    if (callback_) {
        const Function& function = *request.function;
        RequestSubmitted submitted;
        submitted.request_class = request_class_numbers_.at(request.request_class);
        submitted.tenant = request.tenant ? 1 + tenant_numbers_.at(request.tenant) : 0;
        submitted.function = number_of(function, now);
        submitted.concurrency = function.concurrency;
        submitted.declared_load_time = function.declared_load_time;
        submitted.remaining = request.remaining;
        submitted.is_client_retry = request.is_client_retry;
        record(now, RecordType::submit, request.id, submitted);
    }
    const std::uint64_t id = request.id;
    return record_results(now, id, scheduler_.submit(now, request));
}

Actions RecordingScheduler::response_started(Time now, Attempt& attempt) {
    const std::uint64_t id = attempt.request->id;
    if (callback_)
        record(now, RecordType::response_started, id, ResponseStarted{static_cast<std::uint64_t>(attempt.number)});
    return record_results(now, id, scheduler_.response_started(now, attempt));
}

Actions RecordingScheduler::attempt_ended(Time now, Attempt& attempt, AttemptOutcome outcome, LoadEvent load_event,
                                          int concurrent_requests, const LoadReport& report) {
    const std::uint64_t id = attempt.request->id;
    if (callback_)
        record(
            now, RecordType::attempt_ended, id,
            AttemptEnded{static_cast<std::uint64_t>(attempt.number), outcome, load_event, concurrent_requests, report});
    return record_results(now, id,
                          scheduler_.attempt_ended(now, attempt, outcome, load_event, concurrent_requests, report));
}

Actions RecordingScheduler::client_disconnected(Time now, Request& request) {
    const std::uint64_t id = request.id;
    if (callback_) record(now, RecordType::client_disconnected, id);
    return record_results(now, id, scheduler_.client_disconnected(now, request));
}

void RecordingScheduler::record_endpoints(Time now, const std::vector<Invoker*>& endpoints, bool complete) {
    EndpointsChanged list{complete, 0, {}};
    for (const Invoker* each : endpoints) {
        EndpointRecord endpoint;
        endpoint.invoker = number_of(*each, now);
        endpoint.ready = each->ready;
        endpoint.capacity = each->capacity;
        endpoint.zone = each->zone;
        endpoint.type = invoker_type_numbers_.try_emplace(each->type, invoker_type_numbers_.size()).first->second;
        endpoint.cell = each->cell;
        endpoint.started_at = each->started_at;
        list.changed.push_back(std::move(endpoint));
    }
    record(now, RecordType::endpoints_changed, 0, list);
}

Actions RecordingScheduler::endpoints_changed(Time now, const std::vector<Invoker*>& changed, bool complete) {
    if (callback_) record_endpoints(now, changed, complete);
    return record_results(now, 0, scheduler_.endpoints_changed(now, changed, complete));
}

Actions RecordingScheduler::endpoints_removed(Time now, const std::vector<Invoker*>& removed,
                                              const std::function<std::vector<Invoker*>()>& remaining) {
    if (callback_) record_endpoints(now, remaining(), true);
    return record_results(now, 0, scheduler_.endpoints_removed(now, removed));
}

Actions RecordingScheduler::endpoint_stream_lost(Time now) {
    if (callback_) record(now, RecordType::endpoint_stream_lost, 0);
    return record_results(now, 0, scheduler_.endpoint_stream_lost(now));
}

Actions RecordingScheduler::health_check_ended(Time now, Invoker& invoker, bool answered, const LoadReport& report) {
    if (callback_)
        record(now, RecordType::health_check_ended, 0, HealthCheckEnded{number_of(invoker, now), answered, report});
    return record_results(now, 0, scheduler_.health_check_ended(now, invoker, answered, report));
}

Actions RecordingScheduler::preload_ended(Time now, Function& function, Invoker& invoker, AttemptOutcome outcome,
                                          int copies) {
    if (callback_) {
        const PreloadEnded ended{number_of(function, now), number_of(invoker, now), outcome, copies};
        record(now, RecordType::preload_ended, 0, ended);
    }
    return record_results(now, 0, scheduler_.preload_ended(now, function, invoker, outcome, copies));
}

Actions RecordingScheduler::wake(Time now) {
    if (callback_) record(now, RecordType::wake, 0);
    return record_results(now, 0, scheduler_.wake(now));
}

}  // namespace plumkeel::trace
