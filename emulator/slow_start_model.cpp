#include "emulator/slow_start_model.hpp"

#include <algorithm>

namespace plumkeel::emulator {
namespace {

constexpr double slack_attempts = 3;  // attempts of mean run time that a window may have over its limit

}  // namespace

double SlowStartModel::capacity(Time now) const {
    const SlowStartSettings& slow_start = settings_.slow_start;
    double progress = 1;
    if (slow_start.enabled)
        progress =
            std::min(1.0, std::chrono::duration<double>(now) / std::chrono::duration<double>(slow_start.duration));
    return settings_.cores * settings_.speed * (slow_start.cold_share + (1 - slow_start.cold_share) * progress);
}

std::optional<double> SlowStartModel::overload_after_attempt(Time now) {
    const SlowStartSettings& slow_start = settings_.slow_start;
    if (!slow_start.enabled || now > slow_start.duration + slow_start.window) return {};
    attempt_times_.push_back(now);
    while (attempt_times_.front() + slow_start.window < now) attempt_times_.pop_front();
    const double work_s = static_cast<double>(attempt_times_.size()) * settings_.mean_run_time_ms / 1000;
    const double slack_s = slack_attempts * settings_.mean_run_time_ms / 1000;
    const double window_s = std::chrono::duration<double>(slow_start.window).count();
    if (work_s <= slow_start.rate_multiple * capacity(now) * window_s + slack_s) return {};
    return work_s;
}

}  // namespace plumkeel::emulator
