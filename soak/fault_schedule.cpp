#include "soak/fault_schedule.hpp"

#include <fmt/format.h>

#include <csignal>

namespace plumkeel::soak {
namespace {

using namespace std::chrono_literals;
using faults::Call;
using net::Time;

constexpr Time shortest_fault = 200ms, longest_fault = 2500ms;
constexpr std::uint32_t shortened_transfers = 300'000;  // of a million calls
constexpr Time idle_close_interval = 100ms;

}  // namespace

const std::vector<FaultSchedule::Fault>& FaultSchedule::all_faults() {
    static const std::vector<Fault> faults = {
        {"pause", &FaultSchedule::pause_some},
        {"term", &FaultSchedule::terminate_one},
        {"kill", &FaultSchedule::kill_one},
        {"reload", &FaultSchedule::reload_all},
        {"wall", &FaultSchedule::step_wall_clock},
        {"calls", &FaultSchedule::fail_system_calls},
        {"short", &FaultSchedule::shorten_transfers},
        {"replace", &FaultSchedule::replace_one},
        {"release", &FaultSchedule::replace_third},
        {"hang", &FaultSchedule::pause_invoker},
        {"cut", &FaultSchedule::partition_network},
        {"unread", &FaultSchedule::leave_unread},
        {"refuse", &FaultSchedule::refuse_connections},
        {"resets", &FaultSchedule::reset_connections},
        {"idle-ends", &FaultSchedule::close_idle_connections},
        {"errors", &FaultSchedule::fail_runs},
        {"twice", &FaultSchedule::duplicate_answers},
        {"full", &FaultSchedule::reject_runs},
        {"slow", &FaultSchedule::slow_runs},
        {"discovery", &FaultSchedule::stop_discovery},
        {"bad-clients", &FaultSchedule::start_faulty_clients},
        {"silent", &FaultSchedule::drop_answers},
        {"freeze", &FaultSchedule::pause_all},
        {"unread-answers", &FaultSchedule::leave_answers_unread},
        {"term-all", &FaultSchedule::terminate_all},
    };
    return faults;
}

std::vector<std::string> FaultSchedule::names() {
    std::vector<std::string> names;
    for (const Fault& fault : all_faults()) names.emplace_back(fault.name);
    return names;
}

void FaultSchedule::start_next() {
    if (context_.winding_down) return;
    const RunOptions& options = context_.options;
    std::vector<Fault> enabled;
    for (const Fault& fault : all_faults())
        if (options.only.empty() || options.only.count(fault.name)) enabled.push_back(fault);
    const Fault& fault = enabled[context_.random_index(enabled.size())];
    const Time duration = context_.random_time(shortest_fault, longest_fault);
    ++counts_[fault.name];
    context_.log(fmt::format("{} for {} ms", fault.name, duration / 1ms));
    (this->*fault.start)(duration);
    context_.after(
        context_.random_time(std::chrono::milliseconds(options.gap_ms / 4), std::chrono::milliseconds(options.gap_ms)),
        [this] { start_next(); });
}

// The loops over a random count draw it anew in each round.
void FaultSchedule::pause_some(Time duration) {
    for (std::size_t i = 0; i < 1 + context_.random_index(3); ++i)
        controllers_.pause(controllers_.random_controller(), duration);
}

void FaultSchedule::pause_all(Time duration) {
    for (Controller& controller : controllers_.controllers()) controllers_.pause(controller, duration);
}

void FaultSchedule::terminate_all(Time) {
    int place = 0;
    for (Controller& controller : controllers_.controllers())
        context_.after(place++ * context_.random_time(20ms, 300ms),
                       [this, &controller] { controllers_.terminate(controller); });
}

// Sometimes another signal comes while it ends.
void FaultSchedule::terminate_one(Time) {
    Controller& controller = controllers_.random_controller();
    controllers_.terminate(controller);
    if (context_.random.next() >= 0.3) return;
    context_.after(context_.random_time(0ms, 900ms), [this, &controller, run = controller.run] {
        if (controller.run == run) controller.process->signal(context_.random.next() < 0.5 ? SIGHUP : SIGTERM);
    });
}

void FaultSchedule::kill_one(Time) {
    controllers_.kill(controllers_.random_controller());
}

void FaultSchedule::reload_all(Time) {
    controllers_.switch_discovery();
    const int reloads = 1 + static_cast<int>(context_.random_index(3));
    for (int i = 0; i < reloads; ++i)
        context_.after(i * context_.random_time(1ms, 60ms), [this, i] {
            if (i % 2) controllers_.switch_discovery();
            controllers_.reload_all();
        });
}

void FaultSchedule::step_wall_clock(Time) {
    const std::int64_t steps_us[] = {3'600'000'000, -3'600'000'000, 7'000'000, -7'000'000};
    const std::int64_t step_us = steps_us[context_.random_index(std::size(steps_us))];
    for (Controller& controller : controllers_.controllers())
        if (context_.random.next() < 0.5) controller.faults->plan().wall_ahead_us += step_us;
}

void FaultSchedule::fail_system_calls(Time duration) {
    Controller& controller = controllers_.random_controller();
    const auto rate = static_cast<std::uint32_t>(10'000 + context_.random.next() * 90'000);  // of a million calls
    faults::PlanFile& plan = *controller.faults;
    plan.fail(Call::accept, rate, {ECONNABORTED, ENFILE, ENOBUFS, EMFILE, EINTR, EPROTO});
    plan.fail(Call::connect, rate, {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, EINTR, ECONNREFUSED});
    plan.fail(Call::send, rate, {EINTR, ENOBUFS, ENOMEM});
    plan.fail(Call::receive, rate, {EINTR, ENOMEM});
    plan.fail(Call::wait, rate, {EINTR});
    context_.after(duration, [&plan] { plan.heal(); });
}

void FaultSchedule::shorten_transfers(Time duration) {
    faults::PlanFile& plan = *controllers_.random_controller().faults;
    plan.cut_short(Call::send, shortened_transfers);
    plan.cut_short(Call::receive, shortened_transfers);
    context_.after(duration, [&plan] { plan.heal(); });
}

void FaultSchedule::start_faulty_clients(Time) {
    Controller& controller = controllers_.random_controller();
    if (controller.state != Controller::State::up) return;
    controller.clients->send_incomplete_requests(12);
    controller.clients->open_idle_connections(60);
    for (int i = 0; i < 3; ++i) controller.clients->send_malformed_bytes_after_request();
}

void FaultSchedule::leave_answers_unread(Time) {
    Controller& controller = controllers_.random_controller();
    if (controller.state == Controller::State::up) controller.clients->send_without_reading(6);
}

void FaultSchedule::replace_one(Time) {
    auto* const invoker = fleet_.random_invoker();
    if (invoker) fleet_.replace(*invoker, context_.random.next() < 0.5 ? Fleet::Removal::kill : Fleet::Removal::drain);
}

void FaultSchedule::replace_third(Time) {
    const std::size_t replaced = fleet_.active_invokers() / 3;
    for (std::size_t i = 0; i < replaced; ++i)
        context_.after(context_.random_time(0ms, 1500ms), [this] { replace_one({}); });
}

void FaultSchedule::pause_invoker(Time duration) {
    if (auto* const invoker = fleet_.random_invoker()) fleet_.pause(*invoker, duration);
}

void FaultSchedule::set_network(NetworkState state, Time duration, std::size_t invokers) {
    for (std::size_t i = 0; i < invokers; ++i)
        if (auto* const invoker = fleet_.random_invoker()) {
            InvokerControl& control = fleet_.control(*invoker);
            control.network = state;
            context_.after(duration, [&control] { control.network = NetworkState::up; });
        }
}

void FaultSchedule::partition_network(Time duration) {
    set_network(NetworkState::partitioned, duration, 1 + context_.random_index(4));
}

void FaultSchedule::leave_unread(Time duration) {
    set_network(NetworkState::unread, duration, 1 + context_.random_index(2));
}

void FaultSchedule::refuse_connections(Time duration) {
    set_network(NetworkState::refusing, duration, 1 + context_.random_index(3));
}

void FaultSchedule::reset_connections(Time) {
    for (std::size_t i = 0; i < 1 + context_.random_index(4); ++i)
        if (auto* const invoker = fleet_.random_invoker()) ++fleet_.control(*invoker).reset_count;
}

void FaultSchedule::close_idle_connections(Time duration) {
    for (Time at{}; at < duration; at += idle_close_interval)
        context_.after(at, [this] {
            for (const auto& invoker : fleet_.invokers()) ++fleet_.control(*invoker).idle_close_count;
        });
}

void FaultSchedule::set_for_some(std::atomic<std::uint32_t> InvokerControl::*field, std::uint32_t value,
                                 std::uint32_t normal, Time duration) {
    for (std::size_t i = 0; i < 1 + context_.random_index(3); ++i)
        if (auto* const invoker = fleet_.random_invoker()) {
            InvokerControl& control = fleet_.control(*invoker);
            control.*field = value;
            context_.after(duration, [&control, field, normal] { control.*field = normal; });
        }
}

void FaultSchedule::fail_runs(Time duration) {
    set_for_some(&InvokerControl::failing, 600'000, 0, duration);
}

void FaultSchedule::duplicate_answers(Time duration) {
    set_for_some(&InvokerControl::duplicating, 800'000, 0, duration);
}

void FaultSchedule::reject_runs(Time duration) {
    set_for_some(&InvokerControl::rejecting, 500'000, 0, duration);
}

void FaultSchedule::drop_answers(Time duration) {
    set_for_some(&InvokerControl::unanswered, 500'000, 0, duration);
}

void FaultSchedule::slow_runs(Time duration) {
    set_for_some(&InvokerControl::run_time_percent, 800, 100, duration);
}

void FaultSchedule::stop_discovery(Time duration) {
    fleet_.interrupt_discovery(2 * duration);
}

}  // namespace plumkeel::soak
