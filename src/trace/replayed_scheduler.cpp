#include "trace/replayed_scheduler.hpp"

namespace plumkeel::trace {

Replayer::ReplayedScheduler::ReplayedScheduler(const SchedulerSettings& start, TraceDetail detail)
    : scheduler_(start.seed, start.rules, start.capabilities), tenants_(start.tenants.size()) {
    for (const auto& [name, request_class] : start.request_classes) request_classes_.push_back(request_class);
    for (std::size_t i = 0; i < tenants_.size(); ++i) tenants_[i].quota_per_s = start.tenants[i].second;
    if (detail != TraceDetail::none) scheduler_.set_trace_detail(detail);
}

std::string Replayer::ReplayedScheduler::name_of_invoker(std::uint64_t number) const {
    const auto it = invokers_.find(number);
    return it == invokers_.end() ? "#" + std::to_string(number) : it->second->name;
}

Invoker& Replayer::ReplayedScheduler::listed_invoker(std::uint64_t number) {
    const auto it = invokers_.find(number);
    if (it == invokers_.end() || !it->second->type)
        throw TraceError("a record refers to an invoker that was never listed");
    return *it->second;
}

Function& Replayer::ReplayedScheduler::known_function(std::uint64_t number) {
    const auto it = functions_.find(number);
    if (it == functions_.end()) throw TraceError("a record refers to an unknown function");
    return *it->second;
}

Attempt* Replayer::ReplayedScheduler::attempt_in_flight(std::uint64_t request, std::uint64_t number) {
    const auto it = requests_.find(request);
    if (it == requests_.end() || number >= it->second->attempts.size()) return nullptr;
    Attempt& attempt = it->second->attempts[number];
    return attempt.in_flight ? &attempt : nullptr;
}

bool Replayer::ReplayedScheduler::take_non_call(const Record& record) {
    // A later file of the trace repeats the names that are known.
    if (record.type == RecordType::function_known) {
        const auto known = unpack<NameRecord>(record.body);
        auto& function = functions_[known.number];
        if (function) return true;
        function = std::make_unique<Function>();
        function->name = known.name;
        function_numbers_[function.get()] = known.number;
        return true;
    }
    if (record.type == RecordType::invoker_known) {
        const auto known = unpack<NameRecord>(record.body);
        auto& invoker = invokers_[known.number];
        if (invoker) return true;
        invoker = std::make_unique<Invoker>();
        invoker->name = known.name;
        invoker_numbers_[invoker.get()] = known.number;
        return true;
    }
    return record.type == RecordType::function_released || record.type == RecordType::transition;
}

Actions Replayer::ReplayedScheduler::submit(Time at, std::uint64_t id, const RequestSubmitted& submitted) {
    if (submitted.request_class >= request_classes_.size() || submitted.tenant > tenants_.size())
        throw TraceError("a record refers to a request class or tenant that the settings do not define");
    auto owned = std::make_unique<Request>();
    Request& request = *owned;
    request.id = id;
    request.request_class = &request_classes_[submitted.request_class];
    if (submitted.tenant) request.tenant = &tenants_[submitted.tenant - 1];
    request.function = &known_function(submitted.function);
    request.function->concurrency = submitted.concurrency;
    if (submitted.declared_load_time) request.function->declared_load_time = submitted.declared_load_time;
    request.remaining = submitted.remaining;
    request.is_client_retry = submitted.is_client_retry;
    if (!requests_.try_emplace(id, std::move(owned)).second) throw TraceError("a request is submitted twice");
    return scheduler_.submit(at, request);
}

Actions Replayer::ReplayedScheduler::change_endpoints(Time at, const EndpointsChanged& list) {
    std::vector<Invoker*> changed;
    for (const EndpointRecord& endpoint : list.changed) {
        const auto it = invokers_.find(endpoint.invoker);
        if (it == invokers_.end()) throw TraceError("a record lists an unknown invoker");
        Invoker& invoker = *it->second;
        invoker.ready = endpoint.ready;
        invoker.capacity = endpoint.capacity;
        invoker.zone = endpoint.zone;
        invoker.type = &invoker_types_[endpoint.type];
        invoker.cell = endpoint.cell;
        invoker.started_at = endpoint.started_at;
        changed.push_back(&invoker);
    }
    return scheduler_.endpoints_changed(at, changed, list.complete);
}

std::optional<Actions> Replayer::ReplayedScheduler::end_attempt(const Record& record) {
    const auto ended = unpack<AttemptEnded>(record.body);
    Attempt* attempt = attempt_in_flight(record.request, ended.attempt);
    if (!attempt) return {};
    return scheduler_.attempt_ended(record.at, *attempt, ended.outcome, ended.load_event, ended.concurrent_requests,
                                    ended.report);
}

std::optional<Actions> Replayer::ReplayedScheduler::end_preload(const Record& record) {
    const auto ended = unpack<PreloadEnded>(record.body);
    const auto function = functions_.find(ended.function);
    if (function == functions_.end()) return {};
    return scheduler_.preload_ended(record.at, *function->second, listed_invoker(ended.invoker), ended.outcome,
                                    ended.copies);
}

std::optional<Actions> Replayer::ReplayedScheduler::call(const Record& record) {
    const Time at = record.at;
    switch (record.type) {
        case RecordType::submit:
            return submit(at, record.request, unpack<RequestSubmitted>(record.body));
        case RecordType::response_started: {
            Attempt* attempt = attempt_in_flight(record.request, unpack<ResponseStarted>(record.body).attempt);
            if (!attempt) return {};
            return scheduler_.response_started(at, *attempt);
        }
        case RecordType::attempt_ended:
            return end_attempt(record);
        case RecordType::client_disconnected: {
            const auto request = requests_.find(record.request);
            if (request == requests_.end()) return {};
            return scheduler_.client_disconnected(at, *request->second);
        }
        case RecordType::endpoints_changed:
            return change_endpoints(at, unpack<EndpointsChanged>(record.body));
        case RecordType::endpoint_stream_lost:
            return scheduler_.endpoint_stream_lost(at);
        case RecordType::health_check_ended: {
            const auto ended = unpack<HealthCheckEnded>(record.body);
            return scheduler_.health_check_ended(at, listed_invoker(ended.invoker), ended.answered, ended.report);
        }
        case RecordType::preload_ended:
            return end_preload(record);
        case RecordType::wake:
            return scheduler_.wake(at);
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
