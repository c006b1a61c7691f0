#include "soak/controller_set.hpp"

#include <fmt/format.h>

#include <csignal>
#include <fstream>

#include "soak/controller_config.hpp"

namespace plumkeel::soak {
namespace {

using namespace std::chrono_literals;
using faults::Call;
using faults::Process;
using net::Time;

constexpr std::uint16_t controller_port = 7001;
constexpr Time poll_interval = 10ms;
constexpr std::int64_t min_client_pause_us = 50'000;  // a shorter delay of poll() isn't recorded as a pause
constexpr Time sending_duration_after_termination = 400ms;
constexpr std::uint64_t request_ids_per_run = 1'000'000;
constexpr std::uint64_t max_logged_violations = 5;
constexpr std::string_view invariant_event = "\"invariant_broken\"";

// Gives every fourth controller a low limit of open file descriptors, so that it must close connections to open others.
int descriptor_limit(std::uint32_t number) {
    return number % 4 == 3 ? 88 : 256;
}

std::string describe_end(const ControllerRun& run, const faults::Ending& ending) {
    const std::int64_t lifetime_ms = (run.ended_us - run.started_us) / 1000;
    std::string termination;
    if (run.termination_requested_us != never)
        termination = fmt::format(", {} ms after SIGTERM,", (run.ended_us - run.termination_requested_us) / 1000);
    return fmt::format("ended {} ms after its start{} with {} {}", lifetime_ms, termination,
                       ending.exited ? "status" : "signal", ending.code);
}

}  // namespace

std::string ControllerSet::log_file(const Controller& controller) const {
    return context_.path(fmt::format("controller-{}.log", controller.number));
}

std::string ControllerSet::config_file(const Controller& controller) const {
    return context_.path(fmt::format("controller-{}.json", controller.number));
}

void ControllerSet::start_all() {
    for (std::uint32_t number = 0; number < context_.options.controller_count; ++number) {
        Controller& controller = controllers_.emplace_back();
        controller.number = number;
        controller.address = {loopback_host(HostGroup::controllers, number), controller_port};
        controller.fault_plan = std::make_unique<faults::PlanFile>(context_.path(fmt::format("faults-{}", number)));
        controller.fault_plan->plan().seed = context_.options.seed * 1000 + number;
        start(controller);
    }
}

void ControllerSet::write_config(const Controller& controller) {
    write_controller_config(config_file(controller),
                            {controller.number, controller.address, Fleet::discovery_address(discovery_service_index_),
                             descriptor_limit(controller.number), fleet_.known_endpoints_json()},
                            context_);
}

void ControllerSet::start(Controller& controller) {
    write_config(controller);
    controller.fault_plan->heal();
    start_process(controller);
    ++controller.run_index;
    controller.state = Controller::State::starting;
    controller.paused = false;
    context_.history.controllers[controller.number].emplace_back().started_us = now_us();
    start_clients(controller);
}

void ControllerSet::start_process(Controller& controller) {
    const std::string command =
        fmt::format("trap '' HUP; ulimit -n {}; exec \"$0\" platform", descriptor_limit(controller.number));
    controller.process = std::make_unique<Process>(
        std::vector<std::string>{"/bin/sh", "-c", command, context_.options.controller_program},
        std::map<std::string, std::string>{{"EDGE_CONFIG", config_file(controller)},
                                           {"PLUMKEEL_LOG", "debug"},
                                           {"LD_PRELOAD", context_.options.fault_preload_library},
                                           {faults::plan_variable, controller.fault_plan->path()},
                                           {"ASAN_OPTIONS", "verify_asan_link_order=0:detect_leaks=0"}},
        log_file(controller));
}

void ControllerSet::start_clients(Controller& controller) {
    ClientOptions options;
    options.controller = controller.address;
    options.controller_number = controller.number;
    options.controller_run_index = static_cast<std::uint32_t>(controller.run_index);
    options.requests_per_second = context_.options.requests_per_second;
    options.seed = context_.options.seed * 7919 + controller.number * 131 + options.controller_run_index;
    options.request_id_base =
        (static_cast<std::uint64_t>(controller.number + 1) * 1000 + options.controller_run_index) * request_ids_per_run;
    controller.clients = std::make_unique<Clients>(context_.loop, options, context_.history.requests);
    controller.clients->start([this, &controller] {
        if (controller.state == Controller::State::starting) controller.state = Controller::State::up;
        current_run(controller).ready = true;
        if (context_.winding_down) controller.clients->stop_sending();
    });
}

void ControllerSet::kill(Controller& controller) {
    if (controller.state == Controller::State::ending) return;
    resume(controller);
    controller.state = Controller::State::ending;
    controller.clients->handle_controller_killed();
    current_run(controller).killed = true;
    controller.process->signal(SIGKILL);
}

void ControllerSet::terminate(Controller& controller) {
    if (controller.state != Controller::State::up) return;
    controller.state = Controller::State::ending;
    current_run(controller).termination_requested_us = now_us();
    controller.process->signal(SIGTERM);
    Clients* const clients = controller.clients.get();
    context_.call_after(sending_duration_after_termination, [&controller, clients] {
        if (controller.clients.get() == clients) clients->stop_sending();
    });
}

void ControllerSet::pause(Controller& controller, Time duration) {
    const bool has_ended = current_run(controller).ended_us != never;
    if (controller.state == Controller::State::starting || controller.paused || has_ended) return;
    controller.paused = true;
    controller.paused_at_us = now_us();
    controller.process->signal(SIGSTOP);
    context_.call_after(duration, [this, &controller, run_index = controller.run_index] {
        if (controller.run_index == run_index) resume(controller);
    });
}

void ControllerSet::resume(Controller& controller) {
    if (!std::exchange(controller.paused, false)) return;
    current_run(controller).pauses.push_back({controller.paused_at_us, now_us()});
    controller.process->signal(SIGCONT);
}

void ControllerSet::reload_all() {
    for (Controller& controller : controllers_) {
        if (current_run(controller).ended_us != never) continue;
        write_config(controller);
        controller.process->signal(SIGHUP);
    }
}

void ControllerSet::poll() {
    const std::int64_t now = now_us(), due = std::exchange(poll_due_us_, now + poll_interval / 1us);
    if (due > 0 && now - due > min_client_pause_us) context_.history.client_pauses.push_back({due, now});
    for (Controller& controller : controllers_) poll(controller);
    context_.call_after(poll_interval, [this] { poll(); });
}

void ControllerSet::poll(Controller& controller) {
    const auto ending = controller.process->ended();
    if (!ending || current_run(controller).ended_us != never) return;
    record_end(controller, *ending);
    controller.clients->stop_sending();
    former_clients_.push_back(std::move(controller.clients));
    ++restarts_;
    if (context_.winding_down) return;
    context_.call_after(context_.random_time(50ms, 400ms), [this, &controller] {
        if (!context_.winding_down) start(controller);
    });
}

void ControllerSet::record_end(Controller& controller, const faults::Ending& ending) {
    ControllerRun& run = current_run(controller);
    run.ended_us = now_us();
    controller.state = Controller::State::ending;
    const bool terminated_as_requested = run.termination_requested_us != never && ending.exited && ending.code == 0;
    if (run.killed || terminated_as_requested) return;
    run.crash_reason = describe_end(run, ending);
    controller.clients->handle_controller_killed();
    context_.log(fmt::format("controller {} {}", controller.number, run.crash_reason));
}

void ControllerSet::clear_faults() {
    for (Controller& controller : controllers_) {
        resume(controller);
        controller.fault_plan->heal();
        if (controller.clients && controller.state != Controller::State::starting) controller.clients->stop_sending();
    }
}

void ControllerSet::terminate_all() {
    for (Controller& controller : controllers_)
        if (controller.state == Controller::State::up) terminate(controller);
}

std::map<std::string, std::uint64_t> ControllerSet::finish() {
    static const std::map<std::string, Call> calls_by_name = {{"accept", Call::accept},
                                                              {"connect", Call::connect},
                                                              {"send", Call::send},
                                                              {"receive", Call::receive},
                                                              {"wait", Call::wait}};
    std::map<std::string, std::uint64_t> failed_call_counts;
    for (Controller& controller : controllers_) {
        ControllerRun& run = current_run(controller);
        if (run.ended_us == never && run.termination_requested_us != never)
            run.crash_reason = "did not end after SIGTERM";
        count_invariant_violations(controller);
        for (const auto& [name, call] : calls_by_name)
            failed_call_counts[name] += controller.fault_plan->rule(call).failed;
    }
    return failed_call_counts;
}

void ControllerSet::count_invariant_violations(const Controller& controller) {
    std::uint64_t& violations = context_.history.invariant_violations;
    std::ifstream log(log_file(controller));
    for (std::string line; std::getline(log, line);) {
        if (line.find(invariant_event) == std::string::npos) continue;
        if (++violations <= max_logged_violations) context_.log(line);
    }
}

}  // namespace plumkeel::soak
