#include "scheduler/outlier_detection.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

constexpr int timeouts_to_eject = 2;
constexpr int resets_to_suspect = 2;
constexpr int successes_to_recover = 2;
/// A recovering invoker may have this many attempts in flight at first, and one more after each response.
constexpr int initial_recovery_limit = 2;
/// A recovering invoker is healthy again when its limit reaches this number.
constexpr int recovery_limit_when_healthy = 8;
/// Without health checks, an ejection ends after a fixed time, and the invoker may then have this many attempts in
/// flight.
constexpr int unprobed_recovery_limit = 1;
constexpr Time unprobed_ejection_time = 2s;
/// An invoker that is ejected for longer than this is assumed to have lost its cached copies.
constexpr Time assumed_down_ejection_time = 3s;
/// Panic mode holds while a smaller share of the ready invokers is healthy.
constexpr double min_healthy_share = 0.34;
constexpr double error_rate_gain_per_response = 0.12;
/// A sweep is the scheduler's periodic pass over the invokers that have attempts in flight, are unhealthy or had
/// errors. Each sweep multiplies the error rates of these invokers by this factor.
constexpr double error_rate_decay_factor = 0.95;
constexpr double negligible_error_rate = 1e-6;

}  // namespace

void OutlierDetection::record_success(Invoker& invoker) {
    InvokerHealth& health = invoker.health;
    health.last_response_at = context_.now;
    health.consecutive_timeouts = health.consecutive_resets = 0;
    ++health.consecutive_successes;
    switch (health.state) {
        case HealthState::healthy:
            break;
        case HealthState::suspect:
            set_state(invoker, HealthState::healthy);
            break;
        case HealthState::ejected:
            // The invoker may have restarted before the endpoint list reports it, so it gets a slow start (incident
            // i4386e0). If only its connection was interrupted, it is used less than possible until the slow start
            // ends.
            if (health.is_down) slow_start_.begin(invoker, context_.now);
            health.is_down = false;
            if (health.consecutive_successes < successes_to_recover) break;
            set_state(invoker, HealthState::recovering);
            health.recovery_limit = initial_recovery_limit;
            break;
        case HealthState::recovering:
            if (++health.recovery_limit >= recovery_limit_when_healthy) set_state(invoker, HealthState::healthy);
            break;
    }
}

void OutlierDetection::record_failure(Invoker& invoker, bool is_certain) {
    InvokerHealth& health = invoker.health;
    health.consecutive_successes = 0;
    ++health.consecutive_timeouts;
    const bool is_ejected = health.state == HealthState::ejected;
    if (!is_ejected && (is_certain || health.consecutive_timeouts >= timeouts_to_eject)) {
        set_state(invoker, HealthState::ejected);
        health.ejected_at = context_.now;
    } else if (!is_ejected) {
        set_state(invoker, HealthState::suspect);
        if (context_.capabilities.health_checks && !health.probe_pending) prober_.send(invoker);
    }
    if (is_certain && !health.is_down) {
        health.is_down = true;
        invoker_registry_.assume_restarted(invoker);
    }
}

bool OutlierDetection::record_reset(Invoker& invoker) {
    return ++invoker.health.consecutive_resets >= resets_to_suspect;
}

void OutlierDetection::attribute_errors(const Attempt& succeeded) {
    record_response_quality(*succeeded.invoker, false);
    for (const Attempt& other_attempt : succeeded.request->attempts)
        if (other_attempt.invoker != succeeded.invoker && other_attempt.outcome == AttemptOutcome::failed)
            record_response_quality(*other_attempt.invoker, true);
}

void OutlierDetection::record_response_quality(Invoker& invoker, bool was_error) {
    invoker.health.error_rate += error_rate_gain_per_response * ((was_error ? 1 : 0) - invoker.health.error_rate);
    context_.refresh_fleet_entry(invoker);
}

void OutlierDetection::review(Invoker& invoker) {
    InvokerHealth& health = invoker.health;
    if (health.error_rate > 0) {
        const double decayed = health.error_rate * error_rate_decay_factor;
        health.error_rate = decayed < negligible_error_rate ? 0 : decayed;
        context_.refresh_fleet_entry(invoker);
    }
    if (health.state != HealthState::ejected) return;
    const Time ejected_for = context_.now - health.ejected_at;
    if (ejected_for > assumed_down_ejection_time && !health.is_down) {
        health.is_down = true;
        invoker_registry_.assume_restarted(invoker);
    }
    if (!context_.capabilities.health_checks && ejected_for > unprobed_ejection_time) {
        set_state(invoker, HealthState::recovering);
        health.recovery_limit = unprobed_recovery_limit;
    }
}

void OutlierDetection::update_panic_mode(const FleetTotals& totals) {
    panic_mode_ = static_cast<double>(totals.healthy) < min_healthy_share * static_cast<double>(totals.ready);
}

ExclusionReason OutlierDetection::exclusion(const Invoker& invoker) const {
    const InvokerHealth& health = invoker.health;
    if (panic_mode_) return ExclusionReason::none;
    if (health.is_error_prone()) return ExclusionReason::unhealthy;
    if (health.state == HealthState::healthy) return ExclusionReason::none;
    if (health.state != HealthState::recovering) return ExclusionReason::unhealthy;
    const bool is_below_recovery_limit = static_cast<int>(invoker.in_flight.size()) < health.recovery_limit;
    return is_below_recovery_limit ? ExclusionReason::none : ExclusionReason::recovery_limit;
}

void OutlierDetection::set_state(Invoker& invoker, HealthState state) {
    invoker.health.state = state;
    context_.refresh_fleet_entry(invoker);
}

}  // namespace plumkeel
