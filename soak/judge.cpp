#include "soak/judge.hpp"

#include <fmt/format.h>

#include "soak/judge_checks.hpp"

namespace plumkeel::soak {
namespace {

// stop_sending_within of the controllers' settings, and 50 ms in sockets.
constexpr std::int64_t drain_limit_us = 2050 * ms;

}  // namespace

std::string_view rule_name(Rule rule) {
    static constexpr std::string_view names[] = {
        "lost",  "late",       "answered_twice", "unreadable", "duplicate", "rejected_but_ran",
        "drain", "slow_start", "after_client",   "deadline",   "crash",     "invariant"};
    return names[static_cast<std::size_t>(rule)];
}

void check_drains(const JudgeContext& context) {
    for (const Event& event : context.history.events) {
        if (!is_timed_attempt(event)) continue;
        const auto invoker = context.history.invokers.find(event.invoker);
        if (invoker == context.history.invokers.end() || invoker->second.drained_us == never) continue;
        const std::int64_t late_us = event.time_us - invoker->second.drained_us;
        if (late_us > drain_limit_us + process_slack_us)
            context.report(Rule::drain, event.request,
                           fmt::format("sent to invoker {} {} ms after it drained", event.invoker, late_us / ms));
    }
}

void check_controllers(const JudgeContext& context) {
    for (const auto& [number, runs] : context.history.controllers)
        for (const ControllerRun& run : runs) {
            if (!run.crash.empty()) context.report(Rule::crash, 0, fmt::format("controller {}: {}", number, run.crash));
            if (!run.ready && !run.killed)
                context.report(Rule::crash, 0, fmt::format("controller {} was never ready", number));
        }
    if (context.history.invariants_violated)
        context.report(Rule::invariant, 0, fmt::format("{} violations logged", context.history.invariants_violated));
}

Verdict judge(const RunHistory& history) {
    Verdict verdict;
    const JudgeContext context{history, verdict};
    check_requests(context);
    check_drains(context);
    check_slow_starts(context);
    check_controllers(context);
    return verdict;
}

}  // namespace plumkeel::soak
