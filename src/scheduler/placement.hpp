/// Where a request is sent: the search for candidates among a function's home invokers and its cached copies, and the
/// choice of the one that would respond first.
#pragma once

#include <vector>

#include "scheduler/arrival_statistics.hpp"
#include "scheduler/completion_estimate.hpp"
#include "scheduler/outlier_detection.hpp"

namespace plumkeel {

struct PlacementChoice {
    Invoker* invoker{};  ///< null: no invoker may be sent the request now
    CompletionEstimate estimate;
    Invoker* replica_target{};  ///< where a further copy would find capacity, if all candidates are overloaded
};

class Placement {
public:
    Placement(SchedulerContext& context, const ArrivalStatistics& arrivals, const LoadEstimator& load,
              const CompletionEstimator& estimator, SlowStart& slow_start, const OutlierDetection& outliers,
              const CapacityTracker& capacity)
        : context_(context),
          arrivals_(arrivals),
          load_(load),
          estimator_(estimator),
          slow_start_(slow_start),
          outliers_(outliers),
          capacity_(capacity) {}

    PlacementChoice choose(Request& request);

private:
    /// A search in progress.
    struct Search {
        Request& request;
        Function& function;
        std::size_t shared_homes{};    // home invokers that all controllers use
        std::size_t wanted_homes{};    // candidates wanted among the home invokers
        bool shared_homes_are_warm{};  // other controllers' requests keep a copy there
        double tie_s{};                // seconds that make no difference
        bool is_bounded{};             // the fleet is too large for all of it to be examined
        std::size_t examinations_left{};
        std::size_t homes_scored{};        // home invokers that could be scored; and of these
        std::size_t homes_accepted{};      // those that can take the request
        std::size_t next_position{};       // in the order of homes: none from here on was examined
        std::vector<Invoker*> eligible{};  // of the examined homes, in order
        PlacementChoice best{};
        int ties{};
    };

    Search start_search(Request& request) const;
    void search_homes(Search& search);
    void sample_homes(Search& search);
    void search_cached_copies(Search& search);
    void search_replica_target(Search& search);
    Invoker* examine_home(Search& search, std::size_t position);
    bool examine(Search& search, Invoker& invoker);
    ExclusionReason exclusion_of(Invoker& invoker);
    ExclusionReason exclusion_for(const Request& request, const Invoker& invoker, bool is_warm) const;
    void score_home(Search& search, Invoker* invoker);
    bool score(Search& search, Invoker& invoker, double load_bias, bool assumed_warm);
    void keep_better(Search& search, Invoker& invoker, const CompletionEstimate& estimate);
    bool is_capacity_short();

    SchedulerContext& context_;
    const ArrivalStatistics& arrivals_;
    const LoadEstimator& load_;
    const CompletionEstimator& estimator_;
    SlowStart& slow_start_;
    const OutlierDetection& outliers_;
    const CapacityTracker& capacity_;
};

}  // namespace plumkeel
