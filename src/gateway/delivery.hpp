// What an errand's end proves, whatever protocol it went by. Free of I/O.
#pragma once

#include "scheduler/types.hpp"

namespace plumkeel::delivery {

// How far an errand got when its connection ended, or its time, or the wish for it. What counts as written is
// the protocol's: one that runs a hop only once it has come whole says `may_have_run` only then.
enum class Progress { not_connected, not_written, may_have_run };
enum class StopCause { no_connection, connection_lost, timed_out, cancelled, cancelled_unsent };

constexpr AttemptOutcome outcome_of(Progress reached, StopCause cause) {
    if (reached == Progress::not_connected && cause == StopCause::no_connection) return AttemptOutcome::unreachable;
    if (reached != Progress::may_have_run) return AttemptOutcome::never_sent;
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
