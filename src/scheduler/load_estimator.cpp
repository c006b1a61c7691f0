#include "scheduler/load_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

// Initial values.
constexpr double initial_run_time_share_of_target = 0.1;
constexpr double initial_contention_factor = 0.2;
constexpr double min_declared_load_time_s = 0.05;

// Learning from responses. A gain is the weight of one new sample in a moving average.
/// A longer run is learned as if it had taken this many times its expected run time.
constexpr double max_learned_slowdown_ratio = 4.0;
/// With at most this many requests, an invoker is assumed to have idle cores.
constexpr double max_uncontended_requests = 3;
constexpr double run_time_gain_uncontended = 0.1, run_time_gain_contended = 0.02;
/// The run time of all functions is learned with the gain of a single function divided by this number.
constexpr double default_run_time_gain_divisor = 5;
constexpr double load_time_gain = 0.4;
constexpr double default_load_time_gain = 0.1;
constexpr double min_learned_load_time_s = 0.02;
/// The initial factors of an invoker type weigh as much as this many samples.
constexpr double type_prior_weight_samples = 20;
constexpr double min_type_gain = 0.003;
constexpr double invoker_slowdown_gain = 0.03, invoker_contention_gain = 0.05;
constexpr double min_invoker_factor = 0.2, max_invoker_factor = 5.0;
constexpr double min_type_slowdown = 0.3, max_type_slowdown = 5.0;
constexpr double min_type_contention = 0.002, max_type_contention = 2.0;

// Load reports.
/// A load report is assumed to have been measured this long before it arrives.
constexpr Time assumed_report_age = 400ms;
/// Time constant with which the weight of a load report decays.
constexpr Time report_decay_time = 1500ms;
/// The gain of the first reports is higher: 1 / number of reports.
constexpr double min_report_gain = 0.02;
constexpr int min_reports_for_ratio = 20;
constexpr double baseline_load_gain = 0.3;
/// Since the last load report, at most this many other controllers are assumed to have sent and ended as many requests
/// as this one.
constexpr int max_controllers_assumed_alike = 3;
constexpr double mean_load_gain_per_sweep = 0.1;

void scale_within(double& factor, double relative_change, double min, double max) {
    factor = std::clamp(factor * (1 + relative_change), min, max);
}

}  // namespace

void LoadEstimator::initialize_run_time(const RequestClass& request_class) {
    if (default_run_time_s_ == 0)
        default_run_time_s_ = initial_run_time_share_of_target * in_seconds(request_class.latency_target);
}

double LoadEstimator::load_time_s(const Function& function) const {
    if (function.load_time_s > 0) return function.load_time_s;
    if (function.declared_load_time)
        return std::max(in_seconds(*function.declared_load_time), min_declared_load_time_s);
    return default_load_time_s_;
}

void LoadEstimator::learn_load_time(Function& function, double load_time_s) {
    function.load_time_s = function.load_time_s > 0
                               ? (1 - load_time_gain) * function.load_time_s + load_time_gain * load_time_s
                               : load_time_s;
    default_load_time_s_ += default_load_time_gain * (load_time_s - default_load_time_s_);
}

double LoadEstimator::expected_slowdown(const Attempt& attempt) const {
    return std::max(slowdown_factor(*attempt.invoker), contention_factor(*attempt.invoker) * attempt.estimated_load);
}

void LoadEstimator::learn_from_success(const Attempt& attempt, LoadEvent load_event) {
    if (attempt.sent_at < context_.last_stall_end) return;
    Function& function = *attempt.request->function;
    const double duration_s = in_seconds(context_.now - attempt.sent_at);
    const double expected_s = function.run_time_s * expected_slowdown(attempt);
    if (load_event == LoadEvent::started_load && !attempt.expected_warm) {
        learn_load_time(function, std::max(min_learned_load_time_s, duration_s - expected_s));
        return;
    }
    if (load_event != LoadEvent::was_loaded && load_event != LoadEvent::none) return;
    if (attempt.invoker->slow_start.since) return;
    const double run_time_s =
        std::min(duration_s, max_learned_slowdown_ratio * expected_s) / expected_slowdown(attempt);
    const double gain =
        attempt.estimated_load <= max_uncontended_requests ? run_time_gain_uncontended : run_time_gain_contended;
    learn_slowdown(attempt, duration_s);
    function.run_time_s += gain * (run_time_s - function.run_time_s);
    default_run_time_s_ += gain / default_run_time_gain_divisor * (run_time_s - default_run_time_s_);
}

// Includes requests without a response, since an invoker that becomes slow or loses responses would otherwise be judged
// only by the requests that succeeded. Clients that disconnect early can make an invoker look slower than it is.
void LoadEstimator::learn_from_unfinished(const Attempt& attempt) {
    const double duration_s = in_seconds(context_.now - attempt.sent_at);
    const double expected_s = attempt.request->function->run_time_s * expected_slowdown(attempt);
    if (attempt.expected_warm && duration_s > expected_s) learn_slowdown(attempt, duration_s);
}

// An uncontended run updates the slowdown factor, a contended run the contention factor. If a contended run updated the
// slowdown factor, the estimated contention would be too low and load shedding would not start (incident i977fe6).
// Most is learned per invoker type, since one of many controllers sees few requests of a single invoker.
void LoadEstimator::learn_slowdown(const Attempt& attempt, double duration_s) {
    Invoker& invoker = *attempt.invoker;
    InvokerType& type = *invoker.type;
    if (attempt.sent_at < context_.last_stall_end || invoker.slow_start.since) return;
    const bool is_uncontended = attempt.estimated_load <= max_uncontended_requests;
    const double slowdown = std::min(duration_s / attempt.request->function->run_time_s,
                                     max_learned_slowdown_ratio * expected_slowdown(attempt));
    const double modelled_slowdown =
        is_uncontended ? slowdown_factor(invoker) : contention_factor(invoker) * attempt.estimated_load;
    const double relative_error = slowdown / modelled_slowdown - 1;
    const int sample_count = is_uncontended ? ++type.slowdown_samples : ++type.contention_samples;
    const double type_gain = std::max(min_type_gain, 1.0 / (type_prior_weight_samples + sample_count));
    if (is_uncontended) {
        if (attempt.outcome == AttemptOutcome::succeeded)
            scale_within(type.slowdown_factor, type_gain * relative_error, min_type_slowdown, max_type_slowdown);
        scale_within(invoker.load_estimate.slowdown_factor, invoker_slowdown_gain * relative_error, min_invoker_factor,
                     max_invoker_factor);
    } else {
        if (attempt.outcome == AttemptOutcome::succeeded)
            scale_within(type.contention_factor, type_gain * relative_error, min_type_contention, max_type_contention);
        scale_within(invoker.load_estimate.contention_factor, invoker_contention_gain * relative_error,
                     min_invoker_factor, max_invoker_factor);
    }
}

void LoadEstimator::initialize_factors(Invoker& invoker) const {
    invoker.load_estimate.slowdown_factor = invoker.load_estimate.contention_factor = 1;
    if (invoker.type->slowdown_factor != 0) return;
    // A stable capacity is assumed to be the number of cores. Of two requests on many cores, each slows the other down
    // little.
    const double share_of_cores = context_.capabilities.stable_capacity ? 1 / std::max(1.0, invoker.capacity) : 1;
    *invoker.type = {1, std::min(initial_contention_factor, share_of_cores), 0, 0};
}

// The number of other controllers' requests comes from the last load report, whose weight decays with its age. The
// remaining weight goes to the mean of the invoker's earlier reports. Without any report, the mean of the fleet is
// used.
double LoadEstimator::estimated_load(const Invoker& invoker) const {
    const LoadEstimate& load = invoker.load_estimate;
    const auto own_requests = static_cast<double>(invoker.in_flight.size());
    double others_requests = others_per_capacity_ * invoker.capacity;
    if (load.reported_load) {
        const double reported_others = std::max(0.0, *load.reported_load - load.own_in_flight_at_report);
        const double report_weight =
            std::exp(-in_seconds(context_.now - load.reported_at) / in_seconds(report_decay_time));
        const double controllers_assumed_alike =
            std::min(context_.capabilities.controller_count - 1, max_controllers_assumed_alike);
        const double recent_others =
            reported_others + controllers_assumed_alike * (own_requests - load.own_in_flight_at_report);
        others_requests = report_weight * recent_others + (1 - report_weight) * load.baseline_others_load;
    }
    return own_requests + std::max(0.0, others_requests);
}

void LoadEstimator::on_load_report(Invoker& invoker, const LoadReport& report) {
    if (!report.in_flight) return;
    LoadEstimate& load = invoker.load_estimate;
    const bool is_first_report = !load.reported_load;
    // Queued requests wait for a copy or a load and use no core.
    load.reported_load = std::max(0.0, *report.in_flight - report.queued.value_or(0));
    load.reported_at = context_.now;
    // Attempts sent or ended since the report was measured are not included in it.
    load.own_in_flight_at_report = static_cast<int>(invoker.in_flight.size()) - net_recent_change(invoker);
    const double others_requests = std::max(0.0, *load.reported_load - load.own_in_flight_at_report);
    if (is_first_report) load.baseline_others_load = others_per_capacity_ * invoker.capacity;
    load.baseline_others_load += baseline_load_gain * (others_requests - load.baseline_others_load);
    if (invoker.capacity <= 0) return;
    const double gain = std::max(min_report_gain, 1.0 / ++report_count_);
    reported_others_per_capacity_ += gain * (others_requests / invoker.capacity - reported_others_per_capacity_);
    reported_own_per_capacity_ += gain * (own_per_capacity_ - reported_own_per_capacity_);
}

// Derived from load reports, and limited to the number of other controllers. Without reports, a controller that
// receives several times the mean traffic would assume that all others are as busy as itself, and would shed requests
// that the invokers have capacity for (bench day "calm+mass": a fifth of the controllers rejected a quarter of their
// requests, the others one in a hundred).
double LoadEstimator::others_per_own_request() const {
    const int other_controllers = context_.capabilities.controller_count - 1;
    if (report_count_ < min_reports_for_ratio || reported_own_per_capacity_ <= 0) return other_controllers;
    return std::min(reported_others_per_capacity_ / reported_own_per_capacity_, static_cast<double>(other_controllers));
}

void LoadEstimator::record_change(Invoker& invoker, int change) {
    invoker.load_estimate.recent_in_flight_changes.emplace_back(context_.now, change);
    invoker.load_estimate.recent_in_flight_change += change;
    net_recent_change(invoker);
}

int LoadEstimator::net_recent_change(Invoker& invoker) {
    LoadEstimate& load = invoker.load_estimate;
    while (!load.recent_in_flight_changes.empty() &&
           load.recent_in_flight_changes.front().first + assumed_report_age <= context_.now) {
        load.recent_in_flight_change -= load.recent_in_flight_changes.front().second;
        load.recent_in_flight_changes.pop_front();
    }
    return load.recent_in_flight_change;
}

void LoadEstimator::update_mean_load(const FleetTotals& totals) {
    const double capacity = static_cast<double>(totals.ready_micro_capacity) / 1e6;
    if (capacity <= 0) return;
    own_per_capacity_ +=
        mean_load_gain_per_sweep * (static_cast<double>(totals.attempts) / capacity - own_per_capacity_);
    others_per_capacity_ = own_per_capacity_ * others_per_own_request();
}

}  // namespace plumkeel
