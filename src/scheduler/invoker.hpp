/// What the scheduler knows of an invoker. The comment on a group of fields names the component that changes it.
///
/// The host, which is the gateway or the simulator adapter, owns Invoker objects and may free one after
/// Actions::released_invokers names it.
#pragma once

#include <string>
#include <vector>

#include "scheduler/fleet_table.hpp"
#include "scheduler/request.hpp"

namespace plumkeel {

/// Factors learned from all invokers of one type. The factors of a single invoker are relative to these. The host
/// owns the object; only LoadEstimator changes it.
struct InvokerType {
    double slowdown_factor{}, contention_factor{};
    int slowdown_samples{}, contention_samples{};
};

enum class HealthState {
    healthy,
    /// The invoker failed once: it is probed, and no new attempts are sent.
    suspect,
    ejected,  ///< the invoker failed repeatedly, or its process is known to be gone
    /// The invoker responds again: it is sent a limited number of attempts at once, which grows with each response.
    recovering,
};

/// Changed only by OutlierDetection, except for `probe_pending` and `probed_at`: HealthProber sets both when it sends a
/// probe, and Scheduler clears `probe_pending` when the probe ends.
struct InvokerHealth {
    /// No attempts are sent to an invoker with a higher error rate.
    static constexpr double max_error_rate = 0.35;

    HealthState state{};
    int consecutive_timeouts{}, consecutive_resets{}, consecutive_successes{};
    /// The most attempts that may be in flight while the state is `recovering`.
    int recovery_limit{};
    /// Decaying share of responses that were errors, counted only for requests that succeeded on another invoker.
    double error_rate{};
    /// The invoker's process is gone, so its next response comes from a restarted process.
    bool is_down{};
    bool probe_pending{};
    Time probed_at{}, last_response_at{}, ejected_at{};

    bool accepts_requests() const { return state == HealthState::healthy || state == HealthState::recovering; }
    bool is_error_prone() const { return error_rate > max_error_rate; }
};

/// Changed only by SlowStart.
struct SlowStartState {
    std::optional<Time> since;  ///< start of the slow start; absent when the invoker is warmed up
    std::deque<Time> attempts;  ///< when this controller sent attempts in the last rate window
    /// A random number from 0 to 1, drawn at each start and added to the attempt budget. It rounds a fractional budget
    /// up at the matching fraction of controllers.
    double budget_rounding_offset{};
};

/// Changed only by LoadEstimator, except that InvokerRegistry clears `reported_load` when the invoker has
/// restarted or is no longer listed.
struct LoadEstimate {
    /// Run time on the idle invoker, relative to other invokers of its type.
    double slowdown_factor{};
    /// Growth of the run time with each request at the invoker, relative to other invokers of its type.
    double contention_factor{};
    /// Requests running at the invoker by its last load report; absent if there was none since it started.
    std::optional<double> reported_load;
    /// Moving average of other controllers' requests at the invoker, computed from its load reports.
    double baseline_others_load{};
    Time reported_at{};
    /// Attempts of this controller at the invoker when the last load report was measured.
    int own_in_flight_at_report{};
    /// Attempts sent (+1) and ended (-1) more recently than the assumed age of a load report.
    std::deque<std::pair<Time, int>> recent_in_flight_changes;
    /// The sum of `recent_in_flight_changes`.
    int recent_in_flight_change{};
};

/// Changed only by CapacityTracker.
struct Backpressure {
    /// No attempts are sent before this time, because the invoker rejected one.
    Time backoff_until{};
    /// Nothing that needs a new copy is sent before this time, because the invoker had no capacity for one.
    Time full_until{};
};

struct Invoker {
    // Set by the host, the code that calls the scheduler, and updated with each change of the endpoint list.
    // InvokerRegistry clears `ready` when the invoker is no longer listed.
    std::string name;
    bool ready{};
    double capacity{};
    std::string zone;
    InvokerType* type{};
    int cell{};
    /// When the invoker's process started; absent if that is not known to be recent.
    std::optional<Time> started_at;

    // Changed only by InvokerRegistry, except for `table_entry` (FleetTable).
    bool is_registered{}, is_listed{};
    Time delisted_at{};
    std::uint64_t hash{};
    std::optional<Time> previous_started_at;  ///< `started_at` in the previous endpoint list
    FleetTableEntry table_entry;

    InvokerHealth health;
    SlowStartState slow_start;
    LoadEstimate load_estimate;
    Backpressure backpressure;

    /// Attempts of this controller, oldest first. Changed by RequestLifecycle.
    std::vector<Attempt*> in_flight;
    Time last_used_at{};
    /// Functions with a CachedFunction entry for this invoker. Changed only by CachedCopies.
    std::vector<Function*> functions;

    // Numbers of the last endpoint list that named this invoker, of the last placement that scored it, and of the last
    // pass over all references that found one to it.
    std::uint64_t last_list_number{}, last_scored_placement{}, last_referencing_round{};
};

}  // namespace plumkeel
