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
        ages_since = now;
    }
    if (verb == "lose") lost_responses = share;
    if (verb == "cut_head") cut_in_head = share;
    if (verb == "cut_body") cut_in_body = share;
    if (verb == "cut_on_arrival") cut_on_arrival = share;
    if (verb == "pause") {
        pause = command.milliseconds("ms", 0);
        pause_period = command.milliseconds("every", 1000);
    }
}

Time InvokerFaults::paused_until(Time now) const {
    if (pause == Time{}) return Time{};
    const Time into_period = now % pause_period;
    return into_period < pause ? now - into_period + pause : Time{};
}

double InvokerFaults::run_time_factor(Time now) const {
    const double aged = 1 + slowdown_per_second * std::chrono::duration<double>(now - ages_since).count();
    return slowdown_factor * aged;
}

}  // namespace plumkeel::emulator
