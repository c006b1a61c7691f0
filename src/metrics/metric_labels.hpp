/// Names and values of the labels of metrics.
///
/// Dashboards, alert rules and stored series depend on these strings, so they must not change. Some of them differ from
/// the names of the enumerators for that reason.
#pragma once

#include <array>
#include <cstddef>

#include "scheduler/types.hpp"

namespace plumkeel::metrics {

namespace label_name {
constexpr const char* controller = "controller";
constexpr const char* request_outcome = "outcome";
constexpr const char* request_class = "use_case";
constexpr const char* tenant = "tenant";
constexpr const char* function = "function";
constexpr const char* failure_reason = "reason";
constexpr const char* attempt_outcome = "ending";
constexpr const char* load_event = "copy";
constexpr const char* invoker_state = "standing";
constexpr const char* rejection_reason = "objection";
constexpr const char* invariant = "invariant";
}  // namespace label_name

/// The outcome of a request as seen by its client.
enum class RequestOutcome { succeeded, succeeded_late, rejected, failed, cancelled };
inline constexpr std::array request_outcomes = {RequestOutcome::succeeded, RequestOutcome::succeeded_late,
                                                RequestOutcome::rejected, RequestOutcome::failed,
                                                RequestOutcome::cancelled};

RequestOutcome request_outcome(RequestState state, bool exceeded_target);

inline constexpr std::array attempt_outcomes = {
    AttemptOutcome::succeeded,   AttemptOutcome::failed,          AttemptOutcome::rejected,
    AttemptOutcome::unreachable, AttemptOutcome::never_sent,      AttemptOutcome::load_failed,
    AttemptOutcome::timed_out,   AttemptOutcome::connection_lost, AttemptOutcome::cancelled};

inline constexpr std::array load_events = {LoadEvent::none, LoadEvent::was_loaded, LoadEvent::started_load,
                                           LoadEvent::joined_load, LoadEvent::load_failed};

/// The label value of an outcome or a load event.
const char* label(RequestOutcome outcome);
const char* label(AttemptOutcome outcome);
const char* label(LoadEvent event);
/// The label value of the reason why the gateway rejected or failed a request.
const char* label(DecisionReason reason);

}  // namespace plumkeel::metrics
