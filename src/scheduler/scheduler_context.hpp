/// State that all parts of one scheduler share: the deployment's settings, the current time, the tables of invokers and
/// functions, the timers, the random number generator and the actions of the call in progress.
#pragma once

#include <cstdint>

#include "random/pcg.hpp"
#include "scheduler/decision_trace.hpp"
#include "scheduler/fleet_table.hpp"
#include "scheduler/function_table.hpp"
#include "scheduler/placement_index.hpp"
#include "scheduler/timer_queue.hpp"
#include "scheduler/types.hpp"

namespace plumkeel {

/// The interval of the scheduler's periodic work, called a sweep. It is short enough to notice an unresponsive invoker
/// within a second.
constexpr Time sweep_period = std::chrono::milliseconds(250);

/// Counts of the work done for decisions over the scheduler's life. They are the same on every machine.
struct DecisionWork {
    std::uint64_t placements{};
    /// Invokers that a placement checked for whether they may be sent attempts.
    std::uint64_t examined{};
    /// Invokers for which a placement estimated the completion time.
    std::uint64_t scored{};
    /// Invokers for which the placement index computed a rank.
    std::uint64_t hashed{};
    /// Invokers visited by sweeps and by updates of the endpoint list.
    std::uint64_t swept{};
};

struct SchedulerContext {
    SchedulerContext(std::uint64_t seed, const SafetyRules& safety_rules, const Capabilities& deployment_capabilities);

    /// A random number in [0, 1). Replaying a recorded trace needs the same draws in the same order.
    double random_unit() { return random.next(); }
    /// The weight of an invoker in the placement index, which all controllers compute alike.
    double placement_weight(const Invoker& invoker) const;
    /// Updates the fleet's totals and the invoker's place in the lists of the fleet table. Must be called after each
    /// change of the invoker's readiness, health, slow start or attempts in flight.
    void refresh_fleet_entry(Invoker& invoker);

    const SafetyRules rules;
    const Capabilities capabilities;
    Pcg random;
    Time now{};
    /// When this process continued after its last stall. Durations of attempts sent before then say nothing about
    /// invokers.
    Time last_stall_end{};
    FleetTable fleet;
    FunctionTable functions;
    PlacementIndex placement_index;
    TimerQueue timers;
    DecisionWork work;
    DecisionTrace trace;
    Actions actions;
};

}  // namespace plumkeel
