/// What the scheduler knows of a function. The comment on a group of fields names the component that changes it.
///
/// The host, which is the gateway or the simulator adapter, owns Function objects and may free one after
/// Actions::released_functions names it.
#pragma once

#include <string>
#include <vector>

#include "scheduler/cached_function_table.hpp"
#include "scheduler/function_table.hpp"
#include "scheduler/placement_index.hpp"
#include "scheduler/request.hpp"

namespace plumkeel {

/// The parked requests of one function, which share one retry backoff. Changed only by Parking, except
/// that FunctionRegistry cancels `timer` when it releases the function.
struct ParkingQueue {
    std::vector<Request*> requests;  ///< parked requests, oldest first
    bool is_backoff_running{};       ///< a retry is scheduled by `timer`
    Time backoff_started_at{};
    Time backoff{};
    Time retry_at{};
    TimerKey timer{};
};

/// The load of a function that is in progress; a controller has at most one per function. Changed only by LoadTracker.
struct LoadInProgress {
    Invoker* invoker{};  ///< where the function is loaded; null if no load is in progress
    Time started_at{};
    bool is_preload{};  ///< whether a PreloadCommand started the load, not an attempt
};

struct Function {
    // Set by the host, the code that calls the scheduler.
    std::string name;
    int concurrency{};  ///< requests that one copy runs at once; see copy_concurrency()
    std::optional<Time> declared_load_time;

    // Changed only by FunctionRegistry, except for `open_requests` (RequestLifecycle) and `table_entry`
    // (FunctionTable).
    bool is_registered{};
    std::uint64_t hash{};
    int open_requests{};  ///< requests in a state that is not final
    FunctionTableEntry table_entry;

    // Changed only by LoadEstimator, except that FunctionRegistry sets the initial `run_time_s`.
    double run_time_s{};   ///< run time of a request on an idle invoker of mean speed
    double load_time_s{};  ///< learned load time; 0 until a load was observed

    // Changed only by ArrivalStatistics.
    double recent_arrivals{};  ///< exponentially decaying number of requests
    Time last_arrival{};

    CachedFunctionTable cached_copies;  ///< changed only by CachedCopies
    LoadInProgress current_load;
    ParkingQueue parking;
    /// The invokers that come first for this function in the order that all controllers compute. Used by Placement.
    PlacementIndex::Homes homes;

    /// Requests that one copy runs at once, at least 1.
    int copy_concurrency() const { return std::max(1, concurrency); }
};

}  // namespace plumkeel
