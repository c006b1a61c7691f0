/// What is learned from responses and load reports: functions' run and load times, how slow invokers are, and how many
/// requests each of them runs.
///
/// A run's time is taken as the function's time on an idle invoker, times the invoker's slowdown factor when it is idle
/// or its contention factor for each request there, whichever is more.
#pragma once

#include "scheduler/scheduler_context.hpp"

namespace plumkeel {

class LoadEstimator {
public:
    explicit LoadEstimator(SchedulerContext& context) : context_(context) {}

    /// A guess for functions of which nothing is learned, from the first request's class.
    void initialize_run_time(const RequestClass& request_class);
    double default_run_time_s() const { return default_run_time_s_; }
    /// The learned load time of the function, else the declared one, else the mean of all functions; in seconds.
    double load_time_s(const Function& function) const;
    void learn_load_time(Function& function, double load_time_s);

    /// Learns from a successful attempt that has just ended.
    void learn_from_success(const Attempt& attempt, LoadEvent load_event);
    /// Learns from an attempt that was cancelled or timed out: its run takes longer than was expected.
    void learn_from_unfinished(const Attempt& attempt);
    /// How many times as long as alone on an idle invoker of mean speed the attempt was expected to run.
    double expected_slowdown(const Attempt& attempt) const;

    /// The invoker's factors, with those of its type.
    double slowdown_factor(const Invoker& invoker) const {
        return invoker.type->slowdown_factor * invoker.load_estimate.slowdown_factor;
    }
    double contention_factor(const Invoker& invoker) const {
        return invoker.type->contention_factor * invoker.load_estimate.contention_factor;
    }
    /// First factors of an invoker and, where nothing is known of it, of its type.
    void initialize_factors(Invoker& invoker) const;

    /// Requests thought to be at the invoker, those of other controllers included.
    double estimated_load(const Invoker& invoker) const;
    void on_load_report(Invoker& invoker, const LoadReport& report);
    /// Notes an attempt sent (+1) or ended (-1) at the invoker.
    void record_change(Invoker& invoker, int change);
    /// Part of the periodic work.
    void update_mean_load(const FleetTotals& totals);

private:
    /// Requests of other controllers for each own one.
    double others_per_own_request() const;
    /// Attempts sent less those ended within the age of a report.
    int recent_change(Invoker& invoker);
    void learn_slowdown(const Attempt& attempt, double took_s);

    SchedulerContext& context_;
    double default_run_time_s_{};                // learned over all functions
    double default_load_time_s_ = 1.0;           // the same; until then a guess
    double others_per_capacity_{};               // others' requests for each unit of capacity, on the mean
    double own_per_capacity_{};                  // the same of own ones
    double reported_own_{}, reported_others_{};  // means of both, when reports came
    int reports_{};
};

}  // namespace plumkeel
