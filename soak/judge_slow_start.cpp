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
        if (is_timed_attempt(event)) attempts[event.invoker].push_back(event.time_us);
    for (auto& [number, times] : attempts) std::sort(times.begin(), times.end());
    return attempts;
}

bool has_started_in_run(const InvokerHistory& invoker) {
    return invoker.started_us != 0;
}

std::size_t most_in_window(const AttemptTimes& times, std::int64_t window_us, std::int64_t until_us) {
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < times.size() && times[last] < until_us; ++last) {
        while (times[first] + window_us < times[last]) ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

// What a warm invoker is seen to bear, in attempts a microsecond: the most that any of them was sent in a window before
// it drained. All of them are alike.
double warm_capacity(const RunHistory& history, const std::map<std::uint32_t, AttemptTimes>& attempts) {
    const std::int64_t window_us = history.slow_start.window_us;
    std::size_t most = 0;
    for (const auto& [number, times] : attempts) {
        const auto invoker = history.invokers.find(number);
        if (invoker == history.invokers.end() || has_started_in_run(invoker->second)) continue;
        most = std::max(most, most_in_window(times, window_us, invoker->second.drained_us));
    }
    return static_cast<double>(most) / static_cast<double>(window_us);
}

// The attempts in a window that an invoker of that age bears: the multiple of its present capacity, and the deviation
// that chance gives it.
double bearable_attempts(const SlowStartRule& rule, double capacity, std::int64_t age_us) {
    const double risen = static_cast<double>(age_us) / static_cast<double>(rule.duration_us);
    const double share = std::min(1.0, rule.cold_share + (1 - rule.cold_share) * risen);
    const double expected = rule.rate_multiple * share * capacity * static_cast<double>(rule.window_us);
    return expected < 30 ? expected + 3 * std::sqrt(expected) + 3 : expected + 2 * std::sqrt(expected) + 2;
}

void check_invoker(const JudgeContext& context, const InvokerHistory& invoker, const AttemptTimes& times,
                   double capacity) {
    const SlowStartRule& rule = context.history.slow_start;
    double& peak = context.verdict.peak_slow_start_load;
    std::deque<std::int64_t> window;
    for (const std::int64_t time_us : times) {
        const std::int64_t age_us = time_us - invoker.started_us;
        if (age_us < 0 || age_us > rule.duration_us) continue;
        window.push_back(time_us);
        while (window.front() + rule.window_us < time_us) window.pop_front();
        const double bearable = bearable_attempts(rule, capacity, age_us);
        const double load = static_cast<double>(window.size()) / bearable;
        if (load > 1 && peak <= 1)
            context.report(Rule::slow_start, 0,
                           fmt::format("invoker {} got {} attempts in a window {} ms after its start; it bears {:.1f}",
                                       invoker.number, window.size(), age_us / ms, bearable));
        peak = std::max(peak, load);
    }
}

}  // namespace

// What all controllers together sent a starting invoker, in any window.
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
