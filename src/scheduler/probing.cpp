#include "scheduler/probing.hpp"

#include <algorithm>

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

constexpr Time probe_interval = 600ms;  // minimum time between two probes of one invoker
/// An invoker without a response for this time may be unresponsive.
constexpr Time min_silence_timeout = 400ms;
/// A sweep may run this much earlier or later than planned.
constexpr Time sweep_time_tolerance = 50ms;
/// A silent invoker is probed in every sweep at first, and less often until it is probed in every fourth one.
constexpr int max_backoff_sweeps = 4;
constexpr double probes_per_request = 0.5;
/// The probe allowance never exceeds what this many requests earn.
constexpr double max_saved_request_allowances = 40;
/// If probes have a price, probes cost at most this share of the value of the requests.
constexpr double max_probe_cost_share = 0.005;
constexpr std::size_t max_examined_per_sweep = 256;

}  // namespace

HealthProber::HealthProber(SchedulerContext& context, const LoadEstimator& load_estimator)
    : context_(context), load_estimator_(load_estimator), probes_per_request_(probes_per_request) {
    const double probe_price = context.capabilities.health_check_price;
    if (probe_price > 0) probes_per_request_ = std::min(probes_per_request, max_probe_cost_share / probe_price);
    probe_allowance_ = max_saved_request_allowances * probes_per_request_;
}

void HealthProber::record_request() {
    probe_allowance_ =
        std::min(probe_allowance_ + probes_per_request_, max_saved_request_allowances * probes_per_request_);
}

void HealthProber::send(Invoker& invoker) {
    invoker.health.probe_pending = true;
    invoker.health.probed_at = context_.now;
    context_.actions.to_probe.push_back(&invoker);
}

void HealthProber::probe_if_unresponsive(Invoker& invoker) {
    const InvokerHealth& health = invoker.health;
    if (!context_.capabilities.health_checks || health.probe_pending) return;
    const bool is_failing = health.state == HealthState::suspect || health.state == HealthState::ejected;
    const Time backoff =
        std::clamp(health.consecutive_timeouts, 1, max_backoff_sweeps) * sweep_period - sweep_time_tolerance;
    const bool is_backing_off = context_.now - health.probed_at < backoff;
    if ((is_failing && !is_backing_off) || (has_probe_interval_passed(invoker) && is_oldest_attempt_overdue(invoker)))
        send(invoker);
}

// An invoker is overdue only when its oldest attempt takes longer than expected. With a fixed timeout, invokers that
// run long requests would be probed by all controllers all the time (bench days "+mass": 3 probes per request, a
// quarter of all that was earned).
bool HealthProber::is_oldest_attempt_overdue(const Invoker& invoker) const {
    if (invoker.in_flight.empty()) return false;
    const Attempt& oldest_attempt = *invoker.in_flight.front();
    const double expected_s =
        oldest_attempt.request->function->run_time_s * load_estimator_.expected_slowdown(oldest_attempt);
    const Time silence_timeout = std::max(min_silence_timeout, from_seconds(expected_s));
    return context_.now - std::max(invoker.health.last_response_at, oldest_attempt.sent_at) > silence_timeout;
}

bool HealthProber::has_probe_interval_passed(const Invoker& invoker) const {
    return context_.now - invoker.health.probed_at > probe_interval;
}

void HealthProber::request_reports() {
    if (!context_.capabilities.health_checks || probe_allowance_ < 1) return;
    std::size_t examined = 0;
    context_.fleet.for_each_recently_used([&](Invoker& invoker) {
        const bool is_silent = context_.now - invoker.health.last_response_at > min_silence_timeout;
        const bool report_is_old = context_.now - invoker.load_estimate.reported_at > probe_interval;
        if (!invoker.health.probe_pending && has_probe_interval_passed(invoker) && (is_silent || report_is_old)) {
            send(invoker);
            --probe_allowance_;
        }
        return probe_allowance_ >= 1 && ++examined < max_examined_per_sweep;
    });
}

}  // namespace plumkeel
