/// Faults of an emulated invoker that commands switch on and off.
#pragma once

#include "emulator/command_input.hpp"
#include "net/event_loop.hpp"

namespace plumkeel::emulator {

using net::Time;
using namespace std::chrono_literals;

struct InvokerFaults {
    bool silent{};       ///< reads requests, but neither runs nor answers them
    bool rejects_all{};  ///< rejects every attempt and preload request
    bool closes_idle{};  ///< closes connections shortly after a response
    double slowdown_factor = 1;
    // Shares of attempts that a fault affects, from 0 to 1.
    double lost_response_share{};    ///< the attempt runs, but its response is not sent
    double head_cut_share{};         ///< the connection is reset in the middle of the response's head
    double body_cut_share{};         ///< the connection is reset in the middle of the response's body
    double arrival_cut_share{};      ///< the connection is reset before the attempt runs
    double slowdown_per_second{};    ///< run times grow by this share of the normal run time per second
    Time slowdown_start{};           ///< time from which `slowdown_per_second` counts
    Time pause{}, pause_period{1s};  ///< no work is done for `pause` at the start of each `pause_period`

    /// Commands: silent on|off; pause ms=M every=M; slow factor=F; age per_s=F; lose share=S; turn_away on|off;
    /// cut_head share=S; cut_body share=S; cut_on_arrival share=S; close_idle on|off.
    void apply(const Command& command, Time now);
    /// Returns the end of the pause that includes `now`, or 0 outside of a pause.
    Time paused_until(Time now) const;
    /// Returns the factor by which run times are longer than without faults.
    double run_time_factor(Time now) const;
};

}  // namespace plumkeel::emulator
