/// The controller processes of a soak run and their clients. A controller that has ended is restarted.
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
        std::unique_ptr<faults::PlanFile> fault_plan;
        std::unique_ptr<faults::Process> process;
        std::unique_ptr<Clients> clients;
        enum class State { starting, up, ending } state{};
        int run_index = -1;  // index of the current run in RunHistory::controllers; -1 before the first start
        bool paused{};
        std::int64_t paused_at_us{};
    };

    ControllerSet(RunContext& context, Fleet& fleet) : context_(context), fleet_(fleet) {}

    /// Starts all controllers. Throws std::exception if a process can't be started.
    void start_all();
    /// Restarts controllers whose processes have ended, and schedules the next poll.
    void poll();

    Controller& random_controller() { return controllers_[context_.random_index(controllers_.size())]; }
    std::deque<Controller>& controllers() { return controllers_; }
    std::uint64_t restarts() const { return restarts_; }

    void kill(Controller& controller);
    void terminate(Controller& controller);
    void pause(Controller& controller, net::Time duration);
    /// Selects the other discovery service for settings files that are written later.
    void switch_discovery() { discovery_service_index_ = 1 - discovery_service_index_; }
    /// Rewrites the settings files and makes all running controllers read them again.
    void reload_all();

    void clear_faults();
    void terminate_all();
    /// Completes the history at the end of the run. Returns how often each kind of system call was made to fail.
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
    std::vector<std::unique_ptr<Clients>>
        former_clients_;  // clients of controllers that have ended; may still get answers
    std::uint64_t restarts_{};
    std::uint32_t discovery_service_index_{};
    std::int64_t poll_due_us_{};
};

}  // namespace plumkeel::soak
