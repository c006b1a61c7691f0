#include "scheduler/probing.hpp"

#include <algorithm>

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

constexpr Time probe_interval = 600ms;   // of one invoker, at the least
constexpr Time silence_timeout = 400ms;  // without a response
constexpr Time sweep_slack = 50ms;       // a sweep may come that much early or late
constexpr int max_backoff_sweeps = 4;    // a silent invoker is probed in every sweep at first, then in every fourth
constexpr double probes_per_request = 0.5;
constexpr double saved_requests = 40;      // whose allowance is kept at the most
constexpr double max_cost_share = 0.005;   // of a request's worth, where probes have a price
constexpr std::size_t max_examined = 256;  // invokers looked at for reports in one sweep

}  // namespace

HealthProber::HealthProber(SchedulerContext& context, const LoadEstimator& estimator)
    : context_(context), estimator_(estimator), probes_per_request_(probes_per_request) {
    const double price = context.capabilities.health_check_price;
    if (price > 0) probes_per_request_ = std::min(probes_per_request, max_cost_share / price);
    probe_allowance_ = saved_requests * probes_per_request_;
}

void HealthProber::record_request() {
    probe_allowance_ = std::min(probe_allowance_ + probes_per_request_, saved_requests * probes_per_request_);
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
    const Time backoff = std::clamp(health.consecutive_timeouts, 1, max_backoff_sweeps) * sweep_period - sweep_slack;
    const bool is_backing_off = context_.now - health.probed_at < backoff;
    if ((is_failing && !is_backing_off) || (is_rested(invoker) && is_overdue(invoker))) send(invoker);
}

// Runs of seconds are no sign of a fault: probed all the while, each invoker would be probed by every controller
// without end (days "+mass": 3 probes a request, a quarter of all that was earned).
bool HealthProber::is_overdue(const Invoker& invoker) const {
    if (invoker.in_flight.empty()) return false;
    const Attempt& oldest = *invoker.in_flight.front();
    const double expected_s = oldest.request->function->run_time_s * estimator_.expected_slowdown(oldest);
    const Time timeout = std::max(silence_timeout, from_seconds(expected_s));
    return context_.now - std::max(invoker.health.last_response_at, oldest.sent_at) > timeout;
}

bool HealthProber::is_rested(const Invoker& invoker) const {
    return context_.now - invoker.health.probed_at > probe_interval;
}

void HealthProber::request_reports() {
    if (!context_.capabilities.health_checks || probe_allowance_ < 1) return;
    std::size_t examined = 0;
    context_.fleet.for_recently_used([&](Invoker& invoker) {
        const bool is_silent = context_.now - invoker.health.last_response_at > silence_timeout;
        const bool report_is_old = context_.now - invoker.load_estimate.reported_at > probe_interval;
        if (!invoker.health.probe_pending && is_rested(invoker) && (is_silent || report_is_old)) {
            send(invoker);
            --probe_allowance_;
        }
        return probe_allowance_ >= 1 && ++examined < max_examined;
    });
}

}  // namespace plumkeel
