#include "trace/recording_scheduler.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "trace/names.hpp"

namespace plumkeel::trace {
namespace {

constexpr std::size_t most_ways = 1'000'000;  // jobs that are followed after a difference; those past it are not told

// The same for the same answer, whoever's objects it points to.
template <class FunctionNumber, class InvokerNumber>
void fill(ActionsRecord& out, const Actions& r, FunctionNumber function, InvokerNumber invoker) {
    out.to_cancel.clear();
    out.completed.clear();
    out.to_send.clear();
    out.to_probe.clear();
    out.to_preload.clear();
    out.released_functions.clear();
    for (const Attempt* attempt : r.to_cancel)
        out.to_cancel.push_back({attempt->request->id, static_cast<std::uint64_t>(attempt->number)});
    for (const Request* request : r.completed)
        out.completed.push_back({request->id, request->state, request->retry_after});
    for (const Attempt* attempt : r.to_send)
        out.to_send.push_back({attempt->request->id, static_cast<std::uint64_t>(attempt->number),
                               invoker(*attempt->invoker), attempt->timeout});
    for (const Invoker* each : r.to_probe) out.to_probe.push_back(invoker(*each));
    for (const PreloadCommand& order : r.to_preload)
        out.to_preload.push_back({function(*order.function), invoker(*order.invoker), order.copies});
    for (const Function* each : r.released_functions) out.released_functions.push_back(function(*each));
    out.subscribe_endpoints = r.subscribe_endpoints;
    out.next_wake = r.next_wake;
}

Time span_of(double seconds) {
    return Time(static_cast<Time::rep>(std::clamp(seconds, 0.0, 1e6) * 1e6));
}

template <class InvokerNumber>
void fill(TransitionRecord& out, const StateTransition& t, InvokerNumber invoker) {
    out.to = t.to;
    out.reason = t.reason;
    out.retry_after = t.to == RequestState::rejected ? t.request->retry_after : Time{};
    out.sent.reset();
    out.candidates.clear();
    if (t.attempt)
        out.sent = {static_cast<std::uint64_t>(t.attempt->number), invoker(*t.attempt->invoker), t.attempt->starts_load,
                    t.attempt->expected_warm};
    for (const Candidate& each : t.candidates)
        out.candidates.push_back(
            {invoker(*each.invoker), span_of(each.finish_s), span_of(each.contention_s), each.warm, each.exclusion});
}

}  // namespace

RecordingScheduler::RecordingScheduler(Start start, std::vector<const RequestClass*> request_classes,
                                       std::vector<const Tenant*> tenants, RecordCallback recorded, bool reasons)
    : scheduler_(start.seed, start.rules, start.capabilities), recorded_(std::move(recorded)) {
    for (const RequestClass* each : request_classes) use_cases_.emplace(each, use_cases_.size());
    for (const Tenant* each : tenants) tenants_.emplace(each, tenants_.size());
    if (!recorded_) return;
    scheduler_.set_trace_detail(reasons ? TraceDetail::candidates : TraceDetail::transitions);
    record(Time{}, RecordType::settings, 0, start);
}

template <class T>
void RecordingScheduler::record(Time now, RecordType kind, std::uint64_t request, const T& told) {
    pack_into(record_.body, told);
    record_.at = now;
    record_.type = kind;
    record_.request = request;
    recorded_(record_);
}

void RecordingScheduler::record(Time now, RecordType kind, std::uint64_t request) {
    record_ = {now, kind, request, ""};
    recorded_(record_);
}

std::uint64_t RecordingScheduler::number_of(const Function& function, Time now) {
    const auto [it, fresh] = functions_.try_emplace(&function, functions_known_);
    if (fresh) record(now, RecordType::function_known, 0, NameRecord{functions_known_++, function.name});
    return it->second;
}

std::uint64_t RecordingScheduler::number_of(const Invoker& invoker, Time now) {
    const auto [it, fresh] = invokers_.try_emplace(&invoker, invokers_known_);
    if (fresh) record(now, RecordType::invoker_known, 0, NameRecord{invokers_known_++, invoker.name});
    return it->second;
}

Actions RecordingScheduler::tell(Time now, std::uint64_t request, Actions results) {
    if (!recorded_) return results;
    const auto function = [&](const Function& f) { return number_of(f, now); };
    const auto invoker = [&](const Invoker& i) { return number_of(i, now); };
    fill(answer_, results, function, invoker);
    record(now, RecordType::actions, request, answer_);
    for (const StateTransition& each : results.transitions) {
        fill(turned_, each, invoker);
        record(now, RecordType::transition, each.request->id, turned_);
    }
    for (const Function* each : results.released_functions) {
        const auto known = functions_.find(each);
        record(now, RecordType::function_released, 0, FunctionReleased{known->second});
        functions_.erase(known);
    }
    for (const Invoker* each : results.released_invokers) invokers_.erase(each);
    return results;
}

Actions RecordingScheduler::submit(Time now, Request& request) {
    if (recorded_) {
        const Function& function = *request.function;
        record(
            now, RecordType::submit, request.id,
            RequestSubmitted{use_cases_.at(request.request_class), request.tenant ? 1 + tenants_.at(request.tenant) : 0,
                             number_of(function, now), function.concurrency, function.declared_load_time,
                             request.remaining, request.is_client_retry});
    }
    const std::uint64_t id = request.id;
    return tell(now, id, scheduler_.submit(now, request));
}

Actions RecordingScheduler::response_started(Time now, Attempt& attempt) {
    const std::uint64_t id = attempt.request->id;
    if (recorded_)
        record(now, RecordType::response_started, id, ResponseStarted{static_cast<std::uint64_t>(attempt.number)});
    return tell(now, id, scheduler_.response_started(now, attempt));
}

Actions RecordingScheduler::attempt_ended(Time now, Attempt& attempt, AttemptOutcome ending, LoadEvent note,
                                          int concurrent_requests, const LoadReport& report) {
    const std::uint64_t id = attempt.request->id;
    if (recorded_)
        record(now, RecordType::attempt_ended, id,
               AttemptEnded{static_cast<std::uint64_t>(attempt.number), ending, note, concurrent_requests, report});
    return tell(now, id, scheduler_.attempt_ended(now, attempt, ending, note, concurrent_requests, report));
}

Actions RecordingScheduler::client_disconnected(Time now, Request& request) {
    const std::uint64_t id = request.id;
    if (recorded_) record(now, RecordType::client_disconnected, id);
    return tell(now, id, scheduler_.client_disconnected(now, request));
}

void RecordingScheduler::record_list(Time now, const std::vector<Invoker*>& told, bool complete) {
    EndpointsChanged list{complete, 0, {}};
    for (const Invoker* each : told)
        list.changed.push_back({number_of(*each, now), each->ready, each->capacity, each->zone,
                                kinds_.try_emplace(each->type, kinds_.size()).first->second, each->cell,
                                each->started_at});
    record(now, RecordType::endpoints_changed, 0, list);
}

Actions RecordingScheduler::endpoints_changed(Time now, const std::vector<Invoker*>& changed, bool complete) {
    if (recorded_) record_list(now, changed, complete);
    return tell(now, 0, scheduler_.endpoints_changed(now, changed, complete));
}

Actions RecordingScheduler::endpoints_removed(Time now, const std::vector<Invoker*>& gone,
                                              const std::function<std::vector<Invoker*>()>& still_listed) {
    if (recorded_) record_list(now, still_listed(), true);
    return tell(now, 0, scheduler_.endpoints_removed(now, gone));
}

Actions RecordingScheduler::endpoint_stream_lost(Time now) {
    if (recorded_) record(now, RecordType::endpoint_stream_lost, 0);
    return tell(now, 0, scheduler_.endpoint_stream_lost(now));
}

Actions RecordingScheduler::health_check_ended(Time now, Invoker& invoker, bool came, const LoadReport& report) {
    if (recorded_)
        record(now, RecordType::health_check_ended, 0, HealthCheckEnded{number_of(invoker, now), came, report});
    return tell(now, 0, scheduler_.health_check_ended(now, invoker, came, report));
}

Actions RecordingScheduler::preload_ended(Time now, Function& function, Invoker& invoker, AttemptOutcome ending,
                                          int copies) {
    if (recorded_) {
        const PreloadEnded told{number_of(function, now), number_of(invoker, now), ending, copies};
        record(now, RecordType::preload_ended, 0, told);
    }
    return tell(now, 0, scheduler_.preload_ended(now, function, invoker, ending, copies));
}

Actions RecordingScheduler::wake(Time now) {
    if (recorded_) record(now, RecordType::wake, 0);
    return tell(now, 0, scheduler_.wake(now));
}

// ---------------------------------------------------------------- deciding again

struct Replayer::State {
    std::function<void(Start&)> change;
    RecordCallback reasons;
    Start start;
    std::unique_ptr<Scheduler> controller;
    std::vector<RequestClass> request_classes;
    std::vector<Tenant> tenants;
    std::map<std::uint64_t, std::unique_ptr<Function>> functions;
    std::map<std::uint64_t, std::unique_ptr<Invoker>> invokers;
    std::map<std::uint64_t, InvokerType> kinds;
    std::unordered_map<std::uint64_t, std::unique_ptr<Request>> requests;
    std::unordered_map<const Function*, std::uint64_t> numbers;
    std::unordered_map<const Invoker*, std::uint64_t> places;
    std::map<std::uint64_t, std::pair<std::string, std::string>> ways;  // as far as calls were answered otherwise
    Record call;
    std::optional<std::string> now;  // the fresh controller's answer to `call`
    Comparison found;

    Invoker* invoker(std::uint64_t number) {
        const auto it = invokers.find(number);
        if (it == invokers.end() || !it->second->type)
            throw TraceError("a record names an invoker that was never listed");
        return it->second.get();
    }
    Function* function(std::uint64_t number) {
        const auto it = functions.find(number);
        if (it == functions.end()) throw TraceError("a record names a function that is not known");
        return it->second.get();
    }
    Attempt* attempt(std::uint64_t request, std::uint64_t number) {
        const auto it = requests.find(request);
        if (it == requests.end() || number >= it->second->attempts.size()) return nullptr;
        Attempt* found_hop = &it->second->attempts[number];
        return found_hop->in_flight ? found_hop : nullptr;
    }
    void begin(const Record& record);
    bool learn_name(const Record& record);
    std::optional<Actions> decide(const Record& record);
    Actions take(Time at, std::uint64_t id, const RequestSubmitted& told);
    Actions list(Time at, const EndpointsChanged& told);
    void settle(const Actions& results);
    void note_ways(const ActionsRecord& answer, std::string std::pair<std::string, std::string>::*way);
};

Replayer::Replayer(std::function<void(Start&)> change, RecordCallback reasons) : state_(std::make_unique<State>()) {
    state_->change = std::move(change);
    state_->reasons = std::move(reasons);
}

Replayer::~Replayer() = default;

void Replayer::State::begin(const Record& record) {
    start = unpack<Start>(record.body);
    if (change) change(start);
    for (const auto& [name, use] : start.request_classes) request_classes.push_back(use);
    tenants.assign(start.tenants.size(), {});
    for (std::size_t i = 0; i < tenants.size(); ++i) tenants[i].quota_per_s = start.tenants[i].second;
    controller = std::make_unique<Scheduler>(start.seed, start.rules, start.capabilities);
    if (reasons) controller->set_trace_detail(TraceDetail::candidates);
}

// Whether the record is only one of names.
bool Replayer::State::learn_name(const Record& record) {
    if (record.type == RecordType::function_known) {
        const auto known = unpack<NameRecord>(record.body);
        auto& one = functions[known.number];
        if (one) return true;  // told again
        one = std::make_unique<Function>();
        one->name = known.name;
        numbers[one.get()] = known.number;
        return true;
    }
    if (record.type == RecordType::invoker_known) {
        const auto known = unpack<NameRecord>(record.body);
        auto& one = invokers[known.number];
        if (one) return true;
        one = std::make_unique<Invoker>();
        one->name = known.name;
        places[one.get()] = known.number;
        return true;
    }
    return record.type == RecordType::function_released || record.type == RecordType::transition;
}

Actions Replayer::State::take(Time at, std::uint64_t id, const RequestSubmitted& told) {
    if (told.request_class >= request_classes.size() || told.tenant > tenants.size())
        throw TraceError("a record names what the settings do not");
    auto fresh = std::make_unique<Request>();
    Request& request = *fresh;
    request.id = id;
    request.request_class = &request_classes[told.request_class];
    if (told.tenant) request.tenant = &tenants[told.tenant - 1];
    request.function = function(told.function);
    request.function->concurrency = told.concurrency;
    if (told.declared_load_time) request.function->declared_load_time = told.declared_load_time;
    request.remaining = told.remaining;
    request.is_client_retry = told.is_client_retry;
    if (!requests.try_emplace(id, std::move(fresh)).second) throw TraceError("a job is taken twice");
    ++found.requests;
    return controller->submit(at, request);
}

Actions Replayer::State::list(Time at, const EndpointsChanged& told) {
    std::vector<Invoker*> changed;
    for (const EndpointRecord& entry : told.changed) {
        const auto it = invokers.find(entry.invoker);
        if (it == invokers.end()) throw TraceError("a record lists an invoker that is not known");
        Invoker* one = it->second.get();
        one->ready = entry.ready;
        one->capacity = entry.capacity;
        one->zone = entry.zone;
        one->type = &kinds[entry.type];
        one->cell = entry.cell;
        one->started_at = entry.started_at;
        changed.push_back(one);
    }
    return controller->endpoints_changed(at, changed, told.complete);
}

std::optional<Actions> Replayer::State::decide(const Record& record) {
    const Time at = record.at;
    switch (record.type) {
        case RecordType::submit:
            return take(at, record.request, unpack<RequestSubmitted>(record.body));
        case RecordType::response_started: {
            Attempt* one = attempt(record.request, unpack<ResponseStarted>(record.body).attempt);
            if (!one) return {};
            return controller->response_started(at, *one);
        }
        case RecordType::attempt_ended: {
            const auto told = unpack<AttemptEnded>(record.body);
            Attempt* one = attempt(record.request, told.attempt);
            if (!one) return {};
            return controller->attempt_ended(at, *one, told.outcome, told.load_event, told.concurrent_requests,
                                             told.report);
        }
        case RecordType::client_disconnected: {
            const auto request = requests.find(record.request);
            if (request == requests.end()) return {};
            return controller->client_disconnected(at, *request->second);
        }
        case RecordType::endpoints_changed:
            return list(at, unpack<EndpointsChanged>(record.body));
        case RecordType::endpoint_stream_lost:
            return controller->endpoint_stream_lost(at);
        case RecordType::health_check_ended: {
            const auto told = unpack<HealthCheckEnded>(record.body);
            return controller->health_check_ended(at, *invoker(told.invoker), told.answered, told.report);
        }
        case RecordType::preload_ended: {
            const auto told = unpack<PreloadEnded>(record.body);
            const auto one = functions.find(told.function);
            if (one == functions.end()) return {};
            return controller->preload_ended(at, *one->second, *invoker(told.invoker), told.outcome, told.copies);
        }
        case RecordType::wake:
            return controller->wake(at);
        default:
            return {};
    }
}

// Lets go of what the host would: closed jobs, forgotten functions.
void Replayer::State::settle(const Actions& results) {
    std::vector<std::uint64_t> ids;
    for (const Request* request : results.completed) ids.push_back(request->id);
    if (call.request) ids.push_back(call.request);
    for (const std::uint64_t id : ids)
        if (const auto it = requests.find(id); it != requests.end() && it->second->is_settled()) requests.erase(it);
    for (const Function* each : results.released_functions) {
        const auto it = numbers.find(each);
        const std::uint64_t number = it->second;
        numbers.erase(it);
        functions.erase(number);
    }
}

// Where jobs went and how they were answered by one of two answers that differ.
void Replayer::State::note_ways(const ActionsRecord& answer, std::string std::pair<std::string, std::string>::*way) {
    const auto note = [&](std::uint64_t request, const std::string& words) {
        if (ways.size() >= most_ways && !ways.count(request)) return;
        std::string& text = ways[request].*way;
        text += (text.empty() ? "" : ", ") + words;
    };
    for (const auto& each : answer.to_send) {
        const auto there = invokers.find(each.invoker);
        note(each.request,
             "to " + (there == invokers.end() ? "#" + std::to_string(each.invoker) : there->second->name));
    }
    for (const auto& each : answer.completed) note(each.request, std::string(name_of(each.state)));
}

void Replayer::feed(const Record& record) {
    State& s = *state_;
    if (record.type == RecordType::resumed) {
        if (const auto told = unpack<Resumed>(record.body); !told.part.empty())
            throw TraceError("the trace is " + told.part + ": it can't be decided again");
        if (!s.controller)
            throw TraceError("the trace begins in mid-flight, without its first file: it can't be decided again");
        return;
    }
    if (record.type == RecordType::sampled_request)
        throw TraceError("the trace holds a sample of the jobs: it can't be decided again");
    if (record.type == RecordType::gap)
        throw TraceError("the recorder dropped records here: it can be decided again up to there");
    if (record.type == RecordType::settings) {
        if (!s.controller) s.begin(record);
        return;  // a further file tells them again
    }
    if (!s.controller)
        throw TraceError("the trace begins in mid-flight, without the settings: it can't be decided again");
    if (s.learn_name(record)) return;
    if (record.type != RecordType::actions) {
        s.call = record;
        s.now.reset();
        ++s.found.calls;
        if (const auto results = s.decide(record)) {
            const auto function = [&](const Function& f) { return s.numbers.at(&f); };
            const auto invoker = [&](const Invoker& i) { return s.places.at(&i); };
            ActionsRecord answer;
            fill(answer, *results, function, invoker);
            s.now = pack(answer);
            for (const StateTransition& each : results->transitions) {
                TransitionRecord told;
                fill(told, each, invoker);
                s.reasons({record.at, RecordType::transition, each.request->id, pack(told)});
            }
            s.settle(*results);
        }
        return;
    }
    if (s.now && *s.now == record.body) return;
    ++s.found.different_calls;
    const auto then = unpack<ActionsRecord>(record.body);
    const auto now = s.now ? unpack<ActionsRecord>(*s.now) : ActionsRecord{};
    s.note_ways(then, &std::pair<std::string, std::string>::first);
    s.note_ways(now, &std::pair<std::string, std::string>::second);
    if (s.found.first) return;
    s.found.first =
        Difference{s.found.calls, s.call, describe(then), s.now ? describe(now) : "nothing: the call no longer fits"};
}

Comparison Replayer::compare() {
    constexpr std::size_t most_named = 10;
    Comparison found = state_->found;
    for (const auto& [request, ways] : state_->ways) {
        if (ways.first == ways.second) continue;  // the same way, at another time
        ++found.different_requests;
        if (found.diverged.size() < most_named) found.diverged[request] = ways;
    }
    return found;
}

std::string describe(const ActionsRecord& answer) {
    std::string out;
    auto add = [&](std::string words) { out += (out.empty() ? "" : "; ") + std::move(words); };
    for (const auto& each : answer.to_cancel)
        add(fmt::format("calls hop {} of job {} off", each.attempt, each.request));
    for (const auto& each : answer.completed)
        add(fmt::format("job {} is {}{}", each.request, name_of(each.state),
                        each.retry_after > Time{}
                            ? fmt::format(", to come back after {} ms", each.retry_after.count() / 1000)
                            : ""));
    for (const auto& each : answer.to_send)
        add(fmt::format("hop {} of job {} goes to invoker #{} for {} ms", each.attempt, each.request, each.invoker,
                        each.timeout.count() / 1000));
    for (const std::uint64_t each : answer.to_probe) add(fmt::format("probes invoker #{}", each));
    for (const auto& each : answer.to_preload)
        add(fmt::format("orders {} copies of function #{} at invoker #{}", each.copies, each.function, each.invoker));
    for (const std::uint64_t each : answer.released_functions) add(fmt::format("forgets function #{}", each));
    if (answer.subscribe_endpoints) add("follows the list");
    add(fmt::format("wakes at {:.3f} s", static_cast<double>(answer.next_wake.count()) / 1e6));
    return out;
}

}  // namespace plumkeel::trace
