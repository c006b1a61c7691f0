/// The scheduler that the adapter hosts, without recording of its calls.
#pragma once

#include <memory>

#include "scheduler/scheduler.hpp"
#include "simulator_adapter/scheduler_setup.hpp"

namespace plumkeel::simulator_adapter {

using HostedScheduler = Scheduler;

inline std::unique_ptr<HostedScheduler> make_scheduler(const SchedulerSetup& setup) {
    return std::make_unique<Scheduler>(setup.seed, setup.safety_rules, setup.capabilities);
}

}  // namespace plumkeel::simulator_adapter
