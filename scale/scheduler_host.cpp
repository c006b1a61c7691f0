#include "scale/scheduler_host.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "scale/processor_time.hpp"

namespace plumkeel::scale {
namespace {

using namespace std::chrono_literals;

constexpr Time network_round_trip = 1ms;
constexpr Time health_check_timeout = 250ms;

SafetyRules safety_rules() {
    SafetyRules rules;
    rules.slow_start_duration = 20s;
    rules.slow_start_initial_share = 0.25;
    rules.slow_start_rate_multiple = 2;
    rules.slow_start_window = 1s;
    return rules;
}

Capabilities capabilities(const HostSettings& settings) {
    Capabilities out;
    out.cancellation = out.health_checks = out.hedging = out.retry_after = out.on_demand_loading = true;
    out.stable_capacity = settings.stable_capacity;
    out.max_attempts = 4;
    out.controller_count = settings.controllers;
    out.max_retry_after = 2s;
    out.keep_alive = settings.keep_alive;
    out.clock_resolution = 1ms;
    return out;
}

// Returns a function name; names of consecutive numbers are distributed over all 64 bits.
std::string function_name(std::uint32_t function_number) {
    constexpr std::uint64_t hash_multiplier = 0x9e3779b97f4a7c15ULL;
    return fmt::format("{:016x}", hash_multiplier * (function_number + 1));
}

}  // namespace

SchedulerHost::SchedulerHost(EventQueue& events, ModelledFleet& fleet, const HostSettings& settings, std::uint64_t seed)
    : events_(events), fleet_(fleet), settings_(settings) {
    request_class_.latency_target = settings.latency_target;
    const SchedulerAllocationScope scope;
    scheduler_ = std::make_unique<Scheduler>(seed, safety_rules(), capabilities(settings));
    invokers_.resize(fleet.shape().invokers);
    listed_.assign(invokers_.size(), true);
    counts_.attempts_by_invoker.resize(invokers_.size());
}

void SchedulerHost::reset_processor_times() {
    counts_.processor_time = counts_.longest_call = {};
    longest_calls_ = {};
}

std::size_t SchedulerHost::open_connections() const {
    const Time oldest_use = events_.now() - settings_.connection_idle_timeout;
    return static_cast<std::size_t>(std::count_if(invokers_.begin(), invokers_.end(), [&](const auto& hosted_invoker) {
        return hosted_invoker && hosted_invoker->connection_used_at &&
               *hosted_invoker->connection_used_at >= oldest_use;
    }));
}

SchedulerHost::HostedInvoker& SchedulerHost::invoker(std::size_t invoker_number) {
    std::unique_ptr<HostedInvoker>& hosted_invoker = invokers_[invoker_number];
    if (hosted_invoker) return *hosted_invoker;
    const SchedulerAllocationScope scope;
    hosted_invoker = std::make_unique<HostedInvoker>();
    hosted_invoker->number = invoker_number;
    hosted_invoker->name = fmt::format("s-{:08x}", invoker_number);
    hosted_invoker->zone = fmt::format("z{}", invoker_number % fleet_.shape().zones);
    hosted_invoker->type = &invoker_type_;
    hosted_invoker->ready = true;
    hosted_invoker->capacity = fleet_.shape().cores_per_invoker;
    return *hosted_invoker;
}

// ---------------------------------------------------------------- events reported to the scheduler

template <class Call>
void SchedulerHost::call_scheduler(SchedulerCall kind, Call call) {
    std::optional<Actions> actions;
    {
        const SchedulerAllocationScope scope;
        const auto processor_before = processor_time();
        actions = call(*scheduler_, events_.now());
        const auto duration = processor_time() - processor_before;
        counts_.processor_time += duration;
        counts_.longest_call = std::max(counts_.longest_call, duration);
        auto& longest_of_kind = longest_calls_[static_cast<std::size_t>(kind)];
        longest_of_kind = std::max(longest_of_kind, duration);
    }
    apply(*actions);
    const SchedulerAllocationScope scope;
    actions.reset();
}

SchedulerHost::HostedRequest& SchedulerHost::new_request(FunctionNumber function) {
    const SchedulerAllocationScope scope;
    const std::string name = function_name(function);
    std::unique_ptr<Function>& known_function = functions_[name];
    if (!known_function) known_function = std::make_unique<Function>();
    known_function->name = name;
    known_function->concurrency = 1;
    std::unique_ptr<HostedRequest>& request = requests_[++last_request_id_];
    request = std::make_unique<HostedRequest>();
    request->id = last_request_id_;
    request->function_number = function;
    request->request_class = &request_class_;
    request->function = known_function.get();
    request->remaining = settings_.deadline;
    return *request;
}

void SchedulerHost::submit(FunctionNumber function) {
    ++counts_.requests;
    HostedRequest& request = new_request(function);
    call_scheduler(SchedulerCall::submit,
                   [&](Scheduler& scheduler, Time now) { return scheduler.submit(now, request); });
}

void SchedulerHost::set_invoker(std::size_t invoker_number, bool listed, bool ready, std::optional<Time> started,
                                double relative_capacity) {
    HostedInvoker& target = invoker(invoker_number);
    listed_[invoker_number] = listed;
    target.ready = ready && listed;
    target.started_at = started;
    target.capacity = relative_capacity * fleet_.shape().cores_per_invoker;
}

void SchedulerHost::announce_all() {
    std::vector<Invoker*> listed_invokers;
    for (std::size_t invoker_number = 0; invoker_number < invokers_.size(); ++invoker_number)
        if (listed_[invoker_number]) listed_invokers.push_back(&invoker(invoker_number));
    call_scheduler(SchedulerCall::endpoints_changed, [&](Scheduler& scheduler, Time now) {
        return scheduler.endpoints_changed(now, listed_invokers, true);
    });
}

void SchedulerHost::announce(const std::vector<std::size_t>& invoker_numbers) {
    std::vector<Invoker*> changed, removed;
    for (const std::size_t invoker_number : invoker_numbers)
        (listed_[invoker_number] ? changed : removed).push_back(&invoker(invoker_number));
    if (!removed.empty())
        call_scheduler(SchedulerCall::endpoints_changed,
                       [&](Scheduler& scheduler, Time now) { return scheduler.endpoints_removed(now, removed); });
    if (!changed.empty())
        call_scheduler(SchedulerCall::endpoints_changed, [&](Scheduler& scheduler, Time now) {
            return scheduler.endpoints_changed(now, changed, false);
        });
}

// ---------------------------------------------------------------- actions requested by the scheduler

void SchedulerHost::apply(const Actions& actions) {
    for (Attempt* attempt : actions.to_cancel) {
        const std::uint64_t request_id = attempt->request->id;
        const int attempt_number = attempt->number;
        events_.schedule_at(events_.now(), [this, request_id, attempt_number] {
            end_attempt(request_id, attempt_number, {{}, AttemptOutcome::cancelled, LoadEvent::none, 0});
        });
    }
    for (Attempt* attempt : actions.to_send) send(*attempt);
    for (Invoker* probed : actions.to_probe) check_health(static_cast<HostedInvoker&>(*probed));
    for (Request* request : actions.completed) {
        ++(request->state == RequestState::rejected ? counts_.rejected : counts_.failed);
        erase_if_settled(request->id);
    }
    for (const Function* function : actions.released_functions) functions_.erase(std::string(function->name));
    for (Invoker* released : actions.released_invokers)
        invokers_[static_cast<HostedInvoker&>(*released).number].reset();
    schedule_wake(actions.next_wake);
}

void SchedulerHost::schedule_wake(Time when) {
    if (when >= next_wake_) return;
    next_wake_ = when;
    events_.schedule_at(when, [this, wake_id = ++last_wake_id_] {
        if (wake_id != last_wake_id_) return;  // an earlier wake-up has replaced this one
        next_wake_ = Time::max();
        call_scheduler(SchedulerCall::wake, [](Scheduler& scheduler, Time now) { return scheduler.wake(now); });
    });
}

void SchedulerHost::record_connection_use(HostedInvoker& target) {
    const Time now = events_.now();
    if (!target.connection_used_at || now - *target.connection_used_at > settings_.connection_idle_timeout)
        ++counts_.new_connections;
    target.connection_used_at = now;
}

void SchedulerHost::send(Attempt& attempt) {
    auto& target = static_cast<HostedInvoker&>(*attempt.invoker);
    auto& request = static_cast<HostedRequest&>(*attempt.request);
    ++counts_.attempts;
    ++counts_.attempts_by_invoker[target.number];
    record_connection_use(target);
    const Reply reply = fleet_.attempt(events_.now(), target.number, request.function_number, attempt.timeout);
    events_.schedule_at(events_.now() + reply.delay + network_round_trip,
                        [this, request_id = request.id, attempt_number = attempt.number,
                         function = request.function_number, invoker_number = target.number, reply] {
                            if (reply.outcome == AttemptOutcome::succeeded)
                                fleet_.finished(events_.now(), invoker_number, function);
                            end_attempt(request_id, attempt_number, reply);
                        });
}

void SchedulerHost::count_reply(const Reply& reply) {
    counts_.rejected_attempts += reply.outcome == AttemptOutcome::rejected;
    counts_.timed_out += reply.outcome == AttemptOutcome::timed_out;
    counts_.cold_starts += reply.outcome == AttemptOutcome::succeeded && reply.load_event == LoadEvent::started_load;
}

void SchedulerHost::count_served(const HostedRequest& request) {
    const Time latency = events_.now() - request.received_at;
    ++counts_.served;
    counts_.within_target += latency <= settings_.latency_target;
    counts_.latency_sum_s += std::chrono::duration<double>(latency).count();
}

void SchedulerHost::end_attempt(std::uint64_t request_id, int attempt_number, const Reply& reply) {
    const auto found = requests_.find(request_id);
    if (found == requests_.end()) return;
    const HostedRequest& request = *found->second;
    Attempt& attempt = found->second->attempts[static_cast<std::size_t>(attempt_number)];
    if (!attempt.in_flight) return;  // cancelled before this reply arrived
    count_reply(reply);
    const bool was_open = !request.is_completed();
    LoadReport report;
    if (reply.outcome == AttemptOutcome::succeeded)
        report = fleet_.report(static_cast<HostedInvoker&>(*attempt.invoker).number);
    call_scheduler(SchedulerCall::attempt_ended, [&](Scheduler& scheduler, Time now) {
        return scheduler.attempt_ended(now, attempt, reply.outcome, reply.load_event, reply.concurrent_requests,
                                       report);
    });
    const auto found_after = requests_.find(request_id);
    if (found_after != requests_.end() && was_open && found_after->second->state == RequestState::succeeded)
        count_served(request);
    erase_if_settled(request_id);
}

void SchedulerHost::erase_if_settled(std::uint64_t request_id) {
    const auto found = requests_.find(request_id);
    if (found != requests_.end() && found->second->is_settled()) requests_.erase(found);
}

void SchedulerHost::check_health(HostedInvoker& target) {
    ++counts_.health_checks;
    record_connection_use(target);
    const bool answered = fleet_.is_alive(target.number);
    const Time duration = answered ? network_round_trip : health_check_timeout;
    events_.schedule_at(events_.now() + duration, [this, invoker_number = target.number, answered] {
        if (!invokers_[invoker_number]) return;
        const LoadReport report = answered ? fleet_.report(invoker_number) : LoadReport{};
        call_scheduler(SchedulerCall::health_check_ended, [&](Scheduler& scheduler, Time now) {
            return scheduler.health_check_ended(now, *invokers_[invoker_number], answered, report);
        });
    });
}

}  // namespace plumkeel::scale
