#include "soak/judge.hpp"

#include <fmt/format.h>

#include "soak/judge_checks.hpp"

namespace plumkeel::soak {
namespace {

// The setting stop_sending_within of the controllers (2000 ms), and 50 ms for the transfer of an attempt.
constexpr std::int64_t max_attempt_delay_after_drain_us = 2050 * us_per_ms;

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
        const auto invoker = context.history.invokers.find(event.invoker_number);
        if (invoker == context.history.invokers.end() || invoker->second.drained_us == never) continue;
        const std::int64_t since_drained_us = event.time_us - invoker->second.drained_us;
        if (since_drained_us > max_attempt_delay_after_drain_us + socket_read_slack_us)
            context.report(
                Rule::drain, event.request_id,
                fmt::format(
                    "attempt was sent to invoker {}, {} ms after controllers should know of its drain or removal",
                    event.invoker_number, since_drained_us / us_per_ms));
    }
}

void check_controllers(const JudgeContext& context) {
    for (const auto& [number, runs] : context.history.controllers)
        for (const ControllerRun& run : runs) {
            if (!run.crash_reason.empty())
                context.report(Rule::crash, 0, fmt::format("controller {}: {}", number, run.crash_reason));
            if (!run.ready && !run.killed)
                context.report(Rule::crash, 0, fmt::format("controller {} never became ready", number));
        }
    if (context.history.invariant_violations)
        context.report(Rule::invariant, 0,
                       fmt::format("controllers logged {} invariant violations", context.history.invariant_violations));
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
