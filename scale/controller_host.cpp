#include "scale/controller_host.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "scale/processor_time.hpp"

namespace plumkeel::scale {
namespace {

using namespace std::chrono_literals;

constexpr Time round_trip = 1ms;
constexpr Time probe_limit = 250ms;

Rulebook rules() {
    Rulebook out;
    out.cold_for = 20s;
    out.cold_share = 0.25;
    out.push_multiple = 2;
    out.push_span = 1s;
    return out;
}

Allowances allowances(const HostSettings& settings) {
    Allowances out;
    out.call_off = out.probe = out.second_copies = out.retry_after = out.loads_on_demand = true;
    out.steady_units = settings.steady_units;
    out.hops = 4;
    out.controllers = settings.controllers;
    out.longest_retry_after = 2s;
    out.keep_alive = settings.keep_alive;
    out.tick = 1ms;
    return out;
}

}  // namespace

ControllerHost::ControllerHost(EventQueue& events, ModelledFleet& fleet, const HostSettings& settings,
                               std::uint64_t seed)
    : events_(events), fleet_(fleet), settings_(settings) {
    use_case_.promised = settings.latency_target;
    const ModuleScope module;
    controller_ = std::make_unique<Controller>(seed, rules(), allowances(settings));
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
    slot->kind = &kind_;
    slot->ready = true;
    slot->units = fleet_.shape().cores;
    return *slot;
}

// ---------------------------------------------------------------- what happens

template <class Call>
void ControllerHost::feed(Turn kind, Call call) {
    std::optional<Results> results;
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
    HostedJob* job = nullptr;
    {
        const ModuleScope module;
        const std::string name = fmt::format("{:016x}", 0x9e3779b97f4a7c15ULL * (function + 1));
        std::unique_ptr<Function>& known = functions_[name];
        if (!known) known = std::make_unique<Function>();
        known->name = name;
        known->lanes = 1;
        std::unique_ptr<HostedJob>& slot = jobs_[++ids_];
        slot = std::make_unique<HostedJob>();
        job = slot.get();
        job->id = ids_;
        job->number = function;
        job->use_case = &use_case_;
        job->function = known.get();
        job->time_left = settings_.deadline;
    }
    feed(Turn::call, [&](Controller& it, Time now) { return it.take(now, *job); });
}

void ControllerHost::set_invoker(std::size_t number, bool listed, bool ready, std::optional<Time> started,
                                 double units) {
    HostedInvoker& invoker = at(number);
    listed_[number] = listed;
    invoker.ready = ready && listed;
    invoker.started = started;
    invoker.units = units * fleet_.shape().cores;
}

void ControllerHost::tell_whole_list() {
    std::vector<Invoker*> all;
    for (std::size_t number = 0; number < invokers_.size(); ++number)
        if (listed_[number]) all.push_back(&at(number));
    feed(Turn::list, [&](Controller& it, Time now) { return it.fleet_changed(now, all, true); });
}

void ControllerHost::tell_changed(const std::vector<std::size_t>& numbers) {
    std::vector<Invoker*> changed, gone;
    for (const std::size_t number : numbers) (listed_[number] ? changed : gone).push_back(&at(number));
    if (!gone.empty()) feed(Turn::list, [&](Controller& it, Time now) { return it.fleet_left(now, gone); });
    if (!changed.empty())
        feed(Turn::list, [&](Controller& it, Time now) { return it.fleet_changed(now, changed, false); });
}

// ---------------------------------------------------------------- carrying out

void ControllerHost::carry_out(const Results& results) {
    for (Hop* hop : results.called_off) {
        const std::uint64_t job = hop->job->id;
        const int attempt = hop->number;
        events_.at(events_.now(), [this, job, attempt] {
            end_attempt(job, attempt, {{}, Ending::called_off, Note::none, 0});
        });
    }
    for (Hop* hop : results.started) start(*hop);
    for (Invoker* invoker : results.probed) probe(static_cast<HostedInvoker&>(*invoker));
    for (Job* job : results.answered) {
        ++(job->state == JobState::bounced ? counts_.rejected : counts_.failed);
        drop_if_closed(job->id);
    }
    for (const Function* function : results.forgotten) functions_.erase(std::string(function->name));
    for (Invoker* invoker : results.released) invokers_[static_cast<HostedInvoker&>(*invoker).number].reset();
    arm(results.next_wake);
}

void ControllerHost::arm(Time when) {
    if (when >= armed_) return;
    armed_ = when;
    events_.at(when, [this, arming = ++armings_] {
        if (arming != armings_) return;  // an earlier time was set since
        armed_ = Time::max();
        feed(Turn::timer, [](Controller& it, Time now) { return it.wake(now); });
    });
}

void ControllerHost::use_connection(HostedInvoker& invoker) {
    const Time now = events_.now();
    if (!invoker.connected || now - *invoker.connected > settings_.connection_idle) ++counts_.new_connections;
    invoker.connected = now;
}

void ControllerHost::start(Hop& hop) {
    auto& invoker = static_cast<HostedInvoker&>(*hop.invoker);
    auto& job = static_cast<HostedJob&>(*hop.job);
    ++counts_.attempts;
    ++counts_.attempts_to[invoker.number];
    use_connection(invoker);
    const Reply reply = fleet_.attempt(events_.now(), invoker.number, job.number, hop.limit);
    events_.at(events_.now() + reply.after + round_trip,
               [this, id = job.id, attempt = hop.number, function = job.number, number = invoker.number, reply] {
                   if (reply.ending == Ending::honoured) fleet_.finished(events_.now(), number, function);
                   end_attempt(id, attempt, reply);
               });
}

void ControllerHost::end_attempt(std::uint64_t id, int attempt, const Reply& reply) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) return;
    HostedJob& job = *found->second;
    Hop& hop = job.hops[static_cast<std::size_t>(attempt)];
    if (!hop.out) return;  // called off meanwhile
    counts_.full += reply.ending == Ending::turned_away;
    counts_.overdue += reply.ending == Ending::overdue;
    counts_.cold_starts += reply.ending == Ending::honoured && reply.note == Note::began_load;
    const bool open = !job.answered();
    const Report report =
        reply.ending == Ending::honoured ? fleet_.report(static_cast<HostedInvoker&>(*hop.invoker).number) : Report{};
    feed(Turn::attempt_end, [&](Controller& it, Time now) {
        return it.hop_ended(now, hop, reply.ending, reply.note, reply.company, report);
    });
    if (const auto still = jobs_.find(id); still != jobs_.end() && open && still->second->state == JobState::honoured) {
        const Time took = events_.now() - job.taken;
        ++counts_.served;
        counts_.within_target += took <= settings_.latency_target;
        counts_.waited_s += std::chrono::duration<double>(took).count();
    }
    drop_if_closed(id);
}

void ControllerHost::drop_if_closed(std::uint64_t id) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end() && found->second->closed()) jobs_.erase(found);
}

void ControllerHost::probe(HostedInvoker& invoker) {
    ++counts_.probes;
    use_connection(invoker);
    const bool answered = fleet_.answers(invoker.number);
    events_.at(events_.now() + (answered ? round_trip : probe_limit), [this, number = invoker.number, answered] {
        if (!invokers_[number]) return;
        const Report report = answered ? fleet_.report(number) : Report{};
        feed(Turn::probe_end,
             [&](Controller& it, Time now) { return it.probe_answered(now, *invokers_[number], answered, report); });
    });
}

}  // namespace plumkeel::scale
