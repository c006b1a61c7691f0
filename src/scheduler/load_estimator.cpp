#include "scheduler/load_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

// Until something is learned.
constexpr double initial_run_time_share = 0.1;  // of the first request's latency target
constexpr double initial_contention_factor = 0.2;
constexpr double min_load_time_s = 0.05;  // of a declared one

// Learning from responses.
constexpr double outlier_ratio = 4.0;  // a run this many times the expected teaches no more than that
constexpr double few_requests = 3;     // at an invoker: its cores are not all taken
constexpr double run_time_gain_idle = 0.1, run_time_gain_busy = 0.02;
constexpr double default_gain_divisor = 5;  // one function's run teaches that much less of all functions
constexpr double load_time_gain = 0.4;      // of a function
constexpr double default_load_time_gain = 0.1;
constexpr double min_learned_load_time_s = 0.02;
constexpr double type_prior_samples = 20;                       // weight of what is assumed of a type
constexpr double min_type_gain = 0.003;                         // the least that one run teaches of a type
constexpr double slowdown_gain = 0.03, contention_gain = 0.05;  // of one invoker
constexpr double min_invoker_factor = 0.2, max_invoker_factor = 5.0;
constexpr double min_type_slowdown = 0.3, max_type_slowdown = 5.0;
constexpr double min_type_contention = 0.002, max_type_contention = 2.0;

// Load reports.
constexpr Time report_age = 400ms;        // by which a report is taken to be old when it comes
constexpr Time report_lifetime = 1500ms;  // time constant of its decay
constexpr double report_gain = 0.02;      // what one report tells of the whole fleet, once there were a few
constexpr int min_reports = 20;
constexpr double baseline_gain = 0.3;
constexpr int following_controllers = 3;  // others taken to send, since a report, what this one does
constexpr double mean_load_gain = 0.1;    // of one sweep

void adjust(double& factor, double by, double min, double max) {
    factor = std::clamp(factor * (1 + by), min, max);
}

}  // namespace

void LoadEstimator::initialize_run_time(const RequestClass& request_class) {
    if (default_run_time_s_ == 0)
        default_run_time_s_ = initial_run_time_share * in_seconds(request_class.latency_target);
}

double LoadEstimator::load_time_s(const Function& function) const {
    if (function.load_time_s > 0) return function.load_time_s;
    if (function.declared_load_time) return std::max(in_seconds(*function.declared_load_time), min_load_time_s);
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
    if (attempt.sent_at < context_.resumed_at) return;
    Function& function = *attempt.request->function;
    const double took_s = in_seconds(context_.now - attempt.sent_at);
    const double expected_s = function.run_time_s * expected_slowdown(attempt);
    if (load_event == LoadEvent::started_load && !attempt.expected_warm) {
        learn_load_time(function, std::max(min_learned_load_time_s, took_s - expected_s));
        return;
    }
    if (load_event != LoadEvent::was_loaded && load_event != LoadEvent::none) return;
    if (attempt.invoker->slow_start.since) return;
    const double run_time_s = std::min(took_s, outlier_ratio * expected_s) / expected_slowdown(attempt);
    const double gain = attempt.estimated_load <= few_requests ? run_time_gain_idle : run_time_gain_busy;
    learn_slowdown(attempt, took_s);
    function.run_time_s += gain * (run_time_s - function.run_time_s);
    default_run_time_s_ += gain / default_gain_divisor * (run_time_s - default_run_time_s_);
}

// Without this, invokers that grow slow and those that lose responses would be known only by the requests that got
// through. It guards against invokers that age; it could harm where clients disconnect early.
void LoadEstimator::learn_from_unfinished(const Attempt& attempt) {
    const double took_s = in_seconds(context_.now - attempt.sent_at);
    const double expected_s = attempt.request->function->run_time_s * expected_slowdown(attempt);
    if (attempt.expected_warm && took_s > expected_s) learn_slowdown(attempt, took_s);
}

// With few requests there a run teaches the slowdown factor, else the contention factor, so that neither takes up the
// other's part: a slowdown learned under contention hides the contention, and nothing is shed (incident i977fe6). One
// of many controllers sees too little of one invoker: most is learned of its type.
void LoadEstimator::learn_slowdown(const Attempt& attempt, double took_s) {
    Invoker& invoker = *attempt.invoker;
    InvokerType& type = *invoker.type;
    if (attempt.sent_at < context_.resumed_at || invoker.slow_start.since) return;
    const bool few = attempt.estimated_load <= few_requests;
    const double slowdown =
        std::min(took_s / attempt.request->function->run_time_s, outlier_ratio * expected_slowdown(attempt));
    const double expected = few ? slowdown_factor(invoker) : contention_factor(invoker) * attempt.estimated_load;
    const double error = slowdown / expected - 1;
    const int samples = few ? ++type.slowdown_samples : ++type.contention_samples;
    const double type_gain = std::max(min_type_gain, 1.0 / (type_prior_samples + samples));
    if (few) {
        if (attempt.outcome == AttemptOutcome::succeeded)
            adjust(type.slowdown_factor, type_gain * error, min_type_slowdown, max_type_slowdown);
        adjust(invoker.load_estimate.slowdown_factor, slowdown_gain * error, min_invoker_factor, max_invoker_factor);
    } else {
        if (attempt.outcome == AttemptOutcome::succeeded)
            adjust(type.contention_factor, type_gain * error, min_type_contention, max_type_contention);
        adjust(invoker.load_estimate.contention_factor, contention_gain * error, min_invoker_factor,
               max_invoker_factor);
    }
}

void LoadEstimator::initialize_factors(Invoker& invoker) const {
    invoker.load_estimate.slowdown_factor = invoker.load_estimate.contention_factor = 1;
    if (invoker.type->slowdown_factor != 0) return;
    // Its capacity, where it holds still, is taken to be its cores: one request of as many contends little.
    const double share_of_cores = context_.capabilities.stable_capacity ? 1 / std::max(1.0, invoker.capacity) : 1;
    *invoker.type = {1, std::min(initial_contention_factor, share_of_cores), 0, 0};
}

// Of others' requests a report tells less the older it is; what is left is what its reports used to tell, or the mean
// of its capacity. In the short while since a report a few controllers are taken to have done as this one did.
double LoadEstimator::estimated_load(const Invoker& invoker) const {
    const LoadEstimate& load = invoker.load_estimate;
    const auto own = static_cast<double>(invoker.in_flight.size());
    double others = others_per_capacity_ * invoker.capacity;
    if (load.reported_load) {
        const double reported = std::max(0.0, *load.reported_load - load.own_in_flight_at_report);
        const double weight = std::exp(-in_seconds(context_.now - load.reported_at) / in_seconds(report_lifetime));
        const double following = std::min(context_.capabilities.controller_count - 1, following_controllers);
        const double recent = reported + following * (own - load.own_in_flight_at_report);
        others = weight * recent + (1 - weight) * load.baseline_load;
    }
    return own + std::max(0.0, others);
}

void LoadEstimator::on_load_report(Invoker& invoker, const LoadReport& report) {
    if (!report.in_flight) return;
    LoadEstimate& load = invoker.load_estimate;
    const bool is_first = !load.reported_load;
    // What is queued there, for a copy or a load, contends for no core.
    load.reported_load = std::max(0.0, *report.in_flight - report.queued.value_or(0));
    load.reported_at = context_.now;
    // A report is old when it comes: what was sent and ended since it was measured is not in it.
    load.own_in_flight_at_report = static_cast<int>(invoker.in_flight.size()) - recent_change(invoker);
    const double others = std::max(0.0, *load.reported_load - load.own_in_flight_at_report);
    if (is_first) load.baseline_load = others_per_capacity_ * invoker.capacity;
    load.baseline_load += baseline_gain * (others - load.baseline_load);
    if (invoker.capacity <= 0) return;
    const double gain = std::max(report_gain, 1.0 / ++reports_);
    reported_others_ += gain * (others / invoker.capacity - reported_others_);
    reported_own_ += gain * (own_per_capacity_ - reported_own_);
}

// By the number of controllers, but where reports tell of fewer: one that sees several times the mean of the traffic
// would take all others for as busy as itself, and shed what they have capacity for (day "calm+mass": a fifth of the
// controllers refused a quarter of their requests, the rest one in a hundred).
double LoadEstimator::others_per_own_request() const {
    const int others = context_.capabilities.controller_count - 1;
    if (reports_ < min_reports || reported_own_ <= 0) return others;
    return std::min(reported_others_ / reported_own_, static_cast<double>(others));
}

void LoadEstimator::record_change(Invoker& invoker, int change) {
    invoker.load_estimate.recent_changes.emplace_back(context_.now, change);
    invoker.load_estimate.recent_change_sum += change;
    recent_change(invoker);
}

int LoadEstimator::recent_change(Invoker& invoker) {
    LoadEstimate& load = invoker.load_estimate;
    while (!load.recent_changes.empty() && load.recent_changes.front().first + report_age <= context_.now) {
        load.recent_change_sum -= load.recent_changes.front().second;
        load.recent_changes.pop_front();
    }
    return load.recent_change_sum;
}

void LoadEstimator::update_mean_load(const FleetTotals& totals) {
    const double capacity = static_cast<double>(totals.ready_micro_capacity) / 1e6;
    if (capacity <= 0) return;
    own_per_capacity_ += mean_load_gain * (static_cast<double>(totals.attempts) / capacity - own_per_capacity_);
    others_per_capacity_ = own_per_capacity_ * others_per_own_request();
}

}  // namespace plumkeel
