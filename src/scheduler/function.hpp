/// A function as the scheduler knows it, in parts that each have one owner.
///
/// The host owns Function objects and frees one when Actions::released_functions names it.
#pragma once

#include <string>
#include <vector>

#include "scheduler/cached_function_table.hpp"
#include "scheduler/function_table.hpp"
#include "scheduler/placement_index.hpp"
#include "scheduler/request.hpp"

namespace plumkeel {

/// Requests held at the controller, with the backoff that they share. Owned by Parking.
struct ParkingQueue {
    std::vector<Request*> requests;  ///< in the order in which they were parked
    bool active{};                   ///< the backoff timer runs
    Time since{};                    ///< when it was started
    Time backoff{};
    Time retry_at{};
    TimerKey timer{};
};

/// The one load of a function that is in progress. Owned by LoadTracker.
struct LoadInProgress {
    Invoker* invoker{};  ///< null: none
    Time started_at{};
    bool is_preload{};  ///< started by command, not by an attempt
};

struct Function {
    // Set by the host.
    std::string name;
    int concurrency{};  ///< requests that one copy runs at once; less than 1 counts as 1
    std::optional<Time> declared_load_time;

    // Owned by FunctionRegistry.
    bool is_registered{};
    std::uint64_t hash{};
    int open_requests{};  ///< not completed
    FunctionTableEntry table_entry;

    // Owned by LoadEstimator.
    double run_time_s{};   ///< on an idle invoker of mean speed
    double load_time_s{};  ///< 0: nothing learned yet

    // Owned by ArrivalStatistics.
    double recent_arrivals{};  ///< decaying count
    Time last_arrival{};

    CachedFunctionTable cached_copies;  ///< owned by CachedCopies
    LoadInProgress load;
    ParkingQueue parking;
    PlacementIndex::Homes homes;  ///< its home invokers, in the order that all controllers share; used by Placement

    int copy_concurrency() const { return std::max(1, concurrency); }
};

}  // namespace plumkeel
