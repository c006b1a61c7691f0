/// \file
/// The history of one request: its submission, attempts, state transitions and outcome.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "trace_analysis/name_table.hpp"

namespace plumkeel::trace_analysis {

struct AttemptHistory {
    std::uint64_t number{};
    std::string invoker;
    Time sent_at{};
    std::optional<Time> ended_at;  ///< Absent if the attempt was in flight at the end of the trace.
    AttemptOutcome outcome{};
    LoadEvent load_event{};
    bool starts_load{}, warm{};  ///< See TransitionRecord::SentAttempt.
};

struct StateTransition {
    Time at{};
    trace::TransitionRecord transition;
};

/// How a request ended, as seen by its client.
enum class FinalOutcome {
    succeeded,  ///< Succeeded within its latency target.
    late,       ///< Succeeded after its latency target.
    rejected,
    failed,
    cancelled,
    unfinished,  ///< The request had no outcome at the end of the trace.
    unknown,     ///< An unknown state, from a newer version of the writer.
};

std::string_view name_of(FinalOutcome outcome);
/// Name of the outcome in exported JSON, see trace::export_name().
std::string_view export_name(FinalOutcome outcome);

struct RequestHistory {
    std::uint64_t request{};
    /// Whether the trace contains the request's submit record. If not, `received_at` is the time of the request's first
    /// record, and the fields from `request_class` to `is_client_retry` are unknown.
    bool submission_recorded{};
    Time received_at{};
    std::string request_class, tenant, function;
    Time latency_target{};  ///< Relative to `received_at`; 0 if the request class is unknown.
    Time deadline{};        ///< Relative to `received_at`.
    bool is_client_retry{};
    std::vector<AttemptHistory> attempts;
    std::vector<StateTransition> transitions;
    std::optional<RequestState> outcome;
    Time ended_at{};  ///< Time of the request's outcome or, without outcome, of its last record.

    bool is_late() const { return latency_target > Time{} && ended_at - received_at > latency_target; }
    bool ended_badly() const { return final_outcome() != FinalOutcome::succeeded; }
    Time duration() const { return ended_at - received_at; }
    Time parked_time() const;  ///< Total time in the state `parked`.
    /// End of the state that began with `transitions[index]`.
    Time end_of_state(std::size_t index) const;
    FinalOutcome final_outcome() const;
};

}  // namespace plumkeel::trace_analysis
