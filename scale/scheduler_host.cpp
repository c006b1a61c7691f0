#include "scale/scheduler_host.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "scale/processor_time.hpp"

namespace plumkeel::scale {
namespace {

using namespace std::chrono_literals;

constexpr Time round_trip = 1ms;
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

// Spread over all 64 bits, as real names are.
std::string function_name(std::uint32_t number) {
    constexpr std::uint64_t golden_ratio = 0x9e3779b97f4a7c15ULL;
    return fmt::format("{:016x}", golden_ratio * (number + 1));
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
    counts_.processor = counts_.longest_call = {};
    longest_ = {};
}

std::size_t SchedulerHost::open_connections() const {
    const Time oldest = events_.now() - settings_.connection_idle;
    return static_cast<std::size_t>(std::count_if(invokers_.begin(), invokers_.end(), [&](const auto& each) {
        return each && each->connection_used_at && *each->connection_used_at >= oldest;
    }));
}

SchedulerHost::HostedInvoker& SchedulerHost::invoker(std::size_t number) {
    std::unique_ptr<HostedInvoker>& slot = invokers_[number];
    if (slot) return *slot;
    const SchedulerAllocationScope scope;
    slot = std::make_unique<HostedInvoker>();
    slot->number = number;
    slot->name = fmt::format("s-{:08x}", number);
    slot->zone = fmt::format("z{}", number % fleet_.shape().zones);
    slot->type = &invoker_type_;
    slot->ready = true;
    slot->capacity = fleet_.shape().cores;
    return *slot;
}

// ---------------------------------------------------------------- events

template <class Call>
void SchedulerHost::call_scheduler(SchedulerCall kind, Call call) {
    std::optional<Actions> actions;
    {
        const SchedulerAllocationScope scope;
        const auto before = processor_time();
        actions = call(*scheduler_, events_.now());
        const auto duration = processor_time() - before;
        counts_.processor += duration;
        counts_.longest_call = std::max(counts_.longest_call, duration);
        auto& longest_of_kind = longest_[static_cast<std::size_t>(kind)];
        longest_of_kind = std::max(longest_of_kind, duration);
    }
    apply(*actions);
    const SchedulerAllocationScope scope;
    actions.reset();
}

SchedulerHost::HostedRequest& SchedulerHost::new_request(FunctionNumber function) {
    const SchedulerAllocationScope scope;
    const std::string name = function_name(function);
    std::unique_ptr<Function>& known = functions_[name];
    if (!known) known = std::make_unique<Function>();
    known->name = name;
    known->concurrency = 1;
    std::unique_ptr<HostedRequest>& request = requests_[++last_id_];
    request = std::make_unique<HostedRequest>();
    request->id = last_id_;
    request->function_number = function;
    request->request_class = &request_class_;
    request->function = known.get();
    request->remaining = settings_.deadline;
    return *request;
}

void SchedulerHost::submit(FunctionNumber function) {
    ++counts_.requests;
    HostedRequest& request = new_request(function);
    call_scheduler(SchedulerCall::submit,
                   [&](Scheduler& scheduler, Time now) { return scheduler.submit(now, request); });
}

void SchedulerHost::set_invoker(std::size_t number, bool listed, bool ready, std::optional<Time> started,
                                double relative_capacity) {
    HostedInvoker& changed = invoker(number);
    listed_[number] = listed;
    changed.ready = ready && listed;
    changed.started_at = started;
    changed.capacity = relative_capacity * fleet_.shape().cores;
}

void SchedulerHost::announce_all() {
    std::vector<Invoker*> all;
    for (std::size_t number = 0; number < invokers_.size(); ++number)
        if (listed_[number]) all.push_back(&invoker(number));
    call_scheduler(SchedulerCall::endpoints_changed,
                   [&](Scheduler& scheduler, Time now) { return scheduler.endpoints_changed(now, all, true); });
}

void SchedulerHost::announce(const std::vector<std::size_t>& numbers) {
    std::vector<Invoker*> changed, removed;
    for (const std::size_t number : numbers) (listed_[number] ? changed : removed).push_back(&invoker(number));
    if (!removed.empty())
        call_scheduler(SchedulerCall::endpoints_changed,
                       [&](Scheduler& scheduler, Time now) { return scheduler.endpoints_removed(now, removed); });
    if (!changed.empty())
        call_scheduler(SchedulerCall::endpoints_changed, [&](Scheduler& scheduler, Time now) {
            return scheduler.endpoints_changed(now, changed, false);
        });
}

// ---------------------------------------------------------------- actions

void SchedulerHost::apply(const Actions& actions) {
    for (Attempt* attempt : actions.to_cancel) {
        const std::uint64_t request = attempt->request->id;
        const int number = attempt->number;
        events_.at(events_.now(), [this, request, number] {
            end_attempt(request, number, {{}, AttemptOutcome::cancelled, LoadEvent::none, 0});
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
    events_.at(when, [this, wake = ++last_wake_] {
        if (wake != last_wake_) return;  // an earlier one was scheduled since
        next_wake_ = Time::max();
        call_scheduler(SchedulerCall::wake, [](Scheduler& scheduler, Time now) { return scheduler.wake(now); });
    });
}

void SchedulerHost::use_connection(HostedInvoker& used) {
    const Time now = events_.now();
    if (!used.connection_used_at || now - *used.connection_used_at > settings_.connection_idle)
        ++counts_.new_connections;
    used.connection_used_at = now;
}

void SchedulerHost::send(Attempt& attempt) {
    auto& target = static_cast<HostedInvoker&>(*attempt.invoker);
    auto& request = static_cast<HostedRequest&>(*attempt.request);
    ++counts_.attempts;
    ++counts_.attempts_by_invoker[target.number];
    use_connection(target);
    const Reply reply = fleet_.attempt(events_.now(), target.number, request.function_number, attempt.timeout);
    events_.at(events_.now() + reply.after + round_trip,
               [this, id = request.id, attempt = attempt.number, function = request.function_number,
                number = target.number, reply] {
                   if (reply.outcome == AttemptOutcome::succeeded) fleet_.finished(events_.now(), number, function);
                   end_attempt(id, attempt, reply);
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

void SchedulerHost::end_attempt(std::uint64_t id, int number, const Reply& reply) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    const HostedRequest& request = *found->second;
    Attempt& attempt = found->second->attempts[static_cast<std::size_t>(number)];
    if (!attempt.in_flight) return;  // cancelled meanwhile
    count_reply(reply);
    const bool was_open = !request.is_completed();
    LoadReport report;
    if (reply.outcome == AttemptOutcome::succeeded)
        report = fleet_.report(static_cast<HostedInvoker&>(*attempt.invoker).number);
    call_scheduler(SchedulerCall::attempt_ended, [&](Scheduler& scheduler, Time now) {
        return scheduler.attempt_ended(now, attempt, reply.outcome, reply.load_event, reply.concurrent_requests,
                                       report);
    });
    const auto still = requests_.find(id);
    if (still != requests_.end() && was_open && still->second->state == RequestState::succeeded) count_served(request);
    erase_if_settled(id);
}

void SchedulerHost::erase_if_settled(std::uint64_t id) {
    const auto found = requests_.find(id);
    if (found != requests_.end() && found->second->is_settled()) requests_.erase(found);
}

void SchedulerHost::check_health(HostedInvoker& checked) {
    ++counts_.health_checks;
    use_connection(checked);
    const bool answered = fleet_.answers(checked.number);
    const Time duration = answered ? round_trip : health_check_timeout;
    events_.at(events_.now() + duration, [this, number = checked.number, answered] {
        if (!invokers_[number]) return;
        const LoadReport report = answered ? fleet_.report(number) : LoadReport{};
        call_scheduler(SchedulerCall::health_check_ended, [&](Scheduler& scheduler, Time now) {
            return scheduler.health_check_ended(now, *invokers_[number], answered, report);
        });
    });
}

}  // namespace plumkeel::scale
