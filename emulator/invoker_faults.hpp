/// Faults of an emulated invoker that commands switch on and off.
#pragma once

#include "emulator/command_input.hpp"
#include "net/event_loop.hpp"

namespace plumkeel::emulator {

using net::Time;
using namespace std::chrono_literals;

struct InvokerFaults {
    bool silent{};       ///< accepts and reads, and neither answers nor runs anything
    bool rejects_all{};  ///< answers every attempt that it was not run
    bool closes_idle{};  ///< closes connections shortly after a response
    double slowdown_factor = 1;
    // Shares of the attempts.
    double lost_responses{};         ///< it ran, and its response is never sent
    double cut_in_head{};            ///< the connection is reset in the middle of the response's head
    double cut_in_body{};            ///< or of its body
    double cut_on_arrival{};         ///< the connection is reset before anything ran
    double slowdown_per_second{};    ///< run times grow by this share of them a second
    Time ages_since{};               ///< from when on they grow
    Time pause{}, pause_period{1s};  ///< nothing goes on for `pause` of each period

    /// silent on|off ; pause ms= every= ; slow factor= ; age per_s= ; lose share= ; turn_away on|off ;
    /// cut_head share= ; cut_body share= ; cut_on_arrival share= ; close_idle on|off
    void apply(const Command& command, Time now);
    /// The end of the pause that `now` falls into; 0: none.
    Time paused_until(Time now) const;
    /// What run times are multiplied with.
    double run_time_factor(Time now) const;
};

}  // namespace plumkeel::emulator
