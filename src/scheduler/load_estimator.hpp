/// Learns from responses and load reports the run and load times of functions, how slow each invoker is, and how many
/// requests it runs.
///
/// The run time of a request is modelled as the function's run time on an idle invoker times a slowdown. The slowdown
/// is the invoker's slowdown factor, or its contention factor times the number of requests there, whichever is larger.
#pragma once

#include "scheduler/scheduler_context.hpp"

namespace plumkeel {

class LoadEstimator {
public:
    explicit LoadEstimator(SchedulerContext& context) : context_(context) {}

    /// Derives the initial run time of all functions from the latency target of the first request. Later calls do
    /// nothing.
    void initialize_run_time(const RequestClass& request_class);
    double default_run_time_s() const { return default_run_time_s_; }
    /// The function's load time in seconds: the learned one, else the declared one, else the mean of all functions.
    double load_time_s(const Function& function) const;
    void learn_load_time(Function& function, double load_time_s);

    /// Updates the estimates from a successful attempt that has just ended.
    void learn_from_success(const Attempt& attempt, LoadEvent load_event);
    /// Updates the invoker's factors from an attempt that was cancelled or timed out, if it took longer than expected.
    void learn_from_unfinished(const Attempt& attempt);
    /// The expected run time of the attempt relative to the function's run time on an idle invoker of mean speed.
    double expected_slowdown(const Attempt& attempt) const;

    /// The invoker's slowdown factor, including that of its type.
    double slowdown_factor(const Invoker& invoker) const {
        return invoker.type->slowdown_factor * invoker.load_estimate.slowdown_factor;
    }
    /// The invoker's contention factor, including that of its type.
    double contention_factor(const Invoker& invoker) const {
        return invoker.type->contention_factor * invoker.load_estimate.contention_factor;
    }
    /// Sets the initial factors of an invoker, and those of its type if it is the first invoker of that type.
    void initialize_factors(Invoker& invoker) const;

    /// Estimated number of requests at the invoker, from all controllers.
    double estimated_load(const Invoker& invoker) const;
    void on_load_report(Invoker& invoker, const LoadReport& report);
    /// Records that an attempt was sent to the invoker (+1) or ended there (-1).
    void record_change(Invoker& invoker, int change);
    /// Part of each periodic sweep. Updates the mean load per unit of capacity.
    void update_mean_load(const FleetTotals& totals);

private:
    /// Estimated number of other controllers' requests in flight per request of this controller.
    double others_per_own_request() const;
    /// Attempts sent to the invoker minus attempts ended there within the assumed age of a load report.
    int net_recent_change(Invoker& invoker);
    void learn_slowdown(const Attempt& attempt, double duration_s);

    SchedulerContext& context_;
    double default_run_time_s_{};       ///< mean run time over all functions
    double default_load_time_s_ = 1.0;  ///< mean load time over all functions
    double others_per_capacity_{};      ///< estimated requests of other controllers per unit of capacity
    double own_per_capacity_{};         ///< mean attempts of this controller per unit of capacity
    /// Means of own and others' requests per unit of capacity, each updated when a load report arrives.
    double reported_own_per_capacity_{}, reported_others_per_capacity_{};
    int report_count_{};
};

}  // namespace plumkeel
