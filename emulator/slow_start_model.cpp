#include "emulator/slow_start_model.hpp"

#include <algorithm>

namespace plumkeel::emulator {
namespace {

constexpr double slack_runs = 3;  // mean run times by which a window may go beyond

}  // namespace

double SlowStartModel::capacity(Time now) const {
    const SlowStartSettings& slow_start = settings_.slow_start;
    double risen = 1;
    if (slow_start.enabled)
        risen = std::min(1.0, std::chrono::duration<double>(now) / std::chrono::duration<double>(slow_start.duration));
    return settings_.cores * settings_.speed * (slow_start.cold_share + (1 - slow_start.cold_share) * risen);
}

std::optional<double> SlowStartModel::overload_after_attempt(Time now) {
    const SlowStartSettings& slow_start = settings_.slow_start;
    if (!slow_start.enabled || now > slow_start.duration + slow_start.window) return {};
    attempts_.push_back(now);
    while (attempts_.front() + slow_start.window < now) attempts_.pop_front();
    const double work = static_cast<double>(attempts_.size()) * settings_.mean_run_time_ms / 1000;
    const double slack = slack_runs * settings_.mean_run_time_ms / 1000;
    const double window = std::chrono::duration<double>(slow_start.window).count();
    if (work <= slow_start.rate_multiple * capacity(now) * window + slack) return {};
    return work;
}

}  // namespace plumkeel::emulator
