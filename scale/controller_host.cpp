#include "scale/controller_host.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "scale/processor_time.hpp"

namespace plumkeel::scale {
namespace {

using namespace std::chrono_literals;

constexpr Time round_trip = 1ms;
constexpr Time probe_limit = 250ms;

SafetyRules rules() {
    SafetyRules out;
    out.slow_start_duration = 20s;
    out.slow_start_initial_share = 0.25;
    out.slow_start_rate_multiple = 2;
    out.slow_start_window = 1s;
    return out;
}

Capabilities allowances(const HostSettings& settings) {
    Capabilities out;
    out.cancellation = out.health_checks = out.hedging = out.retry_after = out.on_demand_loading = true;
    out.stable_capacity = settings.steady_units;
    out.max_attempts = 4;
    out.controller_count = settings.controllers;
    out.max_retry_after = 2s;
    out.keep_alive = settings.keep_alive;
    out.clock_resolution = 1ms;
    return out;
}

}  // namespace

ControllerHost::ControllerHost(EventQueue& events, ModelledFleet& fleet, const HostSettings& settings,
                               std::uint64_t seed)
    : events_(events), fleet_(fleet), settings_(settings) {
    use_case_.latency_target = settings.latency_target;
    const ModuleScope module;
    controller_ = std::make_unique<Scheduler>(seed, rules(), allowances(settings));
    invokers_.resize(fleet.shape().invokers);
    listed_.assign(invokers_.size(), true);
    counts_.attempts_to.resize(invokers_.size());
}

void ControllerHost::restart_clocks() {
    counts_.processor = counts_.worst_turn = {};
    counts_.turns = 0;
    worst_ = {};
}

std::size_t ControllerHost::open_connections() const {
    return static_cast<std::size_t>(std::count_if(invokers_.begin(), invokers_.end(), [&](const auto& invoker) {
        return invoker && invoker->connected && events_.now() - *invoker->connected <= settings_.connection_idle;
    }));
}

ControllerHost::HostedInvoker& ControllerHost::at(std::size_t number) {
    std::unique_ptr<HostedInvoker>& slot = invokers_[number];
    if (slot) return *slot;
    const ModuleScope module;
    slot = std::make_unique<HostedInvoker>();
    slot->number = number;
    slot->name = fmt::format("s-{:08x}", number);
    slot->zone = fmt::format("z{}", number % fleet_.shape().zones);
    slot->type = &kind_;
    slot->ready = true;
    slot->capacity = fleet_.shape().cores;
    return *slot;
}

// ---------------------------------------------------------------- what happens

template <class Call>
void ControllerHost::feed(Turn kind, Call call) {
    std::optional<Actions> results;
    {
        const ModuleScope module;
        const auto before = processor_time();
        results = call(*controller_, events_.now());
        const auto took = processor_time() - before;
        counts_.processor += took;
        counts_.worst_turn = std::max(counts_.worst_turn, took);
        worst_[static_cast<std::size_t>(kind)] = std::max(worst_[static_cast<std::size_t>(kind)], took);
        ++counts_.turns;
    }
    carry_out(*results);
    const ModuleScope module;
    results.reset();
}

void ControllerHost::call(FunctionNumber function) {
    ++counts_.calls;
    HostedJob* request = nullptr;
    {
        const ModuleScope module;
        const std::string name = fmt::format("{:016x}", 0x9e3779b97f4a7c15ULL * (function + 1));
        std::unique_ptr<Function>& known = functions_[name];
        if (!known) known = std::make_unique<Function>();
        known->name = name;
        known->concurrency = 1;
        std::unique_ptr<HostedJob>& slot = jobs_[++ids_];
        slot = std::make_unique<HostedJob>();
        request = slot.get();
        request->id = ids_;
        request->number = function;
        request->request_class = &use_case_;
        request->function = known.get();
        request->remaining = settings_.deadline;
    }
    feed(Turn::call, [&](Scheduler& it, Time now) { return it.submit(now, *request); });
}

void ControllerHost::set_invoker(std::size_t number, bool listed, bool ready, std::optional<Time> started,
                                 double units) {
    HostedInvoker& invoker = at(number);
    listed_[number] = listed;
    invoker.ready = ready && listed;
    invoker.started_at = started;
    invoker.capacity = units * fleet_.shape().cores;
}

void ControllerHost::tell_whole_list() {
    std::vector<Invoker*> all;
    for (std::size_t number = 0; number < invokers_.size(); ++number)
        if (listed_[number]) all.push_back(&at(number));
    feed(Turn::list, [&](Scheduler& it, Time now) { return it.endpoints_changed(now, all, true); });
}

void ControllerHost::tell_changed(const std::vector<std::size_t>& numbers) {
    std::vector<Invoker*> changed, gone;
    for (const std::size_t number : numbers) (listed_[number] ? changed : gone).push_back(&at(number));
    if (!gone.empty()) feed(Turn::list, [&](Scheduler& it, Time now) { return it.endpoints_removed(now, gone); });
    if (!changed.empty())
        feed(Turn::list, [&](Scheduler& it, Time now) { return it.endpoints_changed(now, changed, false); });
}

// ---------------------------------------------------------------- carrying out

void ControllerHost::carry_out(const Actions& results) {
    for (Attempt* attempt : results.to_cancel) {
        const std::uint64_t request = attempt->request->id;
        const int number = attempt->number;
        events_.at(events_.now(), [this, request, number] {
            end_attempt(request, number, {{}, AttemptOutcome::cancelled, LoadEvent::none, 0});
        });
    }
    for (Attempt* attempt : results.to_send) start(*attempt);
    for (Invoker* invoker : results.to_probe) probe(static_cast<HostedInvoker&>(*invoker));
    for (Request* request : results.completed) {
        ++(request->state == RequestState::rejected ? counts_.rejected : counts_.failed);
        drop_if_closed(request->id);
    }
    for (const Function* function : results.released_functions) functions_.erase(std::string(function->name));
    for (Invoker* invoker : results.released_invokers) invokers_[static_cast<HostedInvoker&>(*invoker).number].reset();
    arm(results.next_wake);
}

void ControllerHost::arm(Time when) {
    if (when >= armed_) return;
    armed_ = when;
    events_.at(when, [this, arming = ++armings_] {
        if (arming != armings_) return;  // an earlier time was set since
        armed_ = Time::max();
        feed(Turn::timer, [](Scheduler& it, Time now) { return it.wake(now); });
    });
}

void ControllerHost::use_connection(HostedInvoker& invoker) {
    const Time now = events_.now();
    if (!invoker.connected || now - *invoker.connected > settings_.connection_idle) ++counts_.new_connections;
    invoker.connected = now;
}

void ControllerHost::start(Attempt& attempt) {
    auto& invoker = static_cast<HostedInvoker&>(*attempt.invoker);
    auto& request = static_cast<HostedJob&>(*attempt.request);
    ++counts_.attempts;
    ++counts_.attempts_to[invoker.number];
    use_connection(invoker);
    const Reply reply = fleet_.attempt(events_.now(), invoker.number, request.number, attempt.timeout);
    events_.at(events_.now() + reply.after + round_trip, [this, id = request.id, attempt = attempt.number,
                                                          function = request.number, number = invoker.number, reply] {
        if (reply.ending == AttemptOutcome::succeeded) fleet_.finished(events_.now(), number, function);
        end_attempt(id, attempt, reply);
    });
}

void ControllerHost::end_attempt(std::uint64_t id, int number, const Reply& reply) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) return;
    HostedJob& request = *found->second;
    Attempt& attempt = request.attempts[static_cast<std::size_t>(number)];
    if (!attempt.in_flight) return;  // called off meanwhile
    counts_.full += reply.ending == AttemptOutcome::rejected;
    counts_.overdue += reply.ending == AttemptOutcome::timed_out;
    counts_.cold_starts += reply.ending == AttemptOutcome::succeeded && reply.note == LoadEvent::started_load;
    const bool open = !request.is_completed();
    const LoadReport report = reply.ending == AttemptOutcome::succeeded
                                  ? fleet_.report(static_cast<HostedInvoker&>(*attempt.invoker).number)
                                  : LoadReport{};
    feed(Turn::attempt_end, [&](Scheduler& it, Time now) {
        return it.attempt_ended(now, attempt, reply.ending, reply.note, reply.concurrent_requests, report);
    });
    if (const auto still = jobs_.find(id);
        still != jobs_.end() && open && still->second->state == RequestState::succeeded) {
        const Time took = events_.now() - request.received_at;
        ++counts_.served;
        counts_.within_target += took <= settings_.latency_target;
        counts_.waited_s += std::chrono::duration<double>(took).count();
    }
    drop_if_closed(id);
}

void ControllerHost::drop_if_closed(std::uint64_t id) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end() && found->second->is_settled()) jobs_.erase(found);
}

void ControllerHost::probe(HostedInvoker& invoker) {
    ++counts_.probes;
    use_connection(invoker);
    const bool answered = fleet_.answers(invoker.number);
    events_.at(events_.now() + (answered ? round_trip : probe_limit), [this, number = invoker.number, answered] {
        if (!invokers_[number]) return;
        const LoadReport report = answered ? fleet_.report(number) : LoadReport{};
        feed(Turn::probe_end,
             [&](Scheduler& it, Time now) { return it.health_check_ended(now, *invokers_[number], answered, report); });
    });
}

}  // namespace plumkeel::scale
