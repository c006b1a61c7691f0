/// The controllers of a soak run with their clients: processes that are started again when they have ended.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "emulator/faults/fault_plan.hpp"
#include "emulator/faults/process.hpp"
#include "soak/clients.hpp"
#include "soak/fleet.hpp"
#include "soak/run_context.hpp"

namespace plumkeel::soak {

class ControllerSet {
public:
    struct Controller {
        std::uint32_t number{};
        net::Address address;
        std::unique_ptr<faults::PlanFile> faults;
        std::unique_ptr<faults::Process> process;
        std::unique_ptr<Clients> clients;
        enum class State { starting, up, ending } state{};
        int run = -1;  // counts its starts
        bool paused{};
        std::int64_t paused_at_us{};
    };

    ControllerSet(RunContext& context, Fleet& fleet) : context_(context), fleet_(fleet) {}

    /// Throws std::exception where a process can't be started.
    void start_all();
    /// Looks for processes that have ended and has them started again; calls itself again.
    void poll();

    Controller& random_controller() { return controllers_[context_.random_index(controllers_.size())]; }
    std::deque<Controller>& controllers() { return controllers_; }
    std::uint64_t restarts() const { return restarts_; }

    void kill(Controller& controller);
    void terminate(Controller& controller);
    void pause(Controller& controller, net::Time duration);
    /// Lets the settings name the other discovery service from now on.
    void switch_discovery() { discovery_ = 1 - discovery_; }
    /// Has all read their settings again.
    void reload_all();

    void clear_faults();
    void terminate_all();
    /// At the end of the run: completes the history. Returns the counts of system calls that failed, by name.
    std::map<std::string, std::uint64_t> finish();

private:
    void start(Controller& controller);
    void start_process(Controller& controller);
    void start_clients(Controller& controller);
    void write_config(const Controller& controller);
    void resume(Controller& controller);
    void poll(Controller& controller);
    void record_end(Controller& controller, const faults::Ending& ending);
    void count_invariant_violations(const Controller& controller);
    ControllerRun& current_run(const Controller& controller) {
        return context_.history.controllers[controller.number].back();
    }
    std::string log_file(const Controller& controller) const;
    std::string config_file(const Controller& controller) const;

    RunContext& context_;
    Fleet& fleet_;
    std::deque<Controller> controllers_;
    std::vector<std::unique_ptr<Clients>> former_clients_;  // still waiting for answers
    std::uint64_t restarts_{};
    std::uint32_t discovery_{};
    std::int64_t poll_due_us_{};
};

}  // namespace plumkeel::soak
