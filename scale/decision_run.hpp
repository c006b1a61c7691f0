/// Runs a DecisionCase: submits its requests and causes its disturbance.
#pragma once

#include "scale/decisions.hpp"
#include "scale/popularity.hpp"

namespace plumkeel::scale {

/// The scheduler's counts of its work to choose invokers; all 0 if the scheduler does not count it.
struct PlacementWork {
    double placements{},  // searches for an invoker
        examined{},       // invokers that a placement checked for whether they may be sent attempts
        scored{},         // invokers for which a placement estimated the completion time
        hashed{},         // invokers for which the placement index computed a rank
        swept{};          // invokers visited by sweeps and by updates of the endpoint list
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
    /// The number of requests that Disturbance::parked_functions has parked.
    std::size_t parked() const { return parked_; }

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
