/// Chooses the invoker that a request is sent to: the one with the earliest estimated response among the function's
/// home invokers and the invokers that hold a cached copy.
#pragma once

#include <vector>

#include "scheduler/arrival_statistics.hpp"
#include "scheduler/completion_estimate.hpp"
#include "scheduler/outlier_detection.hpp"

namespace plumkeel {

struct PlacementChoice {
    Invoker* invoker{};  ///< null if no invoker may be sent the request now
    CompletionEstimate estimate;
    /// If all candidates are overloaded, an invoker that has capacity for a further copy; else null.
    Invoker* replica_target{};
};

class Placement {
public:
    Placement(SchedulerContext& context, const ArrivalStatistics& arrival_statistics,
              const LoadEstimator& load_estimator, const CompletionEstimator& completion_estimator,
              SlowStart& slow_start, const OutlierDetection& outlier_detection, const CapacityTracker& capacity_tracker)
        : context_(context),
          arrival_statistics_(arrival_statistics),
          load_estimator_(load_estimator),
          completion_estimator_(completion_estimator),
          slow_start_(slow_start),
          outlier_detection_(outlier_detection),
          capacity_tracker_(capacity_tracker) {}

    PlacementChoice choose(Request& request);

private:
    /// The state of one search for candidates.
    struct Search {
        Request& request;
        Function& function;
        std::size_t shared_homes{};     ///< home invokers that all controllers use for this function
        std::size_t wanted_homes{};     ///< home invokers that should be accepted as candidates
        bool shared_homes_are_warm{};   ///< other controllers' requests keep copies warm at the shared homes
        double tie_margin_s{};          ///< estimates that differ by less than this are equally good
        bool is_examination_limited{};  ///< the fleet is too large to examine all invokers
        std::size_t examinations_left{};
        std::size_t homes_scored{};    ///< home invokers examined so far that may be sent attempts
        std::size_t homes_accepted{};  ///< home invokers examined so far that may be sent this request
        /// No home invoker from this position in the order of homes on has been examined.
        std::size_t next_position{};
        std::vector<Invoker*> eligible_homes{};  ///< examined home invokers that may be sent attempts
        PlacementChoice best{};
        /// Number of candidates that are as good as `best`, itself included.
        int tied_candidates{};
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
    bool score(Search& search, Invoker& invoker, double load_time_multiple, bool assumed_warm);
    void keep_better(Search& search, Invoker& invoker, const CompletionEstimate& estimate);
    bool is_capacity_short();

    SchedulerContext& context_;
    const ArrivalStatistics& arrival_statistics_;
    const LoadEstimator& load_estimator_;
    const CompletionEstimator& completion_estimator_;
    SlowStart& slow_start_;
    const OutlierDetection& outlier_detection_;
    const CapacityTracker& capacity_tracker_;
};

}  // namespace plumkeel
