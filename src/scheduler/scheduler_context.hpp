/// What the parts of one scheduler share: the deployment's rules, the present moment, the tables of invokers and
/// functions, the timers, the random numbers and the actions of the call in progress.
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

/// How often the scheduler does its periodic work: often enough to notice an unresponsive invoker within a second.
constexpr Time sweep_period = std::chrono::milliseconds(250);

/// Counts of what decisions cost, over the scheduler's life. They do not depend on the machine.
struct DecisionWork {
    std::uint64_t placements{};
    std::uint64_t examined{};  ///< invokers checked for whether they may be sent anything
    std::uint64_t scored{};    ///< of these, those whose completion time was estimated
    std::uint64_t hashed{};    ///< invokers ranked for a function
    std::uint64_t swept{};     ///< invokers visited by periodic work or because of an endpoint list
};

struct SchedulerContext {
    SchedulerContext(std::uint64_t seed, const SafetyRules& safety_rules, const Capabilities& deployment_capabilities);

    /// From 0 up to 1. The order of these draws is part of a recorded trace: it must not change.
    double random_unit() { return random.next(); }
    /// The weight of an invoker in the order of home invokers that all controllers share.
    double placement_weight(const Invoker& invoker) const;
    /// Brings the fleet's totals and the lists of the periodic work in step with the invoker's state. To be called
    /// after each change of its readiness, health, slow start or attempts in flight.
    void refresh_fleet_entry(Invoker& invoker);

    const SafetyRules rules;
    const Capabilities capabilities;
    Pcg random;
    Time now{};
    Time resumed_at{};  ///< when this process went on after its last stall: attempts sent before teach nothing
    FleetTable fleet;
    FunctionTable functions;
    PlacementIndex placement_index;
    TimerQueue timers;
    DecisionWork work;
    DecisionTrace trace;
    Actions actions;
};

}  // namespace plumkeel
