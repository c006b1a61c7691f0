#include "emulator/invoker_faults.hpp"

namespace plumkeel::emulator {

void InvokerFaults::apply(const Command& command, Time now) {
    const std::string& verb = command.verb();
    const double share = command.number("share", 0);
    if (verb == "silent") silent = command.is_on();
    if (verb == "turn_away") rejects_all = command.is_on();
    if (verb == "close_idle") closes_idle = command.is_on();
    if (verb == "slow") slowdown_factor = command.number("factor", 1);
    if (verb == "age") {
        slowdown_per_second = command.number("per_s", 0);
        slowdown_start = now;
    }
    if (verb == "lose") lost_response_share = share;
    if (verb == "cut_head") head_cut_share = share;
    if (verb == "cut_body") body_cut_share = share;
    if (verb == "cut_on_arrival") arrival_cut_share = share;
    if (verb == "pause") {
        pause = command.milliseconds("ms", 0);
        pause_period = command.milliseconds("every", 1000);
    }
}

Time InvokerFaults::paused_until(Time now) const {
    if (pause == Time{}) return Time{};
    const Time time_in_period = now % pause_period;
    return time_in_period < pause ? now - time_in_period + pause : Time{};
}

double InvokerFaults::run_time_factor(Time now) const {
    const double gradual_slowdown =
        1 + slowdown_per_second * std::chrono::duration<double>(now - slowdown_start).count();
    return slowdown_factor * gradual_slowdown;
}

}  // namespace plumkeel::emulator
