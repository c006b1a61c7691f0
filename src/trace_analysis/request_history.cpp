#include "trace_analysis/request_history.hpp"

#include <algorithm>

#include "trace/names.hpp"

namespace plumkeel::trace_analysis {
namespace {

RequestState state_of(FinalOutcome outcome) {
    switch (outcome) {
        case FinalOutcome::rejected:
            return RequestState::rejected;
        case FinalOutcome::failed:
            return RequestState::failed;
        case FinalOutcome::cancelled:
            return RequestState::cancelled;
        default:
            return RequestState::succeeded;
    }
}

/// Names of outcomes without a corresponding RequestState; empty for other outcomes.
std::string_view name_without_state(FinalOutcome outcome) {
    switch (outcome) {
        case FinalOutcome::late:
            return "late";
        case FinalOutcome::unfinished:
            return "unfinished";
        case FinalOutcome::unknown:
            return "?";
        default:
            return "";
    }
}

}  // namespace

std::string_view name_of(FinalOutcome outcome) {
    const std::string_view name = name_without_state(outcome);
    return name.empty() ? trace::name_of(state_of(outcome)) : name;
}

std::string_view export_name(FinalOutcome outcome) {
    const std::string_view name = name_without_state(outcome);
    return name.empty() ? trace::export_name(state_of(outcome)) : name;
}

Time RequestHistory::end_of_state(std::size_t index) const {
    return index + 1 < transitions.size() ? transitions[index + 1].at : ended_at;
}

Time RequestHistory::parked_time() const {
    Time sum{};
    for (std::size_t i = 0; i < transitions.size(); ++i)
        if (transitions[i].transition.to == RequestState::parked)
            sum += std::max(Time{}, end_of_state(i) - transitions[i].at);
    return sum;
}

FinalOutcome RequestHistory::final_outcome() const {
    if (!outcome) return FinalOutcome::unfinished;
    switch (*outcome) {
        case RequestState::succeeded:
            return is_late() ? FinalOutcome::late : FinalOutcome::succeeded;
        case RequestState::rejected:
            return FinalOutcome::rejected;
        case RequestState::failed:
            return FinalOutcome::failed;
        case RequestState::cancelled:
            return FinalOutcome::cancelled;
        default:
            return FinalOutcome::unknown;
    }
}

}  // namespace plumkeel::trace_analysis
