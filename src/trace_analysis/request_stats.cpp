#include "trace_analysis/request_stats.hpp"

namespace plumkeel::trace_analysis {

void OutcomeCounts::add(const RequestHistory& history) {
    switch (history.final_outcome()) {
        case FinalOutcome::succeeded:
            ++succeeded;
            break;
        case FinalOutcome::late:
            ++late;
            break;
        case FinalOutcome::rejected:
            ++rejected;
            break;
        case FinalOutcome::failed:
            ++failed;
            break;
        case FinalOutcome::unfinished:
            ++unfinished;
            break;
        case FinalOutcome::cancelled:
        case FinalOutcome::unknown:
            ++cancelled;
            break;
    }
}

void OutcomeCounts::add(const OutcomeCounts& other) {
    succeeded += other.succeeded;
    late += other.late;
    rejected += other.rejected;
    failed += other.failed;
    cancelled += other.cancelled;
    unfinished += other.unfinished;
}

void RequestStats::add(const RequestHistory& history) {
    outcomes.add(history);
    attempts += history.attempts.size();
    retried += history.attempts.size() > 1;
    if (history.submission_recorded && history.outcome == RequestState::succeeded) duration.add(history.duration());
    if (const Time parked_time = history.parked_time(); parked_time > Time{}) parked.add(parked_time);
}

void AttemptStats::add(const AttemptHistory& attempt) {
    ++sent;
    loads += attempt.starts_load;
    if (!attempt.ended_at) {
        ++in_flight;
        return;
    }
    switch (attempt.outcome) {
        case AttemptOutcome::succeeded:
            ++succeeded;
            duration.add(*attempt.ended_at - attempt.sent_at);
            break;
        case AttemptOutcome::rejected:
            ++rejected;
            break;
        case AttemptOutcome::connection_lost:
            ++connection_lost;
            break;
        case AttemptOutcome::unreachable:
            ++unreachable;
            break;
        case AttemptOutcome::timed_out:
            ++timed_out;
            break;
        case AttemptOutcome::cancelled:
            ++cancelled;
            break;
        default:
            ++other;
    }
}

}  // namespace plumkeel::trace_analysis
