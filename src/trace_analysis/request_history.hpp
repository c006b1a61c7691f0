/// \file
/// What happened to one request: its submission, attempts, changes of state and outcome.
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
    std::optional<Time> ended_at;  ///< Absent if it was in flight at the end of the trace.
    AttemptOutcome outcome{};
    LoadEvent load_event{};
    bool starts_load{}, warm{};  ///< As in TransitionRecord::Sent.
};

struct StateTransition {
    Time at{};
    trace::TransitionRecord transition;
};

/// How a request ended, as seen by its client.
enum class FinalOutcome {
    succeeded,  ///< Within its latency target.
    late,       ///< Succeeded after it.
    rejected,
    failed,
    cancelled,
    unfinished,  ///< It was open at the end of the trace.
    unknown,     ///< A state that only a newer writer knows.
};

std::string_view name_of(FinalOutcome outcome);
/// The words of exported JSON, see trace::export_name.
std::string_view export_name(FinalOutcome outcome);

struct RequestHistory {
    std::uint64_t request{};
    /// False if it was submitted before the trace began, or in a gap. Then `received_at` is the time of its first
    /// record, and the fields down to `is_client_retry` are not known.
    bool submission_recorded{};
    Time received_at{};
    std::string request_class, tenant, function;
    Time latency_target{};  ///< From `received_at`; 0 if the request class is not known.
    Time deadline{};        ///< From `received_at`.
    bool is_client_retry{};
    std::vector<AttemptHistory> attempts;
    std::vector<StateTransition> transitions;
    std::optional<RequestState> outcome;
    Time ended_at{};  ///< The time of its outcome, else of its last record.

    bool is_late() const { return latency_target > Time{} && ended_at - received_at > latency_target; }
    bool ended_badly() const { return final_outcome() != FinalOutcome::succeeded; }
    Time duration() const { return ended_at - received_at; }
    Time parked_time() const;  ///< In all.
    /// When the state that `transitions[index]` began was left.
    Time end_of_state(std::size_t index) const;
    FinalOutcome final_outcome() const;
};

}  // namespace plumkeel::trace_analysis
