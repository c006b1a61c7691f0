// What an errand's end proves, whatever protocol it went by. Free of I/O.
#pragma once

#include "dispatch/types.hpp"

namespace plumkeel::proof {

// How far an errand got when its connection ended, or its time, or the wish for it. What counts as written is
// the protocol's: one that runs a hop only once it has come whole says `may_have_run` only then.
enum class Reached { nothing_connected, not_written, may_have_run };
enum class Cause { no_connection, connection_broke, time_ran_out, called_off, withdrawn };

constexpr Ending ending_of(Reached reached, Cause cause) {
    if (reached == Reached::nothing_connected && cause == Cause::no_connection) return Ending::unreachable;
    if (reached != Reached::may_have_run) return Ending::never_sent;
    switch (cause) {
        case Cause::time_ran_out:
            return Ending::overdue;
        case Cause::called_off:
        case Cause::withdrawn:
            return Ending::called_off;
        default:
            return Ending::cut_off;
    }
}

}  // namespace plumkeel::proof
