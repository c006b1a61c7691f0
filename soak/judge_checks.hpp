/// The checks that make up judge().
#pragma once

#include <string>

#include "soak/judge.hpp"

namespace plumkeel::soak {

constexpr std::int64_t ms = 1000;  // in microseconds
/// Between processes of this machine: they read their sockets at different times, by one clock.
constexpr std::int64_t process_slack_us = 20 * ms;

struct JudgeContext {
    const RunHistory& history;
    Verdict& verdict;

    void report(Rule rule, std::uint64_t request, std::string description) const {
        verdict.violations.push_back({rule, request, std::move(description)});
    }
};

/// Of each request: its answer, its effects and its attempts. Counts requests and attempts.
void check_requests(const JudgeContext& context);
void check_drains(const JudgeContext& context);
void check_slow_starts(const JudgeContext& context);
void check_controllers(const JudgeContext& context);

/// Whether a proxy received an attempt at a time that is known.
inline bool is_timed_attempt(const Event& event) {
    return event.type == EventType::attempt_received && !(event.flags & time_uncertain);
}

}  // namespace plumkeel::soak
