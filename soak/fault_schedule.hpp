/// The faults of a soak run, drawn from its seed: one starts while earlier ones go on.
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

    /// Starts one and schedules the next.
    void start_next();
    /// How often each one was started, by name.
    const std::map<std::string, int>& counts() const { return counts_; }
    static std::vector<std::string> names();

private:
    using Controller = ControllerSet::Controller;
    struct Fault {
        const char* name;
        void (FaultSchedule::*start)(net::Time duration);
    };
    static const std::vector<Fault>& all_faults();

    // Of controllers.
    void pause_some(net::Time duration);
    void pause_all(net::Time duration);
    void terminate_one(net::Time);
    void terminate_all(net::Time);
    void kill_one(net::Time);
    void reload_all(net::Time);
    void step_wall_clock(net::Time);
    void fail_system_calls(net::Time duration);
    void shorten_transfers(net::Time duration);
    // Of clients.
    void start_faulty_clients(net::Time);
    void leave_answers_unread(net::Time);
    // Of invokers, their network and discovery.
    void replace_one(net::Time);
    void replace_third(net::Time);
    void pause_invoker(net::Time duration);
    void partition_network(net::Time duration);
    void leave_unread(net::Time duration);
    void refuse_connections(net::Time duration);
    void reset_connections(net::Time);
    void close_idle_connections(net::Time duration);
    void fail_runs(net::Time duration);
    void duplicate_answers(net::Time duration);
    void reject_runs(net::Time duration);
    void slow_runs(net::Time duration);
    void drop_answers(net::Time duration);
    void stop_discovery(net::Time duration);

    void set_network(NetworkState state, net::Time duration, std::size_t invokers);
    void set_for_some(std::atomic<std::uint32_t> InvokerControl::*field, std::uint32_t value, std::uint32_t normal,
                      net::Time duration);

    RunContext& context_;
    Fleet& fleet_;
    ControllerSet& controllers_;
    std::map<std::string, int> counts_;
};

}  // namespace plumkeel::soak
