/// Derives a call's outcome from how far the call got and why it was stopped. Independent of the protocol, without I/O.
#pragma once

#include "scheduler/types.hpp"

namespace plumkeel::delivery {

/// How far a call got before its connection ended, its deadline passed, or it was cancelled. Where invokers run a
/// request only after receiving all of it, the protocol reports `may_have_run` only once everything is written.
enum class Progress { not_connected, not_written, may_have_run };
enum class StopCause { no_connection, connection_lost, timed_out, cancelled, cancelled_unsent };

constexpr AttemptOutcome outcome_of(Progress progress, StopCause cause) {
    if (progress == Progress::not_connected && cause == StopCause::no_connection) return AttemptOutcome::unreachable;
    if (progress != Progress::may_have_run) return AttemptOutcome::never_sent;
    switch (cause) {
        case StopCause::timed_out:
            return AttemptOutcome::timed_out;
        case StopCause::cancelled:
        case StopCause::cancelled_unsent:
            return AttemptOutcome::cancelled;
        default:
            return AttemptOutcome::connection_lost;
    }
}

}  // namespace plumkeel::delivery
