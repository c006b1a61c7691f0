#include "scheduler/scheduler_context.hpp"

#include <cmath>

#include "scheduler/hash.hpp"

namespace plumkeel {
namespace {

/// Added to the seed so that the generator's sequence is independent of name hashes, which use the same mix() function.
constexpr std::uint64_t seed_offset = 0x9e3779b97f4a7c15ULL;

}  // namespace

SchedulerContext::SchedulerContext(std::uint64_t seed, const SafetyRules& safety_rules,
                                   const Capabilities& deployment_capabilities)
    : rules(safety_rules), capabilities(deployment_capabilities), random(Pcg::from_state(mix(seed + seed_offset))) {}

double SchedulerContext::placement_weight(const Invoker& invoker) const {
    return capabilities.stable_capacity && invoker.capacity > 0 ? invoker.capacity : 1;
}

void SchedulerContext::refresh_fleet_entry(Invoker& invoker) {
    const bool accepts_requests = invoker.health.accepts_requests();
    FleetContribution contribution;
    contribution.ready = invoker.is_listed && invoker.ready;
    contribution.healthy = accepts_requests && !invoker.health.is_error_prone();
    contribution.warm = invoker.health.state == HealthState::healthy && !invoker.slow_start.since;
    contribution.needs_sweep = !invoker.in_flight.empty() || !accepts_requests || invoker.health.error_rate > 0;
    contribution.attempts = invoker.in_flight.size();
    contribution.micro_capacity = std::llround(invoker.capacity * 1e6);
    fleet.set_contribution(invoker, contribution, invoker.last_used_at);
}

}  // namespace plumkeel
