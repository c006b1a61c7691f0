#include "scheduler/slow_start.hpp"

#include <algorithm>
#include <cmath>

namespace plumkeel {
namespace {

/// The share of the budget that is used. Less than 1 would leave a margin for what a controller cannot see.
constexpr double budget_use_share = 1.0;
constexpr double service_rate_gain_per_sweep = 0.1;

}  // namespace

void SlowStart::begin(Invoker& invoker, Time since) {
    if (!invoker.slow_start.since) {
        invoker.slow_start.attempts.clear();
        invoker.slow_start.budget_rounding_offset = context_.random_unit();
    }
    invoker.slow_start.since = since;
    context_.fleet.set_slow_start(invoker, since);
    context_.refresh_fleet_entry(invoker);
}

void SlowStart::finish(Invoker& invoker) {
    invoker.slow_start.since.reset();
    invoker.slow_start.attempts.clear();
    context_.fleet.clear_slow_start(invoker);
    context_.refresh_fleet_entry(invoker);
}

void SlowStart::finish_expired() {
    const Time latest_start = context_.now - context_.rules.slow_start_duration - context_.rules.slow_start_window;
    while (Invoker* const invoker = context_.fleet.oldest_slow_start(latest_start)) {
        if (invoker->is_listed && invoker->ready)
            finish(*invoker);
        else
            context_.fleet.clear_slow_start(*invoker);
    }
}

bool SlowStart::allows_attempt(Invoker& invoker) {
    if (!invoker.is_listed || !invoker.ready) return false;
    SlowStartState& state = invoker.slow_start;
    if (!state.since) return true;
    const SafetyRules& rules = context_.rules;
    const Time age = context_.now - *state.since;
    if (age >= rules.slow_start_duration + rules.slow_start_window) {
        finish(invoker);
        return true;
    }
    while (!state.attempts.empty() && state.attempts.front() + rules.slow_start_window < context_.now)
        state.attempts.pop_front();
    return static_cast<double>(state.attempts.size()) + 1 <= budget(invoker, age) + state.budget_rounding_offset;
}

/// Attempts allowed in a window. It uses the capacity at the start of the window, which is the lowest in it.
double SlowStart::budget(const Invoker& invoker, Time age) const {
    const SafetyRules& rules = context_.rules;
    const double ramp_progress =
        in_seconds(std::max(Time{}, age - rules.slow_start_window)) / in_seconds(rules.slow_start_duration);
    const double share =
        std::min(1.0, rules.slow_start_initial_share + (1 - rules.slow_start_initial_share) * ramp_progress);
    return budget_use_share * rules.slow_start_rate_multiple * share * service_rate_ * invoker.capacity *
           in_seconds(rules.slow_start_window);
}

void SlowStart::record_attempt(Invoker& invoker) {
    if (invoker.slow_start.since) invoker.slow_start.attempts.push_back(context_.now);
}

void SlowStart::update_service_rate(double warm_capacity) {
    if (warm_capacity > 0) {
        const double current_rate = successes_ / in_seconds(sweep_period) / warm_capacity;
        service_rate_ += service_rate_gain_per_sweep * (current_rate - service_rate_);
    }
    successes_ = 0;
}

double SlowStart::relative_speed(const Invoker& invoker) const {
    if (!invoker.slow_start.since) return 1;
    const SafetyRules& rules = context_.rules;
    const Time age = context_.now - *invoker.slow_start.since;
    const double ramp_progress = std::min(1.0, in_seconds(age) / in_seconds(rules.slow_start_duration));
    return std::sqrt(rules.slow_start_initial_share + (1 - rules.slow_start_initial_share) * ramp_progress);
}

}  // namespace plumkeel
