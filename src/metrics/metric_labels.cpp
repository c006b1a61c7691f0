#include "metrics/metric_labels.hpp"

namespace plumkeel::metrics {
namespace {

constexpr const char* unknown_label = "other";

}  // namespace

RequestOutcome request_outcome(RequestState state, bool exceeded_target) {
    switch (state) {
        case RequestState::succeeded:
            return exceeded_target ? RequestOutcome::succeeded_late : RequestOutcome::succeeded;
        case RequestState::rejected:
            return RequestOutcome::rejected;
        case RequestState::failed:
            return RequestOutcome::failed;
        default:
            return RequestOutcome::cancelled;
    }
}

const char* label(RequestOutcome outcome) {
    switch (outcome) {
        case RequestOutcome::succeeded:
            return "honoured";
        case RequestOutcome::succeeded_late:
            return "late";
        case RequestOutcome::rejected:
            return "bounced";
        case RequestOutcome::failed:
            return "written_off";
        case RequestOutcome::cancelled:
            return "abandoned";
    }
    return unknown_label;
}

const char* label(AttemptOutcome outcome) {
    switch (outcome) {
        case AttemptOutcome::succeeded:
            return "honoured";
        case AttemptOutcome::failed:
            return "errored";
        case AttemptOutcome::rejected:
            return "turned_away";
        case AttemptOutcome::unreachable:
            return "unreachable";
        case AttemptOutcome::never_sent:
            return "never_sent";
        case AttemptOutcome::load_failed:
            return "not_loaded";
        case AttemptOutcome::timed_out:
            return "overdue";
        case AttemptOutcome::connection_lost:
            return "cut_off";
        case AttemptOutcome::cancelled:
            return "called_off";
    }
    return unknown_label;
}

const char* label(LoadEvent event) {
    switch (event) {
        case LoadEvent::none:
            return "none";
        case LoadEvent::was_loaded:
            return "stood";
        case LoadEvent::started_load:
            return "begun";
        case LoadEvent::joined_load:
            return "joined";
        case LoadEvent::load_failed:
            return "broken";
    }
    return unknown_label;
}

const char* label(DecisionReason reason) {
    switch (reason) {
        case DecisionReason::overloaded:
            return "crowded";
        case DecisionReason::no_eligible_invoker:
            return "none_usable";
        case DecisionReason::attempts_exhausted:
            return "hops_used";
        case DecisionReason::parking_full:
            return "park_full";
        case DecisionReason::parking_budget_exceeded:
            return "parked_long";
        case DecisionReason::deadline_exceeded:
            return "time_up";
        case DecisionReason::may_have_run:
            return "may_have_run";
        default:
            return unknown_label;
    }
}

}  // namespace plumkeel::metrics
