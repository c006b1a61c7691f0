/// One run of a DecisionCase: its requests and its disturbance.
#pragma once

#include "scale/decisions.hpp"
#include "scale/popularity.hpp"

namespace plumkeel::scale {

/// What the search for invokers cost, where the scheduler counts it.
struct PlacementWork {
    double placements{}, examined{}, scored{}, hashed{}, swept{};
};

struct DecisionSnapshot {
    HostCounts counts;
    PlacementWork work;
    std::uint64_t allocations{};
};

class DecisionRun {
public:
    explicit DecisionRun(const DecisionCase& decision_case);
    void run_until(Time time) { events_.run_until(time); }
    DecisionSnapshot snapshot() const;
    SchedulerHost& host() { return host_; }
    std::size_t parked() const { return parked_; }  // by Disturbance::parked_functions

private:
    void schedule_request();
    void schedule_disturbance();
    void restart_invoker(std::size_t invoker);
    void set_zone_up(bool up);
    void park_functions();
    void set_all_ready(bool ready);
    void change_capacities();

    const DecisionCase case_;
    EventQueue events_;
    ModelledFleet fleet_;
    SchedulerHost host_;
    const Popularity popularity_;
    Pcg random_;
    SchedulerHost::FunctionNumber next_new_function_{};
    std::size_t parked_{};
};

}  // namespace plumkeel::scale
