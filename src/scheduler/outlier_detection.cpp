#include "scheduler/outlier_detection.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

constexpr int timeouts_to_eject = 2;
constexpr int resets_to_suspect = 2;
constexpr int successes_to_recover = 2;     // responses of an ejected invoker
constexpr int initial_recovery_limit = 2;   // attempts in flight while recovering; one more with each response,
constexpr int recovered_limit = 8;          // and from here on it is healthy
constexpr int blind_recovery_limit = 1;     // where no probe may be sent,
constexpr Time blind_ejection = 2s;         // an ejection ends after so long
constexpr Time assumed_down_after = 3s;     // ejected for longer than any stall: its copies are not counted on
constexpr double min_healthy_share = 0.34;  // of the ready invokers; below it panic mode holds
constexpr double error_gain = 0.12;         // of one response
constexpr double error_decay = 0.95;        // of one sweep
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
            // Guards against overloading what has started again before the endpoint list says so (incident i4386e0). It
            // could harm where only the connection was down: the invoker is used little until warm.
            if (health.is_down) slow_start_.begin(invoker, context_.now);
            health.is_down = false;
            if (health.consecutive_successes < successes_to_recover) break;
            set_state(invoker, HealthState::recovering);
            health.recovery_limit = initial_recovery_limit;
            break;
        case HealthState::recovering:
            if (++health.recovery_limit >= recovered_limit) set_state(invoker, HealthState::healthy);
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
        registry_.assume_restarted(invoker);
    }
}

bool OutlierDetection::record_reset(Invoker& invoker) {
    return ++invoker.health.consecutive_resets >= resets_to_suspect;
}

void OutlierDetection::attribute_errors(const Attempt& succeeded) {
    record_response_quality(*succeeded.invoker, false);
    for (const Attempt& other : succeeded.request->attempts)
        if (other.invoker != succeeded.invoker && other.outcome == AttemptOutcome::failed)
            record_response_quality(*other.invoker, true);
}

void OutlierDetection::record_response_quality(Invoker& invoker, bool was_error) {
    invoker.health.error_rate += error_gain * ((was_error ? 1 : 0) - invoker.health.error_rate);
    context_.refresh_fleet_entry(invoker);
}

void OutlierDetection::review(Invoker& invoker) {
    InvokerHealth& health = invoker.health;
    if (health.error_rate > 0) {
        const double decayed = health.error_rate * error_decay;
        health.error_rate = decayed < negligible_error_rate ? 0 : decayed;
        context_.refresh_fleet_entry(invoker);
    }
    if (health.state != HealthState::ejected) return;
    const Time ejected_for = context_.now - health.ejected_at;
    if (ejected_for > assumed_down_after && !health.is_down) {
        health.is_down = true;
        registry_.assume_restarted(invoker);
    }
    if (!context_.capabilities.health_checks && ejected_for > blind_ejection) {
        set_state(invoker, HealthState::recovering);
        health.recovery_limit = blind_recovery_limit;
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
    const bool has_room = static_cast<int>(invoker.in_flight.size()) < health.recovery_limit;
    return has_room ? ExclusionReason::none : ExclusionReason::recovery_limit;
}

void OutlierDetection::set_state(Invoker& invoker, HealthState state) {
    invoker.health.state = state;
    context_.refresh_fleet_entry(invoker);
}

}  // namespace plumkeel
