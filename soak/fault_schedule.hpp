/// Starts faults of random kinds at random times during a soak run. Faults may overlap.
#pragma once

#include <atomic>
#include <map>
#include <string>
#include <vector>

#include "soak/controller_set.hpp"
#include "soak/fleet.hpp"
#include "soak/run_context.hpp"

namespace plumkeel::soak {

class FaultSchedule {
public:
    FaultSchedule(RunContext& context, Fleet& fleet, ControllerSet& controllers)
        : context_(context), fleet_(fleet), controllers_(controllers) {}

    /// Starts one random fault and schedules the next call of this function.
    void start_next();
    /// Returns how often each fault was started, by its name.
    const std::map<std::string, int>& counts() const { return counts_; }
    static std::vector<std::string> names();

private:
    using Controller = ControllerSet::Controller;
    struct Fault {
        const char* name;
        void (FaultSchedule::*start)(net::Time duration);
    };
    static const std::vector<Fault>& all_faults();

    // Faults of controllers.
    void pause_some_controllers(net::Time duration);
    void pause_all_controllers(net::Time duration);
    void terminate_one_controller(net::Time);
    void terminate_all_controllers(net::Time);
    void kill_one_controller(net::Time);
    void reload_all_controllers(net::Time);
    void step_wall_clock(net::Time);
    void fail_system_calls(net::Time duration);
    void shorten_transfers(net::Time duration);
    // Faults of clients.
    void start_faulty_clients(net::Time);
    void leave_answers_unread(net::Time);
    // Faults of invokers, of the network to them, and of discovery.
    void replace_one_invoker(net::Time);
    void replace_third_of_invokers(net::Time);
    void pause_invoker(net::Time duration);
    void partition_network(net::Time duration);
    void stop_reading_from_controllers(net::Time duration);
    void refuse_connections(net::Time duration);
    void reset_connections(net::Time);
    void close_idle_connections(net::Time duration);
    void fail_runs(net::Time duration);
    void duplicate_answers(net::Time duration);
    void reject_runs(net::Time duration);
    void slow_runs(net::Time duration);
    void drop_answers(net::Time duration);
    void stop_discovery(net::Time duration);

    void set_network(NetworkState state, net::Time duration, std::size_t invoker_count);
    void set_for_random_invokers(std::atomic<std::uint32_t> InvokerControl::*field, std::uint32_t value,
                                 std::uint32_t normal_value, net::Time duration);

    RunContext& context_;
    Fleet& fleet_;
    ControllerSet& controllers_;
    std::map<std::string, int> counts_;
};

}  // namespace plumkeel::soak
