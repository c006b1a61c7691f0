/// An invoker as the scheduler knows it, in parts that each have one owner.
///
/// The host owns Invoker objects and frees one when Actions::released_invokers names it.
#pragma once

#include <string>
#include <vector>

#include "scheduler/fleet_table.hpp"
#include "scheduler/request.hpp"

namespace plumkeel {

/// What is learned of all invokers of a type; the factors of one invoker are relative to these. Owned by the host,
/// changed by LoadEstimator.
struct InvokerType {
    double slowdown_factor{}, contention_factor{};
    int slowdown_samples{}, contention_samples{};
};

enum class HealthState {
    healthy,
    suspect,     ///< it failed once: nothing new is sent, and it is probed
    ejected,     ///< it failed repeatedly, or is known to be down
    recovering,  ///< it responds again: a limited, growing number of attempts
};

/// Owned by OutlierDetection; the probe's fields by HealthProber.
struct InvokerHealth {
    /// An invoker whose error rate is over this is not used.
    static constexpr double max_error_rate = 0.35;

    HealthState state{};
    int consecutive_timeouts{}, consecutive_resets{}, consecutive_successes{};
    int recovery_limit{};  ///< attempts in flight while recovering
    double error_rate{};   ///< decaying share of errors for requests that succeeded elsewhere
    bool is_down{};        ///< its process is gone: its next response comes from a new start
    bool probe_pending{};
    Time probed_at{}, last_response_at{}, ejected_at{};

    bool accepts_requests() const { return state == HealthState::healthy || state == HealthState::recovering; }
    bool is_error_prone() const { return error_rate > max_error_rate; }
};

/// Owned by SlowStart.
struct SlowStartState {
    std::optional<Time> since;  ///< absent: it is warmed up
    std::deque<Time> attempts;  ///< own ones within the last window
    double jitter{};  ///< drawn at each start, from 0 to 1: this controller's chance of a fraction of an attempt
};

/// Owned by LoadEstimator.
struct LoadEstimate {
    double slowdown_factor{};             ///< run time when idle, relative to the invoker's type
    double contention_factor{};           ///< run time added by each request there, relative to the type
    std::optional<double> reported_load;  ///< requests running there by its last report
    double baseline_load{};               ///< others' requests there, over its last reports
    Time reported_at{};
    int own_in_flight_at_report{};                    ///< own attempts there when the report was measured
    std::deque<std::pair<Time, int>> recent_changes;  ///< attempts sent (+1) and ended (-1) within the age of a report
    int recent_change_sum{};
};

/// Owned by CapacityTracker.
struct Backpressure {
    Time backoff_until{};  ///< it rejected an attempt a moment ago: nothing is sent
    Time full_until{};     ///< it had no capacity for a new copy a moment ago
};

struct Invoker {
    // Set by the host, and again with each change of the endpoint list.
    std::string name;
    bool ready{};
    double capacity{};
    std::string zone;
    InvokerType* type{};
    int cell{};
    std::optional<Time> started_at;  ///< absent: long ago

    // Owned by InvokerRegistry.
    bool is_registered{}, is_listed{};
    Time delisted_at{};
    std::uint64_t hash{};
    std::optional<Time> announced_start;  ///< `started_at` of the endpoint list before
    FleetTableEntry table_entry;

    InvokerHealth health;
    SlowStartState slow_start;
    LoadEstimate load_estimate;
    Backpressure backpressure;

    std::vector<Attempt*> in_flight;  ///< own attempts, oldest first; changed by RequestLifecycle
    Time last_used_at{};
    std::vector<Function*> functions;  ///< with an entry for this invoker; owned by CachedCopies

    // The last endpoint list, placement and sweep in which it came up.
    std::uint64_t listed_in{}, scored_in{}, referenced_in{};
};

}  // namespace plumkeel
