/// The checks that judge() runs one after the other.
#pragma once

#include <string>

#include "soak/judge.hpp"

namespace plumkeel::soak {

constexpr std::int64_t us_per_ms = 1000;
/// Tolerance for times recorded by different processes, which read their sockets with different delays.
constexpr std::int64_t socket_read_slack_us = 20 * us_per_ms;

struct JudgeContext {
    const RunHistory& history;
    Verdict& verdict;

    void report(Rule rule, std::uint64_t request_id, std::string description) const {
        verdict.violations.push_back({rule, request_id, std::move(description)});
    }
};

/// Checks the answer, the runs and the attempts of each request, and counts requests and attempts in the verdict.
void check_requests(const JudgeContext& context);
void check_drains(const JudgeContext& context);
void check_slow_starts(const JudgeContext& context);
void check_controllers(const JudgeContext& context);

/// Whether the event is a received attempt whose time is certain.
inline bool is_timed_attempt(const Event& event) {
    return event.type == EventType::attempt_received && !(event.flags & time_uncertain);
}

}  // namespace plumkeel::soak
