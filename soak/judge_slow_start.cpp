#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>

#include "soak/judge_checks.hpp"

namespace plumkeel::soak {
namespace {

using AttemptTimes = std::vector<std::int64_t>;

std::map<std::uint32_t, AttemptTimes> attempts_by_invoker(const RunHistory& history) {
    std::map<std::uint32_t, AttemptTimes> attempts;
    for (const Event& event : history.events)
        if (is_timed_attempt(event)) attempts[event.invoker_number].push_back(event.time_us);
    for (auto& [number, times] : attempts) std::sort(times.begin(), times.end());
    return attempts;
}

bool has_started_in_run(const InvokerHistory& invoker) {
    return invoker.started_us != 0;
}

std::size_t max_attempts_in_window(const AttemptTimes& times, std::int64_t window_us, std::int64_t until_us) {
    std::size_t max_attempts = 0;
    for (std::size_t window_begin = 0, window_end = 0; window_end < times.size() && times[window_end] < until_us;
         ++window_end) {
        while (times[window_begin] + window_us < times[window_end]) ++window_begin;
        max_attempts = std::max(max_attempts, window_end - window_begin + 1);
    }
    return max_attempts;
}

// Estimates the capacity of a warm invoker in attempts per microsecond: the highest rate of attempts that a warm
// invoker received in one window before its drain. All invokers of a run have the same capacity.
double warm_capacity(const RunHistory& history, const std::map<std::uint32_t, AttemptTimes>& attempts) {
    const std::int64_t window_us = history.slow_start.window_us;
    std::size_t max_attempts = 0;
    for (const auto& [number, times] : attempts) {
        const auto invoker = history.invokers.find(number);
        if (invoker == history.invokers.end() || has_started_in_run(invoker->second)) continue;
        max_attempts = std::max(max_attempts, max_attempts_in_window(times, window_us, invoker->second.drained_us));
    }
    return static_cast<double>(max_attempts) / static_cast<double>(window_us);
}

// Returns how many attempts an invoker of this age may receive in one window: `rate_multiple` times its capacity at
// that age, plus two or three standard deviations for random variation.
double allowed_attempts(const SlowStartRule& rule, double capacity, std::int64_t age_us) {
    const double elapsed_share = static_cast<double>(age_us) / static_cast<double>(rule.duration_us);
    const double capacity_share = std::min(1.0, rule.cold_share + (1 - rule.cold_share) * elapsed_share);
    const double expected = rule.rate_multiple * capacity_share * capacity * static_cast<double>(rule.window_us);
    return expected < 30 ? expected + 3 * std::sqrt(expected) + 3 : expected + 2 * std::sqrt(expected) + 2;
}

void check_invoker(const JudgeContext& context, const InvokerHistory& invoker, const AttemptTimes& times,
                   double capacity) {
    const SlowStartRule& rule = context.history.slow_start;
    double& peak_load_ratio = context.verdict.peak_slow_start_load;
    std::deque<std::int64_t> window;
    for (const std::int64_t time_us : times) {
        const std::int64_t age_us = time_us - invoker.started_us;
        if (age_us < 0 || age_us > rule.duration_us) continue;
        window.push_back(time_us);
        while (window.front() + rule.window_us < time_us) window.pop_front();
        const double allowed = allowed_attempts(rule, capacity, age_us);
        const double load_ratio = static_cast<double>(window.size()) / allowed;
        if (load_ratio > 1 && peak_load_ratio <= 1)
            context.report(
                Rule::slow_start, 0,
                fmt::format("invoker {} received {} attempts in a window that ended {} ms after the invoker's start; "
                            "at most {:.1f} are allowed",
                            invoker.number, window.size(), age_us / us_per_ms, allowed));
        peak_load_ratio = std::max(peak_load_ratio, load_ratio);
    }
}

}  // namespace

// Counts the attempts that all controllers together sent to each starting invoker in any window.
void check_slow_starts(const JudgeContext& context) {
    const auto attempts = attempts_by_invoker(context.history);
    if (attempts.empty()) return;
    const double capacity = warm_capacity(context.history, attempts);
    for (const auto& [number, times] : attempts) {
        const auto invoker = context.history.invokers.find(number);
        if (invoker != context.history.invokers.end() && has_started_in_run(invoker->second))
            check_invoker(context, invoker->second, times, capacity);
    }
}

}  // namespace plumkeel::soak
