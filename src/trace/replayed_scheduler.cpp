#include "trace/replayed_scheduler.hpp"

namespace plumkeel::trace {

Replayer::ReplayedScheduler::ReplayedScheduler(const SchedulerSettings& scheduler_settings, TraceDetail detail)
    : scheduler_(scheduler_settings.seed, scheduler_settings.rules, scheduler_settings.capabilities),
      tenants_(scheduler_settings.tenants.size()) {
    for (const auto& [name, request_class] : scheduler_settings.request_classes)
        request_classes_.push_back(request_class);
    for (std::size_t i = 0; i < tenants_.size(); ++i) tenants_[i].quota_per_s = scheduler_settings.tenants[i].second;
    if (detail != TraceDetail::none) scheduler_.set_trace_detail(detail);
}

std::string Replayer::ReplayedScheduler::invoker_name(std::uint64_t number) const {
    const auto it = invokers_.find(number);
    return it == invokers_.end() ? "#" + std::to_string(number) : it->second->name;
}

Invoker& Replayer::ReplayedScheduler::find_listed_invoker(std::uint64_t number) {
    const auto it = invokers_.find(number);
    if (it == invokers_.end() || !it->second->type)
        throw TraceError("a record refers to an invoker that no earlier endpoint list contains");
    return *it->second;
}

Function& Replayer::ReplayedScheduler::find_function(std::uint64_t number) {
    const auto it = functions_.find(number);
    if (it == functions_.end()) throw TraceError("a record refers to a function number that no earlier record defines");
    return *it->second;
}

Attempt* Replayer::ReplayedScheduler::find_in_flight_attempt(std::uint64_t request, std::uint64_t number) {
    const auto it = requests_.find(request);
    if (it == requests_.end() || number >= it->second->attempts.size()) return nullptr;
    Attempt& attempt = it->second->attempts[number];
    return attempt.in_flight ? &attempt : nullptr;
}

bool Replayer::ReplayedScheduler::consume_non_call(const Record& record) {
    // Later files of a trace repeat the names defined in earlier files.
    if (record.type == RecordType::function_defined) {
        const auto name_record = unpack<NameRecord>(record.body);
        auto& function = functions_[name_record.number];
        if (function) return true;
        function = std::make_unique<Function>();
        function->name = name_record.name;
        function_numbers_[function.get()] = name_record.number;
        return true;
    }
    if (record.type == RecordType::invoker_defined) {
        const auto name_record = unpack<NameRecord>(record.body);
        auto& invoker = invokers_[name_record.number];
        if (invoker) return true;
        invoker = std::make_unique<Invoker>();
        invoker->name = name_record.name;
        invoker_numbers_[invoker.get()] = name_record.number;
        return true;
    }
    return record.type == RecordType::function_released || record.type == RecordType::transition;
}

Actions Replayer::ReplayedScheduler::submit(Time call_time, std::uint64_t id, const RequestSubmitted& submitted) {
    if (submitted.request_class >= request_classes_.size() || submitted.tenant > tenants_.size())
        throw TraceError("a record refers to a request class or tenant that the settings do not define");
    auto owned_request = std::make_unique<Request>();
    Request& request = *owned_request;
    request.id = id;
    request.request_class = &request_classes_[submitted.request_class];
    if (submitted.tenant) request.tenant = &tenants_[submitted.tenant - 1];
    request.function = &find_function(submitted.function);
    request.function->concurrency = submitted.concurrency;
    if (submitted.declared_load_time) request.function->declared_load_time = submitted.declared_load_time;
    request.remaining = submitted.remaining;
    request.is_client_retry = submitted.is_client_retry;
    if (!requests_.try_emplace(id, std::move(owned_request)).second)
        throw TraceError("two submit records have the same request number");
    return scheduler_.submit(call_time, request);
}

Actions Replayer::ReplayedScheduler::replay_endpoints_changed(Time call_time, const EndpointsChanged& list) {
    std::vector<Invoker*> changed;
    for (const EndpointRecord& endpoint : list.changed) {
        const auto it = invokers_.find(endpoint.invoker);
        if (it == invokers_.end())
            throw TraceError("an endpoint list contains an invoker number that no earlier record defines");
        Invoker& invoker = *it->second;
        invoker.ready = endpoint.ready;
        invoker.capacity = endpoint.capacity;
        invoker.zone = endpoint.zone;
        invoker.type = &invoker_types_[endpoint.type];
        invoker.cell = endpoint.cell;
        invoker.started_at = endpoint.started_at;
        changed.push_back(&invoker);
    }
    return scheduler_.endpoints_changed(call_time, changed, list.complete);
}

std::optional<Actions> Replayer::ReplayedScheduler::replay_attempt_ended(const Record& record) {
    const auto ended = unpack<AttemptEnded>(record.body);
    Attempt* attempt = find_in_flight_attempt(record.request, ended.attempt);
    if (!attempt) return {};
    return scheduler_.attempt_ended(record.at, *attempt, ended.outcome, ended.load_event, ended.concurrent_requests,
                                    ended.report);
}

std::optional<Actions> Replayer::ReplayedScheduler::replay_preload_ended(const Record& record) {
    const auto ended = unpack<PreloadEnded>(record.body);
    const auto function = functions_.find(ended.function);
    if (function == functions_.end()) return {};
    return scheduler_.preload_ended(record.at, *function->second, find_listed_invoker(ended.invoker), ended.outcome,
                                    ended.copies);
}

std::optional<Actions> Replayer::ReplayedScheduler::call(const Record& record) {
    const Time call_time = record.at;
    switch (record.type) {
        case RecordType::submit:
            return submit(call_time, record.request, unpack<RequestSubmitted>(record.body));
        case RecordType::response_started: {
            Attempt* attempt = find_in_flight_attempt(record.request, unpack<ResponseStarted>(record.body).attempt);
            if (!attempt) return {};
            return scheduler_.response_started(call_time, *attempt);
        }
        case RecordType::attempt_ended:
            return replay_attempt_ended(record);
        case RecordType::client_disconnected: {
            const auto request = requests_.find(record.request);
            if (request == requests_.end()) return {};
            return scheduler_.client_disconnected(call_time, *request->second);
        }
        case RecordType::endpoints_changed:
            return replay_endpoints_changed(call_time, unpack<EndpointsChanged>(record.body));
        case RecordType::endpoint_stream_lost:
            return scheduler_.endpoint_stream_lost(call_time);
        case RecordType::health_check_ended: {
            const auto ended = unpack<HealthCheckEnded>(record.body);
            return scheduler_.health_check_ended(call_time, find_listed_invoker(ended.invoker), ended.answered,
                                                 ended.report);
        }
        case RecordType::preload_ended:
            return replay_preload_ended(record);
        case RecordType::wake:
            return scheduler_.wake(call_time);
        default:
            return {};
    }
}

void Replayer::ReplayedScheduler::release(const Actions& actions, std::uint64_t request) {
    std::vector<std::uint64_t> ids;
    for (const Request* completed : actions.completed) ids.push_back(completed->id);
    if (request) ids.push_back(request);
    for (const std::uint64_t id : ids)
        if (const auto it = requests_.find(id); it != requests_.end() && it->second->is_settled()) requests_.erase(it);
    for (const Function* function : actions.released_functions) {
        const auto it = function_numbers_.find(function);
        const std::uint64_t number = it->second;
        function_numbers_.erase(it);
        functions_.erase(number);
    }
}

}  // namespace plumkeel::trace
