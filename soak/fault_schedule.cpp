#include "soak/fault_schedule.hpp"

#include <fmt/format.h>

#include <csignal>

namespace plumkeel::soak {
namespace {

using namespace std::chrono_literals;
using faults::Call;
using net::Time;

constexpr Time shortest_fault = 200ms, longest_fault = 2500ms;
constexpr std::uint32_t short_transfers_per_million = 300'000;
constexpr Time idle_close_interval = 100ms;

}  // namespace

const std::vector<FaultSchedule::Fault>& FaultSchedule::all_faults() {
    static const std::vector<Fault> faults = {
        {"pause", &FaultSchedule::pause_some_controllers},
        {"term", &FaultSchedule::terminate_one_controller},
        {"kill", &FaultSchedule::kill_one_controller},
        {"reload", &FaultSchedule::reload_all_controllers},
        {"wall", &FaultSchedule::step_wall_clock},
        {"calls", &FaultSchedule::fail_system_calls},
        {"short", &FaultSchedule::shorten_transfers},
        {"replace", &FaultSchedule::replace_one_invoker},
        {"release", &FaultSchedule::replace_third_of_invokers},
        {"hang", &FaultSchedule::pause_invoker},
        {"cut", &FaultSchedule::partition_network},
        {"unread", &FaultSchedule::stop_reading_from_controllers},
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
        {"freeze", &FaultSchedule::pause_all_controllers},
        {"unread-answers", &FaultSchedule::leave_answers_unread},
        {"term-all", &FaultSchedule::terminate_all_controllers},
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
    std::vector<Fault> enabled_faults;
    for (const Fault& fault : all_faults())
        if (options.only_faults.empty() || options.only_faults.count(fault.name)) enabled_faults.push_back(fault);
    const Fault& fault = enabled_faults[context_.random_index(enabled_faults.size())];
    const Time duration = context_.random_time(shortest_fault, longest_fault);
    ++counts_[fault.name];
    context_.log(fmt::format("fault {}: duration {} ms", fault.name, duration / 1ms));
    (this->*fault.start)(duration);
    context_.call_after(context_.random_time(std::chrono::milliseconds(options.max_fault_gap_ms / 4),
                                             std::chrono::milliseconds(options.max_fault_gap_ms)),
                        [this] { start_next(); });
}

// Pauses 1 to 3 controllers: the loop condition draws a new random number in each iteration.
void FaultSchedule::pause_some_controllers(Time duration) {
    for (std::size_t i = 0; i < 1 + context_.random_index(3); ++i)
        controllers_.pause(controllers_.random_controller(), duration);
}

void FaultSchedule::pause_all_controllers(Time duration) {
    for (Controller& controller : controllers_.controllers()) controllers_.pause(controller, duration);
}

void FaultSchedule::terminate_all_controllers(Time) {
    int order = 0;
    for (Controller& controller : controllers_.controllers())
        context_.call_after(order++ * context_.random_time(20ms, 300ms),
                            [this, &controller] { controllers_.terminate(controller); });
}

// With a probability of 30%, sends SIGHUP or a second SIGTERM while the controller terminates.
void FaultSchedule::terminate_one_controller(Time) {
    Controller& controller = controllers_.random_controller();
    controllers_.terminate(controller);
    if (context_.random.next() >= 0.3) return;
    context_.call_after(context_.random_time(0ms, 900ms), [this, &controller, run_index = controller.run_index] {
        if (controller.run_index == run_index)
            controller.process->signal(context_.random.next() < 0.5 ? SIGHUP : SIGTERM);
    });
}

void FaultSchedule::kill_one_controller(Time) {
    controllers_.kill(controllers_.random_controller());
}

void FaultSchedule::reload_all_controllers(Time) {
    controllers_.switch_discovery();
    const int reloads = 1 + static_cast<int>(context_.random_index(3));
    for (int i = 0; i < reloads; ++i)
        context_.call_after(i * context_.random_time(1ms, 60ms), [this, i] {
            if (i % 2) controllers_.switch_discovery();
            controllers_.reload_all();
        });
}

void FaultSchedule::step_wall_clock(Time) {
    const std::int64_t steps_us[] = {3'600'000'000, -3'600'000'000, 7'000'000, -7'000'000};
    const std::int64_t step_us = steps_us[context_.random_index(std::size(steps_us))];
    for (Controller& controller : controllers_.controllers())
        if (context_.random.next() < 0.5) controller.fault_plan->plan().wall_ahead_us += step_us;
}

void FaultSchedule::fail_system_calls(Time duration) {
    Controller& controller = controllers_.random_controller();
    const auto rate_per_million = static_cast<std::uint32_t>(10'000 + context_.random.next() * 90'000);
    faults::PlanFile& plan = *controller.fault_plan;
    plan.fail(Call::accept, rate_per_million, {ECONNABORTED, ENFILE, ENOBUFS, EMFILE, EINTR, EPROTO});
    plan.fail(Call::connect, rate_per_million,
              {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, EINTR, ECONNREFUSED});
    plan.fail(Call::send, rate_per_million, {EINTR, ENOBUFS, ENOMEM});
    plan.fail(Call::receive, rate_per_million, {EINTR, ENOMEM});
    plan.fail(Call::wait, rate_per_million, {EINTR});
    context_.call_after(duration, [&plan] { plan.heal(); });
}

void FaultSchedule::shorten_transfers(Time duration) {
    faults::PlanFile& plan = *controllers_.random_controller().fault_plan;
    plan.cut_short(Call::send, short_transfers_per_million);
    plan.cut_short(Call::receive, short_transfers_per_million);
    context_.call_after(duration, [&plan] { plan.heal(); });
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

void FaultSchedule::replace_one_invoker(Time) {
    auto* const invoker = fleet_.random_invoker();
    if (invoker) fleet_.replace(*invoker, context_.random.next() < 0.5 ? Fleet::Removal::kill : Fleet::Removal::drain);
}

void FaultSchedule::replace_third_of_invokers(Time) {
    const std::size_t replaced_count = fleet_.active_invoker_count() / 3;
    for (std::size_t i = 0; i < replaced_count; ++i)
        context_.call_after(context_.random_time(0ms, 1500ms), [this] { replace_one_invoker({}); });
}

void FaultSchedule::pause_invoker(Time duration) {
    if (auto* const invoker = fleet_.random_invoker()) fleet_.pause(*invoker, duration);
}

void FaultSchedule::set_network(NetworkState state, Time duration, std::size_t invoker_count) {
    for (std::size_t i = 0; i < invoker_count; ++i)
        if (auto* const invoker = fleet_.random_invoker()) {
            InvokerControl& control = fleet_.control(*invoker);
            control.network = state;
            context_.call_after(duration, [&control] { control.network = NetworkState::up; });
        }
}

void FaultSchedule::partition_network(Time duration) {
    set_network(NetworkState::partitioned, duration, 1 + context_.random_index(4));
}

void FaultSchedule::stop_reading_from_controllers(Time duration) {
    set_network(NetworkState::reading_stopped, duration, 1 + context_.random_index(2));
}

void FaultSchedule::refuse_connections(Time duration) {
    set_network(NetworkState::refusing, duration, 1 + context_.random_index(3));
}

void FaultSchedule::reset_connections(Time) {
    for (std::size_t i = 0; i < 1 + context_.random_index(4); ++i)
        if (auto* const invoker = fleet_.random_invoker()) ++fleet_.control(*invoker).reset_count;
}

void FaultSchedule::close_idle_connections(Time duration) {
    for (Time delay{}; delay < duration; delay += idle_close_interval)
        context_.call_after(delay, [this] {
            for (const auto& invoker : fleet_.invokers()) ++fleet_.control(*invoker).idle_close_count;
        });
}

void FaultSchedule::set_for_random_invokers(std::atomic<std::uint32_t> InvokerControl::*field, std::uint32_t value,
                                            std::uint32_t normal_value, Time duration) {
    for (std::size_t i = 0; i < 1 + context_.random_index(3); ++i)
        if (auto* const invoker = fleet_.random_invoker()) {
            InvokerControl& control = fleet_.control(*invoker);
            control.*field = value;
            context_.call_after(duration, [&control, field, normal_value] { control.*field = normal_value; });
        }
}

void FaultSchedule::fail_runs(Time duration) {
    set_for_random_invokers(&InvokerControl::failures_per_million, 600'000, 0, duration);
}

void FaultSchedule::duplicate_answers(Time duration) {
    set_for_random_invokers(&InvokerControl::duplicates_per_million, 800'000, 0, duration);
}

void FaultSchedule::reject_runs(Time duration) {
    set_for_random_invokers(&InvokerControl::rejections_per_million, 500'000, 0, duration);
}

void FaultSchedule::drop_answers(Time duration) {
    set_for_random_invokers(&InvokerControl::drops_per_million, 500'000, 0, duration);
}

void FaultSchedule::slow_runs(Time duration) {
    set_for_random_invokers(&InvokerControl::run_time_percent, 800, 100, duration);
}

void FaultSchedule::stop_discovery(Time duration) {
    fleet_.interrupt_discovery(2 * duration);
}

}  // namespace plumkeel::soak
